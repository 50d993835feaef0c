use serde::{Deserialize, Serialize};
use streams::{LogOffset, NewRecord};

/// The body of a request to append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The records, in order.
    pub records: Vec<NewRecord>,
}

/// The body of the answer to a read of records that are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneReply {
    /// The oldest offset still kept.
    pub first: LogOffset,
}
