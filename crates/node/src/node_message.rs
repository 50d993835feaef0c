use platform::{RelayBatch, RelayPull};
use serde::{Deserialize, Serialize};

/// A control message from one node to another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum NodeMessage {
    /// Asks for what follows in a stream of the platform's log.
    Pull(RelayPull),
}

/// The answer to a control message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum NodeReply {
    /// What follows in the stream.
    Batch(RelayBatch),
    /// The message was taken, or wasn't understood.
    Nothing,
}
