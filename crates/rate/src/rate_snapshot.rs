use serde::{Deserialize, Serialize};

use crate::SnapshotRecord;

/// What a node knows of the whole stream of rate records, for a node that lacks some.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateSnapshot {
    /// The offset of the first record that is left out.
    pub covers: u64,
    /// The state of every slot.
    pub slots: Vec<SnapshotRecord>,
}
