use bytes::Bytes;

use crate::call_body::CallBody;

/// The body of a call, which can be sent more than once if it is buffered.
pub(crate) enum ReplayBody {
    /// A body in memory, of which every attempt gets a copy.
    Buffered(Bytes),
    /// A stream, which only the first attempt gets.
    Stream(CallBody),
    /// A stream that was passed to an attempt.
    Taken,
}

impl ReplayBody {
    pub(crate) fn new(body: CallBody) -> Self {
        match body {
            CallBody::Empty => Self::Buffered(Bytes::new()),
            CallBody::Buffered(bytes) => Self::Buffered(bytes),
            stream => Self::Stream(stream),
        }
    }

    /// Returns the body for an attempt.
    pub(crate) fn take(&mut self) -> CallBody {
        match std::mem::replace(self, Self::Taken) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                CallBody::Buffered(bytes)
            }
            Self::Stream(body) => body,
            Self::Taken => CallBody::Empty,
        }
    }

    /// Returns whether another attempt would get the complete body.
    pub(crate) const fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}
