use clock::ClockTime;
use platform::{LogOffset, LogRecord, RelaySnapshot};

/// The state that a node folds from one stream of the platform's log.
pub(crate) trait StreamState {
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
