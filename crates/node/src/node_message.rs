use member::MemberAnnouncement;
use platform::{RelayBatch, RelayPull};
use serde::{Deserialize, Serialize};

/// A control message from one node to another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum NodeMessage {
    /// Asks for what follows in a stream of the platform's log.
    Pull(RelayPull),
    /// Tells that a member changed its state.
    Member(MemberAnnouncement),
}

/// The answer to a control message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum NodeReply {
    /// What follows in the stream, unless the node doesn't follow it.
    Batch(Option<RelayBatch>),
    /// The message was taken, or wasn't understood.
    Nothing,
}
