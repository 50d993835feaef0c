use serde::{Deserialize, Serialize};

use crate::ShedThresholds;

/// The load of one backend server as its node sees it, sent back on every answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The requests that run now.
    pub in_flight: u32,
    /// The most requests that may run at once.
    pub limit: u32,
    /// The requests that wait.
    pub queued: u32,
    /// The time that a request joining now would wait, in milliseconds.
    pub wait_ms: u32,
    /// What new requests are refused.
    pub cuts: ShedThresholds,
}
