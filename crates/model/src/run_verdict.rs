use serde::{Deserialize, Serialize};

/// Whether a request may have run on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunVerdict {
    /// The request has not run and will not run: no byte of it was or will be sent to a backend
    /// server.
    NotRun,
    /// The outcome is unknown: the request may have run, may still run, or may never run.
    MayHaveRun,
    /// The backend server has answered the request.
    Ran,
}

impl RunVerdict {
    /// Returns the value of the verdict header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns whether the request can be sent again without the risk of running it twice.
    #[must_use]
    pub const fn is_safe_to_resend(self) -> bool {
        matches!(self, Self::NotRun)
    }
}
