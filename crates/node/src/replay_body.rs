use bytes::Bytes;

use crate::call_body::CallBody;

/// The body of a call that may be sent more than once, when all of it is at hand.
pub(crate) enum ReplayBody {
    /// All bytes; each attempt gets them anew.
    Whole(Bytes),
    /// A stream that only the first attempt gets.
    Stream(CallBody),
    /// A stream that was taken.
    Taken,
}

impl ReplayBody {
    pub(crate) fn new(body: CallBody) -> Self {
        match body {
            CallBody::Empty => Self::Whole(Bytes::new()),
            CallBody::Whole(bytes) => Self::Whole(bytes),
            stream => Self::Stream(stream),
        }
    }

    /// Returns the body for an attempt.
    pub(crate) fn take(&mut self) -> CallBody {
        match std::mem::replace(self, Self::Taken) {
            Self::Whole(bytes) => {
                *self = Self::Whole(bytes.clone());
                CallBody::Whole(bytes)
            }
            Self::Stream(body) => body,
            Self::Taken => CallBody::Empty,
        }
    }

    /// Returns whether another attempt would get the whole body.
    pub(crate) const fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }
}
