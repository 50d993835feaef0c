use std::collections::VecDeque;

use clock::ClockTime;

use crate::{
    CentreOutage, LogOffset, LogRecord, LogStream, NewsTime, RelayBatch, RelayPull, RelaySnapshot,
};

/// How many records a node keeps for others.
#[derive(Clone, Copy, Debug)]
pub struct RelaySettings {
    /// The most bytes of records kept.
    pub max_kept_bytes: usize,
    /// The most bytes of records in one answer, unless a single record is longer.
    pub max_batch_bytes: usize,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            max_kept_bytes: 2 << 20,
            max_batch_bytes: 256 << 10,
        }
    }
}

/// Hands the records of one stream on to other nodes.
#[derive(Clone, Debug)]
pub struct RecordRelay {
    stream: LogStream,
    settings: RelaySettings,
    records: VecDeque<LogRecord>,
    kept_bytes: usize,
    next: LogOffset,
}

impl RecordRelay {
    /// Creates a relay that has no records.
    #[must_use]
    pub const fn new(stream: LogStream, settings: RelaySettings) -> Self {
        Self {
            stream,
            settings,
            records: VecDeque::new(),
            kept_bytes: 0,
            next: LogOffset::ZERO,
        }
    }

    /// Returns the offset after the newest record.
    #[must_use]
    pub const fn next(&self) -> LogOffset {
        self.next
    }

    /// Takes in the next record; one out of order clears what was kept.
    pub fn push(&mut self, record: LogRecord) {
        if record.offset != self.next {
            self.skip_to(record.offset);
        }
        self.next = record.offset.next();
        self.kept_bytes += record.body.as_str().len();
        self.records.push_back(record);
        while self.kept_bytes > self.settings.max_kept_bytes {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.kept_bytes -= oldest.body.as_str().len();
        }
    }

    /// Takes in that the records before `next` came as a snapshot or are gone.
    pub fn skip_to(&mut self, next: LogOffset) {
        self.records.clear();
        self.kept_bytes = 0;
        self.next = next;
    }

    /// Returns whether a question can be answered with news, rather than kept waiting.
    #[must_use]
    pub const fn has_news(&self, pull: &RelayPull) -> bool {
        self.next.get() > pull.from.get() || pull.needs_snapshot
    }

    /// Answers a question; `snapshot` is called only for an asker that is too far behind.
    pub fn answer(
        &self,
        now: ClockTime,
        pull: &RelayPull,
        fresh_at: Option<NewsTime>,
        outages: Vec<CentreOutage>,
        snapshot: impl FnOnce() -> Option<RelaySnapshot>,
    ) -> RelayBatch {
        let oldest = self
            .records
            .front()
            .map_or(self.next, |record| record.offset);
        let needs_snapshot = pull.needs_snapshot || pull.from < oldest;
        let snapshot = needs_snapshot.then(snapshot).flatten();
        let from = snapshot.as_ref().map_or(pull.from, |state| state.covers);
        RelayBatch {
            stream: self.stream,
            records: self.records_from(from),
            snapshot,
            next: self.next,
            fresh_ms: fresh_at.map(|time| time.age_ms(now)),
            held_ms: 0,
            outages,
            snapshot_age_ms: None,
            snapshot_covers: LogOffset::ZERO,
        }
    }

    fn records_from(&self, from: LogOffset) -> Vec<LogRecord> {
        let mut len = 0;
        let later = self.records.iter().filter(|record| record.offset >= from);
        let fitting = later.take_while(|record| {
            let is_first = len == 0;
            len += record.body.as_str().len();
            is_first || len <= self.settings.max_batch_bytes
        });
        fitting.cloned().collect()
    }
}
