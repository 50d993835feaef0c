use model::LoadNews;
use serde::{Deserialize, Serialize};

use crate::ShedThresholds;

/// The load of one backend server as its node sees it, sent back on every answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The requests that are running.
    pub in_flight: u32,
    /// The concurrency limit.
    pub limit: u32,
    /// The requests that are waiting.
    pub queued: u32,
    /// The time that a request arriving now would wait, in milliseconds.
    pub wait_ms: u32,
    /// The thresholds below which new requests are refused.
    #[serde(rename = "cuts")]
    pub thresholds: ShedThresholds,
    /// How long work takes on the host of the backend server now, in percent of the usual; 0 if it
    /// isn't stated.
    pub slowness: u16,
    /// Figures of other VMs of the service.
    pub news: Vec<LoadNews>,
}
