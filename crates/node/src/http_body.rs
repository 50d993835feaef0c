use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::call_body::CallBodyError;
use crate::stall_timer::StallTimer;

/// A body that arrives over HTTP and fails if its sender stalls.
pub(crate) struct HttpBody {
    body: Incoming,
    timer: StallTimer,
}

impl HttpBody {
    /// Creates a body that fails after `stall_limit_ms` milliseconds without progress.
    pub(crate) fn new(body: Incoming, stall_limit_ms: u64) -> Self {
        Self {
            body,
            timer: StallTimer::new(stall_limit_ms),
        }
    }
}

impl Body for HttpBody {
    type Data = Bytes;
    type Error = CallBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallBodyError>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) {
            self.timer.record_progress();
            return Poll::Ready(frame.map(|result| result.map_err(CallBodyError::from)));
        }
        let stalled = self.timer.poll_stalled(context);
        stalled.map(|()| Some(Err(CallBodyError::Stalled)))
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
