use std::io;
use std::rc::Rc;

use model::RunVerdict;
use thiserror::Error;

use crate::{BodyError, CodecError};

/// The failure of a link, or of a call or control message on it.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection can't be opened.
    #[error("connection to the node can't be opened: {0}")]
    Connect(#[from] io::Error),
    /// The attempt to open the link failed; it was shared with other callers that waited for the link.
    #[error(transparent)]
    SharedConnect(Rc<LinkError>),
    /// Connecting and authenticating took too long.
    #[error("connection to the node wasn't ready after {0} ms")]
    ConnectTimeout(u64),
    /// The peer that connected didn't prove possession of the fleet secret in time.
    #[error("the peer didn't prove possession of the fleet secret within {0} ms")]
    AuthenticationTimeout(u64),
    /// The peer didn't prove possession of the fleet secret.
    #[error("the peer didn't prove possession of the fleet secret")]
    Unauthenticated,
    /// The peer uses another version of the protocol.
    #[error("the peer uses wire version {theirs}, this node uses {ours}")]
    VersionMismatch {
        /// The version of this node.
        ours: u16,
        /// The version of the peer.
        theirs: u16,
    },
    /// The call wasn't sent, or the peer refused its stream unprocessed.
    #[error("the link closed before the call was sent: {0}")]
    NotSent(#[source] h2::Error),
    /// The link broke after the call may have been sent.
    #[error("the link broke while the call was in flight: {0}")]
    Broken(#[source] h2::Error),
    /// The link went down while the call was in flight, such as after an unanswered probe.
    #[error("the link went down or stopped answering probes while the call was in flight")]
    Down,
    /// The stream ended before the head was complete.
    #[error("the stream ended before the head was complete")]
    TruncatedHead,
    /// The body of an answer ended too early.
    #[error("the answer is incomplete: {0}")]
    TruncatedAnswer(#[from] BodyError),
    /// A head or control message is larger than allowed; the value is its size in bytes.
    #[error("a message of {0} bytes is larger than allowed")]
    MessageTooLarge(usize),
    /// A message can't be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The answer names another attempt than the one that was sent.
    #[error("the answer is for attempt {got}, the call was attempt {sent}")]
    AttemptMismatch {
        /// The attempt that was sent.
        sent: model::AttemptId,
        /// The attempt that the answer names.
        got: model::AttemptId,
    },
}

impl LinkError {
    /// Returns whether the call may have run on the peer.
    #[must_use]
    pub const fn verdict(&self) -> RunVerdict {
        match self {
            Self::Connect(_)
            | Self::SharedConnect(_)
            | Self::ConnectTimeout(_)
            | Self::Unauthenticated
            | Self::VersionMismatch { .. }
            | Self::NotSent(_) => RunVerdict::NotRun,
            _ => RunVerdict::MayHaveRun,
        }
    }
}
