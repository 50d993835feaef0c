use serde::{Deserialize, Serialize};

use crate::SnapshotRecord;

/// The state of all slots at one node, sent to a node that can't read all records of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateSnapshot {
    /// The offset of the first record that isn't included.
    pub covers: u64,
    /// The state of every slot.
    pub slots: Vec<SnapshotRecord>,
}
