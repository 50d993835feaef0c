use clock::ClockTime;
use platform::{
    FollowAction, FollowNews, FollowSettings, LogRecord, LogStream, ReadBatch, ReadError,
    RecordBody, RecordRelay, RelayBatch, RelayPlan, RelayPull, RelaySettings, RelaySnapshot,
    StreamFollower,
};
use rand::Rng;

use crate::{MemberAnnouncement, MemberSettings, MemberSnapshot, MemberView};

/// One node's whole view of the members stream.
///
/// The stream needs no snapshots: each member repeats its announcement within the time that the
/// log keeps records. Between nodes the whole view travels in place of the records.
#[derive(Clone, Debug)]
pub struct MemberFeed {
    follower: StreamFollower,
    relay: RecordRelay,
    view: MemberView,
}

impl MemberFeed {
    /// Creates the view of a node that knows nothing yet.
    #[must_use]
    pub fn new(settings: MemberSettings, follow: FollowSettings, relay: RelaySettings) -> Self {
        Self {
            follower: StreamFollower::new(LogStream::Members, follow),
            relay: RecordRelay::new(LogStream::Members, relay),
            view: MemberView::new(settings),
        }
    }

    /// Returns the members.
    #[must_use]
    pub const fn view(&self) -> &MemberView {
        &self.view
    }

    /// Returns the members, to take in what was learnt on links.
    pub const fn view_mut(&mut self) -> &mut MemberView {
        &mut self.view
    }

    /// Returns how far the stream was followed.
    #[must_use]
    pub const fn follower(&self) -> &StreamFollower {
        &self.follower
    }

    /// Sets whom to ask.
    pub fn set_plan(&mut self, plan: RelayPlan) {
        self.follower.set_plan(plan);
    }

    /// Returns what the loop that reads the log does next.
    pub fn next_read<R: Rng>(&mut self, now: ClockTime, rng: &mut R) -> FollowAction {
        self.follower.next_read(now, rng)
    }

    /// Returns what the loop that asks other nodes does next.
    pub fn next_pull(&mut self, now: ClockTime) -> FollowAction {
        self.follower.next_pull(now)
    }

    /// Takes in the result of a read that was asked for at `asked`, and returns whether the
    /// members changed.
    pub fn on_read<R: Rng>(
        &mut self,
        now: ClockTime,
        asked: ClockTime,
        result: Result<ReadBatch, ReadError>,
        rng: &mut R,
    ) -> bool {
        let news = self.follower.on_read(now, asked, result, rng);
        self.apply(now, news)
    }

    /// Takes in another node's answer to a question that was asked at `asked`, and returns
    /// whether the members changed.
    pub fn on_batch(&mut self, now: ClockTime, asked: ClockTime, batch: RelayBatch) -> bool {
        let news = self.follower.on_batch(now, asked, batch);
        self.apply(now, news)
    }

    /// Takes in that a node gave no answer.
    pub fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, rng: &mut R) {
        self.follower.on_pull_failure(now, rng);
    }

    /// Returns whether another node's question can be answered with news now.
    #[must_use]
    pub const fn has_news(&self, pull: &RelayPull) -> bool {
        self.relay.has_news(pull)
    }

    /// Answers another node's question; add [`RelayBatch::held_ms`] when it was kept waiting.
    #[must_use]
    pub fn answer(&self, now: ClockTime, pull: &RelayPull) -> RelayBatch {
        let fresh_at = self.follower.fresh_at();
        let snapshot = || {
            let snapshot = self.view.snapshot(self.relay.next());
            Some(RelaySnapshot {
                covers: snapshot.covers,
                body: RecordBody::encode(&snapshot),
            })
        };
        self.relay.answer(now, pull, fresh_at, Vec::new(), snapshot)
    }

    fn apply(&mut self, now: ClockTime, news: FollowNews) -> bool {
        let mut is_change = false;
        if let Some(first) = news.lost_before {
            self.relay.skip_to(first);
        }
        if let Some(snapshot) = news.snapshot {
            is_change = self.adopt(&snapshot);
        }
        for record in news.records {
            is_change |= self.apply_record(record);
        }
        let count = self.view.len();
        if let Some(fresh) = self.follower.fresh_at() {
            self.view.on_fresh(now.minus_ms(fresh.age_ms(now)));
        }
        is_change || self.view.len() != count
    }

    fn adopt(&mut self, snapshot: &RelaySnapshot) -> bool {
        if snapshot.covers > self.relay.next() {
            self.relay.skip_to(snapshot.covers);
        }
        let state = snapshot.body.decode::<MemberSnapshot>();
        state.is_ok_and(|state| self.view.adopt(&state))
    }

    fn apply_record(&mut self, record: LogRecord) -> bool {
        let announcement = record.body.decode::<MemberAnnouncement>();
        self.relay.push(record);
        announcement.is_ok_and(|announcement| self.view.apply(&announcement))
    }
}
