use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::call_body::{CallBody, CallBodyError};

/// How far the request on a connection to the backend server has been written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum SendState {
    /// More of the body follows.
    #[default]
    Open,
    /// The body has ended, and some of its bytes may still be buffered.
    Ended,
    /// The whole request was handed to the system.
    Written,
}

/// The progress of the request on a connection to the backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendProgress(Rc<Cell<SendState>>);

impl SendProgress {
    /// Starts the next request of the connection.
    pub(crate) fn restart(&self) {
        self.0.set(SendState::Open);
    }

    /// Records that no byte is left in the buffers of the connection.
    pub(crate) fn record_flush(&self) {
        if self.0.get() == SendState::Ended {
            self.0.set(SendState::Written);
        }
    }

    /// Returns whether the whole request was handed to the system.
    pub(crate) fn is_written(&self) -> bool {
        self.0.get() == SendState::Written
    }

    fn record_end(&self) {
        self.0.set(SendState::Ended);
    }
}

/// The body of a request to the backend server, whose end is recorded.
pub(crate) struct SentBody {
    body: CallBody,
    /// The bytes that follow, if the length is known.
    left_bytes: Option<u64>,
    progress: SendProgress,
}

impl SentBody {
    pub(crate) fn new(body: CallBody, progress: SendProgress) -> Self {
        progress.restart();
        let left_bytes = body.known_len();
        if left_bytes == Some(0) {
            progress.record_end();
        }
        Self {
            body,
            left_bytes,
            progress,
        }
    }

    /// Returns the body of a request that wasn't sent.
    pub(crate) fn into_inner(self) -> CallBody {
        self.body
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = CallBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallBodyError>>> {
        let poll = Pin::new(&mut self.body).poll_frame(context);
        match &poll {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
                self.left_bytes = self.left_bytes.map(|left| left.saturating_sub(bytes));
                if self.left_bytes == Some(0) {
                    self.progress.record_end();
                }
            }
            Poll::Ready(None) => self.progress.record_end(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        poll
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
