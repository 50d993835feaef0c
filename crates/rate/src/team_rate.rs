use serde::{Deserialize, Serialize};

/// The rate limit of a team, over all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRate {
    /// The long-run rate, in requests per second.
    pub rate_per_s: u32,
    /// The requests that may arrive at once, above the long-run rate.
    pub burst: u32,
}
