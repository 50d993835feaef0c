use std::io;

use thiserror::Error;

/// Why the demo couldn't be run to its end.
#[derive(Debug, Error)]
pub(crate) enum DemoError {
    /// An address of this process can't be listened on or connected to.
    #[error("an address on loopback can't be used: {0}")]
    Address(#[from] io::Error),
    /// A connection broke.
    #[error("a connection on loopback broke: {0}")]
    Connection(#[from] hyper::Error),
    /// The fleet wasn't ready in time.
    #[error("the nodes weren't ready within {0} ms")]
    NotReady(u64),
    /// A task that sent a request came to no end.
    #[error("a request was sent and its task came to no end")]
    TaskFailed,
    /// Something happened that should not.
    #[error("not as promised: {0}")]
    BrokenPromise(String),
}
