use std::net::SocketAddr;

use contract::ContractError;
use model::TeamName;
use streams::{ReadError, RecordOutcome};
use thiserror::Error;

use crate::demo::DemoError;
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
    /// The demo couldn't be run to its end.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// The event loop can't be started.
    #[error("the event loop can't be started: {0}")]
    Runtime(std::io::Error),
    /// The node can't run.
    #[error(transparent)]
    Node(#[from] node::NodeError),
    /// The log can't be set up.
    #[error("logging can't be started: {0}")]
    Logging(String),
    /// No client of the platform's log can be made.
    #[error("no client can be made: {0}")]
    Client(#[from] cyper::Error),
    /// The platform's log can't be read.
    #[error("the platform's log can't be read: {0}")]
    ReadLog(#[from] ReadError),
    /// The log has lost records, and no snapshot of them is there yet.
    #[error("the log has lost old records and holds no snapshot of them yet; try again later")]
    NoSnapshot,
    /// A team isn't in the contract in force.
    #[error("team \"{0}\" isn't in the contract in force; publish it first")]
    UnknownTeam(TeamName),
    /// The change was decided against.
    #[error("{0}")]
    Rejected(RecordOutcome),
    /// The change was certainly not written.
    #[error("nothing was changed: {0}")]
    NotWritten(String),
    /// The change may have been written.
    #[error("unknown yet: the log gave no answer in time, the change may come into force; {0}")]
    UnknownYet(String),
    /// A node doesn't answer as it should.
    #[error("node {address} gave no dump: {reason}")]
    NoDump { address: SocketAddr, reason: String },
}

impl CommandError {
    /// Returns the code that the process ends with.
    pub(crate) const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::NoCommand(_) | Self::Settings(_) => ExitStatus::BadUsage,
            Self::InvalidContract(_) => ExitStatus::InvalidContract,
            Self::Rejected(_) => ExitStatus::Rejected,
            Self::UnknownYet(_) => ExitStatus::UnknownYet,
            Self::ReadLog(_) | Self::NotWritten(_) | Self::NoDump { .. } => ExitStatus::Unreachable,
            Self::ReadFile { .. }
            | Self::Demo(_)
            | Self::Runtime(_)
            | Self::Node(_)
            | Self::Logging(_)
            | Self::Client(_)
            | Self::NoSnapshot
            | Self::UnknownTeam(_) => ExitStatus::Failed,
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
