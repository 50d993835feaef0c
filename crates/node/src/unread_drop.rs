use std::task::{Context, Poll};

use crate::stall_timer::StallTimer;

/// The maximum time for which the bytes behind the last answer are read and dropped, in
/// milliseconds.
const TIMEOUT_MS: u64 = 1_000;
/// The maximum number of those bytes.
const MAX_BYTES: usize = 1024 * 1024;

/// Limits the reading of what a caller sent behind the answer that closed its connection.
///
/// If the connection were closed with unread bytes, the system would reset it, and the caller could
/// lose the end of the answer.
pub(crate) struct UnreadDrop {
    bytes: usize,
    timer: StallTimer,
}

impl UnreadDrop {
    pub(crate) fn new() -> Self {
        Self {
            bytes: 0,
            timer: StallTimer::new(TIMEOUT_MS),
        }
    }

    /// Records dropped bytes, and returns whether more may be read.
    pub(crate) const fn record(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.bytes < MAX_BYTES
    }

    /// Ready once the time is over.
    pub(crate) fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        self.timer.poll_stalled(context)
    }
}
