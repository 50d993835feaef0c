use serde::Serialize;

/// What a team pays for, counted over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TeamContract {
    /// The rate that the team may keep up, in requests per second.
    pub rate_per_s: u32,
    /// The requests that the team may send at once after a pause.
    pub burst: u32,
}
