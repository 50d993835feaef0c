use serde::{Deserialize, Serialize};
use streams::{LogEra, LogOffset, NewRecord};

/// The body of an append request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The records to append, in order.
    pub records: Vec<NewRecord>,
}

/// The body of the answer to a read of records that are no longer retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneReply {
    /// The oldest offset that is still retained.
    pub first: LogOffset,
    /// The era of the log.
    #[serde(default, skip_serializing_if = "LogEra::is_first")]
    pub era: LogEra,
}
