use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{LogOffset, LogRecord, LogStream, NewRecord};

/// The platform's append-only log, as its adapters offer it.
#[allow(
    async_fn_in_trait,
    reason = "one loop on one thread, so futures needn't be Send"
)]
pub trait PlatformLog {
    /// Appends records, one after the other, in one request.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError::NotWritten`] only when no record was or will be written.
    async fn append(
        &self,
        stream: LogStream,
        records: Vec<NewRecord>,
    ) -> Result<AppendReceipt, AppendError>;

    /// Reads records from an offset on, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Gone`] when retention has passed over the offset.
    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait_ms: u64,
    ) -> Result<ReadBatch, ReadError>;
}

/// Where the records of one append went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReceipt {
    /// The offset of the first record.
    pub first: LogOffset,
}

/// What one read gave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBatch {
    /// The oldest offset still kept.
    pub first: LogOffset,
    /// The offset after the newest record of the stream when it was read.
    pub end: LogOffset,
    /// The records, in order; those up to `end` need not all be there.
    pub records: Vec<LogRecord>,
}

/// Why an append has no receipt.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    /// Nothing was written.
    #[error("nothing was written: {0}")]
    NotWritten(String),
    /// The records may have been written, or may be written yet.
    #[error("the records may have been written: {0}")]
    OutcomeUnknown(String),
}

/// Why a read gave no records.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// Retention has passed over the offset.
    #[error("records before offset {first} are gone")]
    Gone {
        /// The oldest offset still kept.
        first: LogOffset,
    },
    /// The log can't be reached or answers with an error.
    #[error("the log is unavailable: {0}")]
    Unavailable(String),
    /// The answer can't be understood.
    #[error("the log's answer can't be understood: {0}")]
    Malformed(String),
}
