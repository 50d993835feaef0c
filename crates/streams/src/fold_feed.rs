use clock::ClockTime;
use rand::Rng;

use crate::{
    FollowAction, FollowNews, FollowSettings, LogOffset, LogRecord, LogStream, NewsTime, ReadBatch,
    ReadError, RecordRelay, RelayBatch, RelayPlan, RelayPull, RelaySettings, RelaySnapshot,
    StreamFeed, StreamFollower,
};

/// The state that a node folds from one stream of the platform's log.
pub trait StreamFold {
    /// Learns that records before an offset are gone.
    fn lose_before(&mut self, now: ClockTime, first: LogOffset);

    /// Takes in a whole state from another node.
    fn adopt(&mut self, now: ClockTime, snapshot: &RelaySnapshot);

    /// Applies the next record.
    fn apply(&mut self, now: ClockTime, record: &LogRecord);

    /// Returns the whole state, or `None` while it isn't whole.
    fn snapshot(&self) -> Option<RelaySnapshot>;

    /// Returns whether the state lacks records that are gone.
    fn needs_snapshot(&self) -> bool;
}

/// A stream with a fold of any kind.
#[derive(Clone, Debug)]
pub struct FoldFeed<S> {
    follower: StreamFollower,
    relay: RecordRelay,
    fold: S,
}

impl<S: StreamFold> FoldFeed<S> {
    /// Creates a feed that has read nothing yet.
    #[must_use]
    pub fn new(stream: LogStream, follow: FollowSettings, fold: S) -> Self {
        Self {
            follower: StreamFollower::new(stream, follow),
            relay: RecordRelay::new(stream, RelaySettings::default()),
            fold,
        }
    }

    /// Returns the fold.
    pub const fn fold(&mut self) -> &mut S {
        &mut self.fold
    }

    /// Sets whom to ask.
    pub fn set_plan(&mut self, plan: RelayPlan) {
        self.follower.set_plan(plan);
    }

    fn take(&mut self, now: ClockTime, news: FollowNews) -> bool {
        let is_news =
            news.lost_before.is_some() || news.snapshot.is_some() || !news.records.is_empty();
        if let Some(first) = news.lost_before {
            self.fold.lose_before(now, first);
            self.relay.skip_to(first);
        }
        if let Some(snapshot) = &news.snapshot {
            self.fold.adopt(now, snapshot);
            let next = self.relay.next().max(snapshot.covers);
            self.relay.skip_to(next);
        }
        for record in news.records {
            self.fold.apply(now, &record);
            self.relay.push(record);
        }
        let needs_snapshot = self.fold.needs_snapshot();
        self.follower.set_needs_snapshot(needs_snapshot);
        is_news
    }
}

impl<S: StreamFold> StreamFeed for FoldFeed<S> {
    fn stream(&self) -> LogStream {
        self.follower.stream()
    }

    fn next_read<R: Rng>(&mut self, now: ClockTime, random: &mut R) -> FollowAction {
        self.follower.next_read(now, random)
    }

    fn next_pull(&mut self, now: ClockTime) -> FollowAction {
        self.follower.next_pull(now)
    }

    fn on_read<R: Rng>(
        &mut self,
        now: ClockTime,
        asked: ClockTime,
        result: Result<ReadBatch, ReadError>,
        random: &mut R,
    ) -> bool {
        let news = self.follower.on_read(now, asked, result, random);
        self.take(now, news)
    }

    fn on_batch(&mut self, now: ClockTime, asked: ClockTime, batch: RelayBatch) -> bool {
        let news = self.follower.on_batch(now, asked, batch);
        self.take(now, news)
    }

    fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, random: &mut R) {
        self.follower.on_pull_failure(now, random);
    }

    fn has_news(&self, now: ClockTime, pull: &RelayPull, held_ms: u64) -> bool {
        let is_whole = !self.fold.needs_snapshot();
        self.relay.has_news(pull) || (is_whole && self.follower.is_fresher(now, pull, held_ms))
    }

    fn fresh_at(&self) -> Option<NewsTime> {
        self.follower.fresh_at()
    }

    fn answer(&self, now: ClockTime, pull: &RelayPull) -> RelayBatch {
        let fresh_at = self.fresh_at().filter(|_| !self.fold.needs_snapshot());
        let snapshot = || self.fold.snapshot();
        self.relay.answer(now, pull, fresh_at, Vec::new(), snapshot)
    }
}
