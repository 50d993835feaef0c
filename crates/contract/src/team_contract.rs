use model::CallImportance;
use serde::Serialize;

/// What a team pays for, counted over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TeamContract {
    /// The class of the team's requests, in place of the one of the call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub importance: Option<CallImportance>,
    /// The rate that the team may keep up, in requests per second.
    pub rate_per_s: u32,
    /// The requests that the team may send at once after a pause.
    pub burst: u32,
}
