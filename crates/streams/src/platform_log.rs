use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{LogEra, LogOffset, LogRecord, LogStream, NewRecord};

/// A client of the platform's append-only log, implemented by the adapters.
#[allow(
    async_fn_in_trait,
    reason = "one loop on one thread, so futures needn't be Send"
)]
pub trait PlatformLog {
    /// Appends records in the given order, in one request.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError::NotWritten`] only when no record was written or will be written
    /// later, and [`AppendError::OutcomeUnknown`] in all other cases.
    async fn append(
        &self,
        stream: LogStream,
        records: Vec<NewRecord>,
    ) -> Result<AppendReceipt, AppendError>;

    /// Reads records starting at an offset, waiting up to `wait_ms` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Gone`] when the record at the offset was removed by retention, or when
    /// the offset belongs to an earlier era and lies beyond the end.
    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait_ms: u64,
    ) -> Result<ReadBatch, ReadError>;
}

/// The position of the records written by one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReceipt {
    /// The offset of the first record.
    pub first: LogOffset,
    /// The era of the log in which the records were written.
    #[serde(default, skip_serializing_if = "LogEra::is_first")]
    pub era: LogEra,
}

/// The result of one read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBatch {
    /// The oldest retained offset.
    pub first: LogOffset,
    /// The offset after the newest record of the stream when it was read.
    pub end: LogOffset,
    /// The records in order; a batch may stop short of `end`.
    pub records: Vec<LogRecord>,
    /// The era of the log to which the offsets belong.
    #[serde(default, skip_serializing_if = "LogEra::is_first")]
    pub era: LogEra,
}

/// Why an append returned no receipt.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    /// Nothing was written.
    #[error("nothing was written: {0}")]
    NotWritten(String),
    /// The records may have been written, or may still be written later.
    #[error("the records may have been written: {0}")]
    OutcomeUnknown(String),
}

/// Why a read returned no records.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The log doesn't have the offset: its record was removed by retention, or the offset belongs
    /// to an earlier era.
    #[error("the log doesn't have the offset: it begins at offset {first}, in era {era}")]
    Gone {
        /// The oldest retained offset.
        first: LogOffset,
        /// The era of the log.
        era: LogEra,
    },
    /// The log can't be reached or returned an error.
    #[error("the log is unavailable: {0}")]
    Unavailable(String),
    /// The response can't be decoded.
    #[error("the log's response can't be decoded: {0}")]
    Malformed(String),
}
