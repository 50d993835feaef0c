use serde::{Deserialize, Serialize};

/// What a team may send over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRate {
    /// Requests per second in the long run.
    pub rate_per_s: u32,
    /// Requests that may come at once.
    pub burst: u32,
}
