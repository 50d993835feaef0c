use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use compio::runtime::JoinHandle;
use h2::RecvStream;
use http_body::{Body, Frame};
use thiserror::Error;

use crate::link_activity::WaitGuard;

/// A body that ended before its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The link broke or the other end gave up.
    #[error("the body was cut: {0}")]
    Cut(#[from] h2::Error),
    /// The body's length isn't the one its head told.
    #[error("the body has {got} bytes, its head told {told}")]
    WrongLength {
        /// The length that the head told, in bytes.
        told: u64,
        /// The length seen, in bytes.
        got: u64,
    },
}

/// A body that arrives on a link; a cut is an error, never a clean end.
pub struct LinkBody {
    stream: RecvStream,
    first: Option<Bytes>,
    told: Option<u64>,
    got: u64,
    is_data_done: bool,
    _call: Option<CallSender>,
}

/// What the calling end holds until the answer has come to its end.
pub(crate) struct CallSender {
    /// The task that sends what is left of the call's own body.
    pub(crate) _sender: Option<JoinHandle<()>>,
    pub(crate) _guard: WaitGuard,
}

impl LinkBody {
    /// Creates a body; `call` is kept as long as this body.
    pub(crate) const fn new(
        stream: RecvStream,
        first: Bytes,
        told: Option<u64>,
        call: Option<CallSender>,
    ) -> Self {
        Self {
            stream,
            first: Some(first),
            told,
            got: 0,
            is_data_done: false,
            _call: call,
        }
    }

    fn check_length(&self) -> Result<(), BodyError> {
        match self.told {
            Some(told) if told != self.got => Err(BodyError::WrongLength {
                told,
                got: self.got,
            }),
            _ => Ok(()),
        }
    }

    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            self.got += first.len() as u64;
            return Poll::Ready(Some(Ok(first)));
        }
        match self.stream.poll_data(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(self.check_length().err().map(Err)),
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(error.into()))),
            Poll::Ready(Some(Ok(chunk))) => {
                let _ = self.stream.flow_control().release_capacity(chunk.len());
                self.got += chunk.len() as u64;
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
        while !self.is_data_done {
            match self.poll_data(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => self.is_data_done = true,
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
