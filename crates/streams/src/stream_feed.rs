use clock::ClockTime;
use rand::Rng;

use crate::{FollowAction, LogStream, NewsTime, ReadBatch, ReadError, RelayBatch, RelayPull};

/// One stream of the platform's log, followed, folded and handed on, without I/O.
pub trait StreamFeed {
    /// Returns the stream.
    fn stream(&self) -> LogStream;

    /// Returns what the loop that reads the log does next.
    fn next_read<R: Rng>(&mut self, now: ClockTime, random: &mut R) -> FollowAction;

    /// Returns what the loop that asks other nodes does next.
    fn next_pull(&mut self, now: ClockTime) -> FollowAction;

    /// Takes in the result of a read asked for at `asked`, and returns whether there was news.
    fn on_read<R: Rng>(
        &mut self,
        now: ClockTime,
        asked: ClockTime,
        result: Result<ReadBatch, ReadError>,
        random: &mut R,
    ) -> bool;

    /// Takes in another node's answer to a question asked at `asked`, and returns whether there
    /// was news.
    fn on_batch(&mut self, now: ClockTime, asked: ClockTime, batch: RelayBatch) -> bool;

    /// Takes in that a node gave no answer.
    fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, random: &mut R);

    /// Returns whether another node's question, kept for `held_ms`, can be answered with records
    /// or with fresher news now.
    fn has_news(&self, now: ClockTime, pull: &RelayPull, held_ms: u64) -> bool;

    /// Returns up to when the stream was followed.
    fn fresh_at(&self) -> Option<NewsTime>;

    /// Answers another node's question; add [`RelayBatch::held_ms`] when it was kept waiting.
    fn answer(&self, now: ClockTime, pull: &RelayPull) -> RelayBatch;
}
