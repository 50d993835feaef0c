use std::net::SocketAddr;

use contract::ContractError;
use model::TeamName;
use streams::{ReadError, RecordOutcome};
use thiserror::Error;

use crate::contract_error_report::ContractErrorReport;
use crate::demo::DemoError;
use crate::exit_status::ExitStatus;
use crate::setting_error::SettingErrors;

/// The error of a command.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The command line can't be parsed.
    #[error("{0}; see lentilshift --help")]
    Usage(#[from] gumdrop::Error),
    /// The command line selects no command.
    #[error("no command is named; see lentilshift {0}--help")]
    NoCommand(&'static str),
    /// Settings or arguments are missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingErrors),
    /// A file can't be read.
    #[error("can't read file \"{file}\": {error}")]
    ReadFile { file: String, error: std::io::Error },
    /// The file holds an invalid configuration of the users' platform.
    #[error("\"{file}\": {error}")]
    InvalidConfig {
        file: String,
        error: platform::ConfigError,
    },
    /// The contract text is invalid.
    #[error(transparent)]
    InvalidContract(#[from] ContractError),
    /// The demo failed.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// The event loop can't be created.
    #[error("the event loop can't be started: {0}")]
    Runtime(std::io::Error),
    /// The handlers of signals can't be installed.
    #[error("signals can't be handled: {0}")]
    Signals(std::io::Error),
    /// The node can't run.
    #[error(transparent)]
    Node(#[from] node::NodeError),
    /// The process's logging can't be set up.
    #[error("logging can't be started: {0}")]
    Logging(String),
    /// The HTTP client can't be created.
    #[error("the HTTP client can't be created: {0}")]
    Client(#[from] cyper::Error),
    /// The platform's log can't be read.
    #[error("the platform's log can't be read: {0}")]
    ReadLog(#[from] ReadError),
    /// The log no longer retains its oldest records, and holds no snapshot that covers them.
    #[error("the log has lost old records and holds no snapshot of them yet; try again later")]
    NoSnapshot,
    /// A team isn't in the contract in force.
    #[error("team \"{0}\" isn't in the contract in force; publish it first")]
    UnknownTeam(TeamName),
    /// The change was rejected when its record was applied.
    #[error("{0}")]
    Rejected(RecordOutcome),
    /// The change was certainly not written to the log.
    #[error("nothing was changed: {0}")]
    NotWritten(String),
    /// The change may have been written to the log; the text advises what to do.
    #[error("unknown yet: the log didn't answer in time, the change may come into force; {0}")]
    UnknownYet(String),
    /// A node can't be reached or didn't return its state.
    #[error("node {address} gave no dump: {reason}")]
    NoDump { address: SocketAddr, reason: String },
}

impl CommandError {
    /// Returns the exit status of the process.
    pub(crate) const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::NoCommand(_) | Self::Settings(_) => ExitStatus::BadUsage,
            Self::InvalidContract(_) | Self::InvalidConfig { .. } => ExitStatus::InvalidContract,
            Self::Rejected(_) => ExitStatus::Rejected,
            Self::UnknownYet(_) => ExitStatus::UnknownYet,
            Self::ReadLog(_) | Self::NotWritten(_) | Self::NoDump { .. } => ExitStatus::Unreachable,
            Self::ReadFile { .. }
            | Self::Demo(_)
            | Self::Runtime(_)
            | Self::Signals(_)
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
                eprintln!("{:?}", miette::Report::new(ContractErrorReport(error)));
            }
            other => eprintln!("error: {other}"),
        }
    }
}
