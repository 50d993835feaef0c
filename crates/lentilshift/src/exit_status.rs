use std::process::ExitCode;

/// The exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed for a reason that has no code of its own.
    Failed = 1,
    /// The arguments or settings are missing or invalid.
    BadUsage = 2,
    /// The contract text is invalid.
    InvalidContract = 3,
    /// The change was rejected when its record was applied, and nothing was changed.
    Rejected = 4,
    /// The change may or may not come into force.
    UnknownYet = 5,
    /// The platform's log or the node can't be reached, and nothing was changed.
    Unreachable = 6,
}

impl ExitStatus {
    /// The list of codes in the help text.
    pub(crate) const MEANINGS: &str = concat!(
        "  0  done\n",
        "  1  failed\n",
        "  2  the arguments or settings are missing or invalid\n",
        "  3  the contract text is invalid\n",
        "  4  rejected, nothing was changed\n",
        "  5  unknown yet, the change may have been made\n",
        "  6  the platform's log or the node can't be reached, nothing was changed",
    );
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
