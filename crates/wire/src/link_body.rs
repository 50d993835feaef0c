use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use compio::runtime::JoinHandle;
use h2::RecvStream;
use http_body::{Body, Frame};
use thiserror::Error;

use crate::link_activity::InFlightGuard;

/// Why a body was not received completely.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The link broke or the peer reset the stream.
    #[error("the body was interrupted: {0}")]
    Interrupted(#[from] h2::Error),
    /// The length of the body differs from the one declared in its head.
    #[error("the body has {received} bytes, its head declared {declared}")]
    LengthMismatch {
        /// The length declared in the head, in bytes.
        declared: u64,
        /// The length received, in bytes.
        received: u64,
    },
}

/// A body received on a link; an incomplete body ends with an error, never with a clean end.
pub struct LinkBody {
    stream: RecvStream,
    first: Option<Bytes>,
    declared: Option<u64>,
    received: u64,
    is_data_complete: bool,
    _call: Option<CallGuard>,
}

/// What the client end of a link holds until the answer is complete.
pub(crate) struct CallGuard {
    /// The task that sends the rest of the call's body.
    pub(crate) _body_sender: Option<JoinHandle<()>>,
    pub(crate) _guard: InFlightGuard,
}

impl LinkBody {
    /// Creates a body that begins with `first`; `call` is held for as long as this body.
    pub(crate) const fn new(
        stream: RecvStream,
        first: Bytes,
        declared: Option<u64>,
        call: Option<CallGuard>,
    ) -> Self {
        Self {
            stream,
            first: Some(first),
            declared,
            received: 0,
            is_data_complete: false,
            _call: call,
        }
    }

    fn check_length(&self) -> Result<(), BodyError> {
        match self.declared {
            Some(declared) if declared != self.received => Err(BodyError::LengthMismatch {
                declared,
                received: self.received,
            }),
            _ => Ok(()),
        }
    }

    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            self.received += first.len() as u64;
            return Poll::Ready(Some(Ok(first)));
        }
        match self.stream.poll_data(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(self.check_length().err().map(Err)),
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(error.into()))),
            Poll::Ready(Some(Ok(chunk))) => {
                let _ = self.stream.flow_control().release_capacity(chunk.len());
                self.received += chunk.len() as u64;
                Poll::Ready(Some(Ok(chunk)))
            }
        }
    }
}

impl Body for LinkBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        while !self.is_data_complete {
            match self.poll_data(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => self.is_data_complete = true,
                Poll::Ready(Some(Ok(chunk))) if chunk.is_empty() => {}
                Poll::Ready(Some(chunk)) => return Poll::Ready(Some(chunk.map(Frame::data))),
            }
        }
        match self.stream.poll_trailers(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Some(Err(error.into()))),
            Poll::Ready(Ok(trailers)) => Poll::Ready(trailers.map(|map| Ok(Frame::trailers(map)))),
        }
    }
}
