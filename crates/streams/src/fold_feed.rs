use clock::ClockTime;
use rand::Rng;

use crate::{
    FollowAction, FollowSettings, FollowUpdate, LogEra, LogOffset, LogRecord, LogStream, ReadBatch,
    ReadError, RecordRelay, RelayBatch, RelayPlan, RelayPull, RelaySettings, RelaySnapshot,
    StreamFeed, StreamFollower, UpdateTime,
};

/// The state that a node folds from one stream of the platform's log.
pub trait StreamFold {
    /// Handles a log that has come back without its last records: the stream is read again from its
    /// first record, and what isn't on it any more but still binding is to be written again.
    fn go_back(&mut self, now: ClockTime);

    /// Handles the loss of unread records: those before `first` were removed from the log.
    fn lose_before(&mut self, now: ClockTime, first: LogOffset);

    /// Applies a complete state received from another node.
    fn apply_snapshot(&mut self, now: ClockTime, snapshot: &RelaySnapshot);

    /// Applies the next record.
    fn apply(&mut self, now: ClockTime, record: &LogRecord);

    /// Returns the complete state, or `None` while records are missing from it.
    fn snapshot(&self) -> Option<RelaySnapshot>;

    /// Returns whether the state lacks records that were removed from the log.
    fn needs_snapshot(&self) -> bool;
}

/// A [`StreamFeed`] for any [`StreamFold`].
#[derive(Clone, Debug)]
pub struct FoldFeed<S> {
    follower: StreamFollower,
    relay: RecordRelay,
    fold: S,
}

impl<S: StreamFold> FoldFeed<S> {
    /// Creates a feed that starts at the stream's first record.
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

    /// Sets the sources of updates.
    pub fn set_plan(&mut self, plan: RelayPlan) {
        self.follower.set_plan(plan);
    }

    fn apply_update(&mut self, now: ClockTime, update: FollowUpdate) -> bool {
        self.relay.set_era(self.follower.known_era());
        if update.went_back.is_some() {
            self.fold.go_back(now);
        }
        let is_update = update.went_back.is_some()
            || update.lost_before.is_some()
            || update.snapshot.is_some()
            || !update.records.is_empty();
        if let Some(first) = update.lost_before {
            self.fold.lose_before(now, first);
            self.relay.skip_to(first);
        }
        if let Some(snapshot) = &update.snapshot {
            self.fold.apply_snapshot(now, snapshot);
            let next = self.relay.next().max(snapshot.covers);
            self.relay.skip_to(next);
        }
        for record in update.records {
            self.fold.apply(now, &record);
            self.relay.push(record);
        }
        let needs_snapshot = self.fold.needs_snapshot();
        self.follower.set_needs_snapshot(needs_snapshot);
        is_update
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
        requested_at: ClockTime,
        result: Result<ReadBatch, ReadError>,
        random: &mut R,
    ) -> bool {
        let update = self.follower.on_read(now, requested_at, result, random);
        self.apply_update(now, update)
    }

    fn on_batch(&mut self, now: ClockTime, requested_at: ClockTime, batch: RelayBatch) -> bool {
        let update = self.follower.on_batch(now, requested_at, batch);
        self.apply_update(now, update)
    }

    fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, random: &mut R) {
        self.follower.on_pull_failure(now, random);
    }

    fn has_update(&self, now: ClockTime, pull: &RelayPull, held_ms: u64) -> bool {
        let is_complete = !self.fold.needs_snapshot();
        self.relay.has_update(pull) || (is_complete && self.follower.is_fresher(now, pull, held_ms))
    }

    fn fresh_at(&self) -> Option<UpdateTime> {
        self.follower.fresh_at()
    }

    fn known_era(&self) -> Option<LogEra> {
        self.follower.known_era()
    }

    fn on_era(&mut self, now: ClockTime, era: LogEra) -> bool {
        let update = self.follower.on_era(now, era);
        update.is_some_and(|update| self.apply_update(now, update))
    }

    fn is_caught_up(&self) -> bool {
        self.follower.is_caught_up()
    }

    fn answer(&self, now: ClockTime, pull: &RelayPull) -> RelayBatch {
        let fresh_at = self.follower.relayed_fresh_at();
        let fresh_at = fresh_at.filter(|_| !self.fold.needs_snapshot());
        let snapshot = || self.fold.snapshot();
        self.relay.answer(now, pull, fresh_at, Vec::new(), snapshot)
    }
}
