use std::fmt;

use model::RecordId;
use serde::{Deserialize, Serialize};

use crate::RecordBody;

/// The position of a record in its stream, counted from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogOffset(u64);

impl LogOffset {
    /// The position of the first record.
    pub const ZERO: Self = Self(0);

    /// Creates an offset.
    #[must_use]
    pub const fn new(offset: u64) -> Self {
        Self(offset)
    }

    /// Returns the offset as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the offset of the next record.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for LogOffset {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A record to append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewRecord {
    /// The identifier; stays the same when the append is retried.
    pub id: RecordId,
    /// The content.
    pub body: RecordBody,
}

/// A record as read from a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The position in the stream.
    pub offset: LogOffset,
    /// The identifier chosen by the writer.
    pub id: RecordId,
    /// The content.
    pub body: RecordBody,
}
