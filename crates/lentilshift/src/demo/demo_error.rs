use std::io;

use thiserror::Error;

/// The error of the demo.
#[derive(Debug, Error)]
pub(crate) enum DemoError {
    /// A loopback address can't be bound or connected to.
    #[error("can't bind or connect to a loopback address: {0}")]
    Address(#[from] io::Error),
    /// A connection broke.
    #[error("a loopback connection broke: {0}")]
    Connection(#[from] hyper::Error),
    /// The nodes weren't ready in time.
    #[error("the nodes weren't ready within {0} ms")]
    NotReady(u64),
    /// The task of a request didn't complete.
    #[error("the task that sent a request didn't complete")]
    TaskFailed,
    /// A result of the demo wasn't as expected.
    #[error("unexpected result: {0}")]
    UnexpectedResult(String),
}
