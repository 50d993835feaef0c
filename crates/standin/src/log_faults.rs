use serde::{Deserialize, Serialize};

/// How the stand-in log is unreachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutage {
    /// The log is up.
    #[default]
    None,
    /// Every request is answered with 503 at once, and nothing is written.
    Refuse,
    /// No request is answered, and nothing is written.
    Hang,
}

/// The faults of a stand-in log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFaults {
    /// How the log is unreachable.
    pub outage: LogOutage,
    /// The wait before an append is done, in milliseconds.
    pub append_delay_ms: u64,
    /// The wait after an append is done, before the answer, in milliseconds.
    pub reply_delay_ms: u64,
    /// The wait after a read is done, before the answer, in milliseconds.
    pub read_delay_ms: u64,
    /// Whether connections are cut after the write, in place of an answer.
    pub lose_append_replies: bool,
    /// Whether answers are no JSON.
    pub garble_answers: bool,
    /// The time for which records are kept, in milliseconds; `None` for ever.
    pub retention_ms: Option<u64>,
    /// The number of records kept in each stream; `None` for all.
    pub retained_records: Option<usize>,
}
