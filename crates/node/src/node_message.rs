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
    /// Requests the next records of a stream of the platform's log.
    Pull(RelayPull),
    /// Announces a changed state of a member.
    Member(MemberAnnouncement),
    /// Requests that an announcement be appended to the log; the flag is true for a change and
    /// false for a repeated announcement.
    #[serde(rename = "Keep")]
    Append(MemberAnnouncement, bool),
    /// Carries a message between the limiters of two nodes.
    Rate(RateMessage),
    /// Requests the mark of the node's attempt table.
    #[serde(rename = "AskMark")]
    QueryMark,
    /// Requests the state of an attempt that carried a mark.
    #[serde(rename = "AskAttempt")]
    QueryAttempt(AttemptId, TableMark),
    /// Requests the state of the attempt that holds the claim on an idempotency key.
    #[serde(rename = "AskHolder")]
    QueryHolder(AttemptId),
    /// Sends updates about requests that are suspected of crashing backend servers.
    Suspect(UpdateId, Vec<SuspectUpdate>),
    /// Sends the list of all requests that are suspect or in quarantine.
    SuspectList(Vec<SuspectUpdate>),
    /// Acknowledges a [`Suspect`](Self::Suspect) message.
    SuspectAck(UpdateId, Vec<SuspectUpdate>),
}

/// The answer to a control message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum NodeReply {
    /// The next records of the stream, or `None` if the node doesn't follow that stream.
    Batch(Option<RelayBatch>),
    /// The mark of the attempt table.
    Mark(TableMark),
    /// The state of the attempt.
    Attempt(AttemptState),
    /// The state of the attempt that holds the claim.
    Holder(HolderReply),
    /// Whether the announcement was appended.
    #[serde(rename = "Kept")]
    Appended(bool),
    /// No content: the message needs no reply or couldn't be decoded.
    Nothing,
}
