use clock::ClockTime;
use rand::Rng;

use crate::{
    FollowAction, LogEra, LogStream, ReadBatch, ReadError, RelayBatch, RelayPull, UpdateTime,
};

/// Follows one stream of the platform's log, folds its records and serves them to other nodes,
/// without doing I/O.
pub trait StreamFeed {
    /// Returns the stream.
    fn stream(&self) -> LogStream;

    /// Returns the next action of the loop that reads the log.
    fn next_read<R: Rng>(&mut self, now: ClockTime, random: &mut R) -> FollowAction;

    /// Returns the next action of the loop that pulls from other nodes.
    fn next_pull(&mut self, now: ClockTime) -> FollowAction;

    /// Handles the result of a read started at `requested_at`, and returns whether it changed the
    /// state.
    fn on_read<R: Rng>(
        &mut self,
        now: ClockTime,
        requested_at: ClockTime,
        result: Result<ReadBatch, ReadError>,
        random: &mut R,
    ) -> bool;

    /// Handles another node's answer to a pull sent at `requested_at`, and returns whether it
    /// changed the state.
    fn on_batch(&mut self, now: ClockTime, requested_at: ClockTime, batch: RelayBatch) -> bool;

    /// Handles a pull that got no answer.
    fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, random: &mut R);

    /// Returns whether another node's pull, held for `held_ms` so far, can now be answered with
    /// records or with a more recent freshness time.
    fn has_update(&self, now: ClockTime, pull: &RelayPull, held_ms: u64) -> bool;

    /// Returns the time up to which all records of the stream are known.
    fn fresh_at(&self) -> Option<UpdateTime>;

    /// Returns the era of the log, or `None` before the first answer.
    fn known_era(&self) -> Option<LogEra>;

    /// Enters an era that another stream's answer has shown, and returns whether the log has come
    /// back since the last answer of this one.
    fn on_era(&mut self, now: ClockTime, era: LogEra) -> bool;

    /// Returns whether the stream has been read to its end in the current era of the log.
    fn is_caught_up(&self) -> bool;

    /// Answers another node's pull. The caller sets [`RelayBatch::held_ms`] when the pull was held.
    fn answer(&self, now: ClockTime, pull: &RelayPull) -> RelayBatch;
}
