use std::process::ExitCode;

/// What the command's exit code tells scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// The command did what was asked.
    Success = 0,
    /// The command failed in a way that no other code tells.
    Failed = 1,
    /// The arguments or settings are at fault.
    BadUsage = 2,
    /// The contract text is at fault.
    InvalidContract = 3,
    /// The log's order decided against the change.
    Rejected = 4,
    /// The change may or may not come into force.
    UnknownYet = 5,
    /// The platform's log or the node can't be reached, and nothing was changed.
    Unreachable = 6,
}

impl ExitStatus {
    /// All codes with their meaning, for the help text.
    pub(crate) const MEANINGS: &str = concat!(
        "  0  done\n",
        "  1  failed\n",
        "  2  the arguments or settings are at fault\n",
        "  3  the contract text is at fault\n",
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
