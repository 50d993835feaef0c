use model::CallImportance;
use serde::Serialize;

/// The terms of a team, whose rate and burst apply to the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TeamContract {
    /// The importance of the team's requests, which overrides that of the call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub importance: Option<CallImportance>,
    /// The sustained rate that the team may send at, in requests per second.
    pub rate_per_s: u32,
    /// The number of requests that the team may send at once after a pause.
    pub burst: u32,
}
