use model::{CentreName, VmName};
use serde::{Deserialize, Serialize};

use crate::{LogEra, LogOffset, LogRecord, LogStream, RecordBody};

/// A node's request to another node for the records of a stream from `from` on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPull {
    /// The stream.
    pub stream: LogStream,
    /// The offset of the first record that the requester lacks.
    pub from: LogOffset,
    /// Whether the requester lacks the state before `from`.
    pub needs_snapshot: bool,
    /// The time since the requester last knew the end of the stream, in milliseconds; `None` when
    /// it never did.
    pub age_ms: Option<u64>,
    /// How long the answer may be held until there is an update, in milliseconds.
    pub wait_ms: u64,
    /// The era of the log to which `from` belongs.
    pub era: LogEra,
}

/// The answer to a [`RelayPull`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayBatch {
    /// The stream.
    pub stream: LogStream,
    /// The state up to some offset, for a requester that lacks records no longer retained by the
    /// answering node.
    pub snapshot: Option<RelaySnapshot>,
    /// The records that follow the requester's position or the snapshot.
    pub records: Vec<LogRecord>,
    /// The offset of the first record that the answering node lacks.
    pub next: LogOffset,
    /// The time since the answering node last knew the end of the log, read by itself or by another
    /// node, in milliseconds; `None` when it never did.
    pub fresh_ms: Option<u64>,
    /// The time that the pull was held before it was answered, in milliseconds.
    pub held_ms: u64,
    /// The nodes that recently failed to read the log, a few for each data centre.
    pub outages: Vec<CentreOutage>,
    /// The time since a snapshot was last seen on the stream, in milliseconds.
    pub snapshot_age_ms: Option<u64>,
    /// The offset up to which this snapshot covers the stream.
    pub snapshot_covers: LogOffset,
    /// The era of the log to which the offsets belong; `None` when the answering node has read
    /// nothing yet.
    pub era: Option<LogEra>,
}

impl RelayBatch {
    /// Sets the time that the pull was held before it was answered, in milliseconds.
    #[must_use]
    pub fn held_ms(self, held_ms: u64) -> Self {
        Self { held_ms, ..self }
    }
}

/// A complete state, covering the records before an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaySnapshot {
    /// The offset of the first record that isn't part of the state.
    pub covers: LogOffset,
    /// The state, encoded as in the stream's snapshot records.
    pub body: RecordBody,
}

/// A node that recently failed to read the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreOutage {
    /// The node's data centre.
    pub centre: CentreName,
    /// The node.
    pub vm: VmName,
    /// The time since the failure, in milliseconds.
    pub age_ms: u64,
}
