use std::cmp::Ordering;
use std::collections::VecDeque;

use clock::ClockTime;

use crate::{
    CentreOutage, LogEra, LogOffset, LogRecord, LogStream, RelayBatch, RelayPull, RelaySnapshot,
    UpdateTime,
};

/// How many records a node retains for other nodes.
#[derive(Clone, Copy, Debug)]
pub struct RelaySettings {
    /// The most bytes of records retained.
    pub max_retained_bytes: usize,
    /// The most bytes of records in one answer; a single longer record is still sent.
    pub max_batch_bytes: usize,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            max_retained_bytes: 2 << 20,
            max_batch_bytes: 256 << 10,
        }
    }
}

/// Serves the latest records of one stream to other nodes.
#[derive(Clone, Debug)]
pub struct RecordRelay {
    stream: LogStream,
    settings: RelaySettings,
    records: VecDeque<LogRecord>,
    retained_bytes: usize,
    next: LogOffset,
    era: Option<LogEra>,
}

impl RecordRelay {
    /// Creates a relay that has no records.
    #[must_use]
    pub const fn new(stream: LogStream, settings: RelaySettings) -> Self {
        Self {
            stream,
            settings,
            records: VecDeque::new(),
            retained_bytes: 0,
            next: LogOffset::ZERO,
            era: None,
        }
    }

    /// Returns the offset after the newest record.
    #[must_use]
    pub const fn next(&self) -> LogOffset {
        self.next
    }

    /// Appends the next record; one out of order clears the retained records.
    pub fn push(&mut self, record: LogRecord) {
        if record.offset != self.next {
            self.skip_to(record.offset);
        }
        self.next = record.offset.next();
        self.retained_bytes += record.body.as_str().len();
        self.records.push_back(record);
        while self.retained_bytes > self.settings.max_retained_bytes {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.retained_bytes -= oldest.body.as_str().len();
        }
    }

    /// Clears the retained records and continues at `next`, when the records before it came as a
    /// snapshot or were removed from the log.
    pub fn skip_to(&mut self, next: LogOffset) {
        self.records.clear();
        self.retained_bytes = 0;
        self.next = next;
    }

    /// Sets the era of the log once it is known; the records of an earlier one are cleared.
    pub fn set_era(&mut self, era: Option<LogEra>) {
        if era != self.era {
            self.era = era;
            self.skip_to(LogOffset::ZERO);
        }
    }

    /// Returns whether a pull can be answered with records or a snapshot, rather than held.
    #[must_use]
    pub fn has_update(&self, pull: &RelayPull) -> bool {
        match pull.era.cmp(&self.era.unwrap_or_default()) {
            Ordering::Less => self.next > LogOffset::ZERO,
            Ordering::Equal => self.next > pull.from || pull.needs_snapshot,
            Ordering::Greater => false,
        }
    }

    /// Answers a pull; `snapshot` is called only when the requester lacks records that are no
    /// longer retained here.
    ///
    /// A requester in an earlier era gets the records of this one from the first on; one in a later
    /// era gets none, as this node's offsets mean nothing to it.
    pub fn answer(
        &self,
        now: ClockTime,
        pull: &RelayPull,
        fresh_at: Option<UpdateTime>,
        outages: Vec<CentreOutage>,
        snapshot: impl FnOnce() -> Option<RelaySnapshot>,
    ) -> RelayBatch {
        let oldest = self
            .records
            .front()
            .map_or(self.next, |record| record.offset);
        let era = self.era.unwrap_or_default();
        let is_outdated = pull.era > era;
        let requested = if pull.era < era {
            LogOffset::ZERO
        } else {
            pull.from
        };
        let needs_snapshot = !is_outdated && (pull.needs_snapshot || requested < oldest);
        let snapshot = needs_snapshot.then(snapshot).flatten();
        let from = snapshot.as_ref().map_or(requested, |state| state.covers);
        let records = if is_outdated {
            Vec::new()
        } else {
            self.records_from(from)
        };
        RelayBatch {
            stream: self.stream,
            records,
            snapshot,
            next: self.next,
            fresh_ms: fresh_at
                .filter(|_| !is_outdated)
                .map(|time| time.age_ms(now)),
            held_ms: 0,
            outages,
            snapshot_age_ms: None,
            snapshot_covers: LogOffset::ZERO,
            era: self.era,
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
