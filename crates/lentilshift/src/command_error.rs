use contract::ContractError;
use thiserror::Error;

use crate::exit_status::ExitStatus;
use crate::fault_report::FaultReport;
use crate::setting_fault::SettingFaults;

/// Why a command didn't do what was asked.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The command line can't be read.
    #[error("{0}; see lentilshift --help")]
    Usage(#[from] gumdrop::Error),
    /// No command is named.
    #[error("no command is named; see lentilshift {0}--help")]
    NoCommand(&'static str),
    /// Settings or arguments are at fault.
    #[error(transparent)]
    Settings(#[from] SettingFaults),
    /// A file can't be read.
    #[error("can't read file \"{file}\": {error}")]
    ReadFile { file: String, error: std::io::Error },
    /// The contract text is at fault.
    #[error(transparent)]
    InvalidContract(#[from] ContractError),
    /// The command isn't part of this build.
    #[error("the command \"{0}\" isn't part of this build")]
    NotBuilt(&'static str),
}

impl CommandError {
    /// Returns the code that the process ends with.
    pub(crate) const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::NoCommand(_) | Self::Settings(_) => ExitStatus::BadUsage,
            Self::InvalidContract(_) => ExitStatus::InvalidContract,
            Self::ReadFile { .. } | Self::NotBuilt(_) => ExitStatus::Failed,
        }
    }

    /// Prints the error for the operator.
    pub(crate) fn print(self) {
        match self {
            Self::InvalidContract(error) => {
                eprintln!("{:?}", miette::Report::new(FaultReport(error)));
            }
            other => eprintln!("error: {other}"),
        }
    }
}
