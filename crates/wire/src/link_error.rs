use std::io;
use std::rc::Rc;

use model::RunVerdict;
use thiserror::Error;

use crate::CodecError;

/// What went wrong on a link.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection can't be opened.
    #[error("connection to the node can't be opened: {0}")]
    Connect(#[from] io::Error),
    /// An opening that others waited for too failed.
    #[error(transparent)]
    Unopened(Rc<LinkError>),
    /// Connecting took too long.
    #[error("connection to the node wasn't ready after {0} ms")]
    ConnectTimeout(u64),
    /// The node that connected didn't prove the secret in time.
    #[error("the node at the other end didn't prove the fleet's secret within {0} ms")]
    ProofTimeout(u64),
    /// The other node doesn't hold the fleet's secret.
    #[error("the node at the other end didn't prove the fleet's secret")]
    Unproven,
    /// The other node speaks another version of the messages.
    #[error("the node at the other end speaks wire version {theirs}, this one {ours}")]
    Version {
        /// The version of this node.
        ours: u16,
        /// The version of the other node.
        theirs: u16,
    },
    /// The link closed before any byte of the call was sent.
    #[error("the link closed before the call was sent: {0}")]
    NotSent(#[source] h2::Error),
    /// The link broke after the call may have been sent.
    #[error("the link broke while the call ran: {0}")]
    Broken(#[source] h2::Error),
    /// The link stopped answering probes.
    #[error("the link went silent while the call ran")]
    Silent,
    /// The stream ended too early.
    #[error("the stream ended inside a head")]
    CutHead,
    /// A head is larger than allowed.
    #[error("a head of {0} bytes is larger than allowed")]
    LargeHead(usize),
    /// A message can't be read or written.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The answer belongs to another call.
    #[error("the answer names attempt {got}, the call was attempt {sent}")]
    WrongAnswer {
        /// The attempt that was sent.
        sent: model::AttemptId,
        /// The attempt that the answer names.
        got: model::AttemptId,
    },
}

impl LinkError {
    /// Returns whether the call may have run on the far side.
    #[must_use]
    pub const fn verdict(&self) -> RunVerdict {
        match self {
            Self::Connect(_)
            | Self::Unopened(_)
            | Self::ConnectTimeout(_)
            | Self::Unproven
            | Self::Version { .. }
            | Self::NotSent(_) => RunVerdict::NotRun,
            _ => RunVerdict::MayHaveRun,
        }
    }
}
