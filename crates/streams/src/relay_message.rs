use model::{CentreName, VmName};
use serde::{Deserialize, Serialize};

use crate::{LogOffset, LogRecord, LogStream, RecordBody};

/// A node's question to another: what follows `from` in a stream?
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPull {
    /// The stream.
    pub stream: LogStream,
    /// The offset of the first record that the asker lacks.
    pub from: LogOffset,
    /// Whether the asker lacks the state before `from`.
    pub needs_snapshot: bool,
    /// The age of the asker's news, in milliseconds; `None` when it never was at the end.
    pub age_ms: Option<u64>,
    /// How long the answer may wait for news, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a [`RelayPull`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayBatch {
    /// The stream.
    pub stream: LogStream,
    /// The state up to some offset, for an asker that is too far behind for records.
    pub snapshot: Option<RelaySnapshot>,
    /// The records after what the asker has, or after the snapshot.
    pub records: Vec<LogRecord>,
    /// The offset that the answering node has got to.
    pub next: LogOffset,
    /// The time since some node read the log's end and the answering node was not behind it, in
    /// milliseconds; `None` when that never was.
    pub fresh_ms: Option<u64>,
    /// The time that the question was kept waiting, in milliseconds.
    pub held_ms: u64,
    /// The nodes that lately failed to read the log, a few for each data centre.
    pub outages: Vec<CentreOutage>,
    /// The time since a snapshot was last seen on the stream, in milliseconds.
    pub snapshot_age_ms: Option<u64>,
    /// The offset that this snapshot covers the stream to.
    pub snapshot_covers: LogOffset,
}

impl RelayBatch {
    /// Sets the time that the question was kept waiting, in milliseconds.
    #[must_use]
    pub fn held_ms(self, held_ms: u64) -> Self {
        Self { held_ms, ..self }
    }
}

/// A whole state, covering the records before an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaySnapshot {
    /// The offset of the first record that isn't part of the state.
    pub covers: LogOffset,
    /// The state, as the stream's snapshot records hold it.
    pub body: RecordBody,
}

/// A node that lately failed to read the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreOutage {
    /// The node's data centre.
    pub centre: CentreName,
    /// The node.
    pub vm: VmName,
    /// The time since the failure, in milliseconds.
    pub age_ms: u64,
}
