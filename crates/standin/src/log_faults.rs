use serde::{Deserialize, Serialize};

/// The way in which a stand-in is unreachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutage {
    /// The stand-in is reachable.
    #[default]
    None,
    /// Every request gets 503 at once, and nothing is written.
    Refuse,
    /// No request is answered, and nothing is written.
    Hang,
}

/// The injected faults of a [`LogServer`](crate::LogServer).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFaults {
    /// The way in which the log is unreachable.
    pub outage: LogOutage,
    /// The delay before an append is written, in milliseconds.
    pub append_delay_ms: u64,
    /// The delay between the write of an append and its answer, in milliseconds.
    pub reply_delay_ms: u64,
    /// The delay between a read and its answer, in milliseconds.
    pub read_delay_ms: u64,
    /// Whether the connection is closed after an append is written, without an answer.
    pub lose_append_replies: bool,
    /// Whether answers to reads and appends are replaced by text that is not JSON.
    pub garble_answers: bool,
    /// The retention time of records, in milliseconds; `None` for no limit.
    pub retention_ms: Option<u64>,
    /// The maximum number of records retained in each stream; `None` for no limit.
    pub retained_records: Option<usize>,
}
