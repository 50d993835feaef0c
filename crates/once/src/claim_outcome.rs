use serde::{Deserialize, Serialize};

use crate::StoredAnswer;

/// What became of an attempt that was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The backend server answered.
    Answered(StoredAnswer),
    /// The backend server may have run the call.
    MayHaveRun,
    /// No byte of the call reached the backend server, nor will one.
    NotRun,
}

/// What the holder of a claim says about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderReply {
    /// The attempt waits or runs: ask again.
    Running,
    /// The attempt was answered.
    Answer(StoredAnswer),
    /// The attempt was answered; the answer isn't kept.
    Ran,
    /// The attempt may have run, or the holder knows nothing of it.
    MayHaveRun,
    /// The attempt never runs, and its claim is being released.
    NotRun,
}
