use std::collections::{BTreeMap, VecDeque};

use clock::ClockTime;
use streams::{
    AppendReceipt, LogEra, LogOffset, LogRecord, LogStream, NewRecord, ReadBatch, ReadError,
};

/// The maximum number of records in one batch.
const MAX_BATCH_RECORDS: usize = 1_000;

/// An in-memory log; the caller passes the time, which may be virtual.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_standin::LogStore;
/// use model::RecordId;
/// use streams::{LogOffset, LogStream, NewRecord, RecordBody};
///
/// let mut store = LogStore::default();
/// let record = NewRecord { id: RecordId::from_random(1), body: RecordBody::new("{}") };
/// store.append(ClockTime::ZERO, LogStream::Config, vec![record]);
/// let batch = store.read(LogStream::Config, LogOffset::ZERO).unwrap();
/// assert_eq!(batch.records.len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LogStore {
    streams: BTreeMap<LogStream, StoredStream>,
    era: LogEra,
}

#[derive(Clone, Debug, Default)]
struct StoredStream {
    first: u64,
    records: VecDeque<(ClockTime, LogRecord)>,
}

impl StoredStream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        if self.records.pop_front().is_some() {
            self.first += 1;
        }
    }
}

impl LogStore {
    /// Appends records to a stream and returns the offset of the first.
    pub fn append(
        &mut self,
        now: ClockTime,
        stream: LogStream,
        records: Vec<NewRecord>,
    ) -> AppendReceipt {
        let era = self.era;
        let stored = self.streams.entry(stream).or_default();
        let first = LogOffset::new(stored.end());
        for NewRecord { id, body } in records {
            let offset = LogOffset::new(stored.end());
            stored
                .records
                .push_back((now, LogRecord { offset, id, body }));
        }
        AppendReceipt { first, era }
    }

    /// Reads a batch of records, starting at an offset.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Gone`] when the record at the offset has been removed, or when the log
    /// has come back from a copy that ends before it.
    pub fn read(&self, stream: LogStream, from: LogOffset) -> Result<ReadBatch, ReadError> {
        let Some(stored) = self.streams.get(&stream) else {
            return Ok(ReadBatch {
                era: self.era,
                ..ReadBatch::default()
            });
        };
        let first = LogOffset::new(stored.first);
        let is_beyond_end = self.era > LogEra::FIRST && from.get() > stored.end();
        if from < first || is_beyond_end {
            return Err(ReadError::Gone {
                first,
                era: self.era,
            });
        }
        let skipped = usize::try_from(from.get() - stored.first).unwrap_or(usize::MAX);
        let later = stored.records.iter().skip(skipped).take(MAX_BATCH_RECORDS);
        Ok(ReadBatch {
            first,
            end: LogOffset::new(stored.end()),
            records: later.map(|(_, record)| record.clone()).collect(),
            era: self.era,
        })
    }

    /// Returns the offset after the newest record of a stream.
    #[must_use]
    pub fn end(&self, stream: LogStream) -> LogOffset {
        let end = self.streams.get(&stream).map_or(0, StoredStream::end);
        LogOffset::new(end)
    }

    /// Comes back from a copy of this age, without the later records and in the next era.
    pub fn go_back(&mut self, now: ClockTime, age_ms: u64) {
        self.era = LogEra::new(self.era.get() + 1);
        for stored in self.streams.values_mut() {
            while let Some((time, _)) = stored.records.back()
                && now.since_ms(*time) < age_ms
            {
                stored.records.pop_back();
            }
        }
    }

    /// Removes all records that are older than `retention_ms`.
    pub fn expire(&mut self, now: ClockTime, retention_ms: u64) {
        for stored in self.streams.values_mut() {
            while let Some((time, _)) = stored.records.front()
                && now.since_ms(*time) > retention_ms
            {
                stored.drop_oldest();
            }
        }
    }

    /// Removes the oldest records until no stream has more than `max_records`.
    pub fn retain(&mut self, max_records: usize) {
        for stored in self.streams.values_mut() {
            while stored.records.len() > max_records {
                stored.drop_oldest();
            }
        }
    }

    /// Removes all records and restarts at offset 0, like a log that was lost and recreated.
    pub fn recreate(&mut self) {
        self.streams.clear();
    }
}
