use serde::{Deserialize, Serialize};

use crate::StoredAnswer;

/// The outcome of a started attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The backend server answered.
    Answered(StoredAnswer),
    /// The backend server may have run the call.
    MayHaveRun,
    /// No byte of the call has reached the backend server, and none will.
    NotRun,
}

/// The reply of the claim's holder to a query about the owning attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderReply {
    /// The attempt is waiting or running; the query should be repeated.
    Running,
    /// The attempt was answered.
    Answer(StoredAnswer),
    /// The attempt was answered, but the answer is no longer stored.
    Ran,
    /// The attempt may have run, or the holder doesn't know it.
    MayHaveRun,
    /// The attempt hasn't run and never will; its claim is being released.
    NotRun,
}
