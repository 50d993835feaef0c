use member::MemberAnnouncement;
use model::AttemptId;
use once::{AttemptState, HolderReply, TableMark};
use quarantine::{SuspectUpdate, UpdateId};
use rate::RateMessage;
use serde::{Deserialize, Serialize};
use streams::{RelayBatch, RelayPull};

/// A control message from one node to another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum NodeMessage {
    /// Asks for what follows in a stream of the platform's log.
    Pull(RelayPull),
    /// Tells that a member changed its state.
    Member(MemberAnnouncement),
    /// Asks to append an announcement, which tells of a change or repeats the last one.
    Keep(MemberAnnouncement, bool),
    /// Carries a message between the limiters of two nodes.
    Rate(RateMessage),
    /// Asks for the mark of the node's table of attempts.
    AskMark,
    /// Asks what became of an attempt that carried a mark.
    AskAttempt(AttemptId, TableMark),
    /// Asks what became of the attempt that owns an idempotency key.
    AskHolder(AttemptId),
    /// Tells of requests that crashed backend servers.
    Suspect(UpdateId, Vec<SuspectUpdate>),
    /// Tells of all requests that are suspect or in quarantine.
    SuspectList(Vec<SuspectUpdate>),
    /// Tells that such news was taken.
    SuspectAck(UpdateId, Vec<SuspectUpdate>),
}

/// The answer to a control message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum NodeReply {
    /// What follows in the stream, unless the node doesn't follow it.
    Batch(Option<RelayBatch>),
    /// The mark of the table of attempts.
    Mark(TableMark),
    /// What became of the attempt.
    Attempt(AttemptState),
    /// What became of the attempt that owns the key.
    Holder(HolderReply),
    /// Whether the announcement was appended.
    Kept(bool),
    /// The message was taken, or wasn't understood.
    Nothing,
}
