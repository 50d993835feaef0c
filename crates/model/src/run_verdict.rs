use serde::{Deserialize, Serialize};

/// Whether a request may have run on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunVerdict {
    /// No byte of the request has reached a backend server, nor will one.
    NotRun,
    /// The request may have run, may run still, or may never run.
    MayHaveRun,
    /// The backend server has answered the request.
    Ran,
}

impl RunVerdict {
    /// Returns the text of the verdict header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns whether sending the request again can't run it twice.
    #[must_use]
    pub const fn is_safe_to_resend(self) -> bool {
        matches!(self, Self::NotRun)
    }
}
