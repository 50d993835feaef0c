use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use wire::{BodyError, LinkBody};

use crate::http_body::HttpBody;

/// The body of a call or an answer, from any source.
pub(crate) enum CallBody {
    /// No bytes.
    Empty,
    /// A body that is fully in memory.
    Buffered(Bytes),
    /// A request body that arrives over HTTP from a caller or a backend server. Its trailers aren't
    /// forwarded, since they may contain a key.
    Upload(HttpBody),
    /// The body of an answer of the backend server.
    Http(HttpBody),
    /// A body that arrives over a link from another node.
    Link(LinkBody),
}

/// Why a body ended before it was complete.
#[derive(Debug, Error)]
pub(crate) enum CallBodyError {
    /// The HTTP connection of the body failed.
    #[error("HTTP body was interrupted: {0}")]
    Http(#[from] hyper::Error),
    /// The sender or the reader of the body stalled.
    #[error("body was interrupted: its sender or reader stalled")]
    Stalled,
    /// The rest of an answer hasn't come by the deadline of its request.
    #[error("answer was interrupted: the deadline of its request has passed")]
    Late,
    /// The body has more bytes than an answer may have.
    #[error("body exceeds the maximum size of an answer")]
    TooLong,
    /// The answer has no length, and its connection ended while the request was still being sent.
    #[error("answer ended with its connection before the request was sent")]
    Early,
    /// The body was interrupted on its link.
    #[error(transparent)]
    Link(#[from] BodyError),
}

impl CallBody {
    /// Returns a copy of the body, or `None` if it is a stream.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Empty => Some(Self::Empty),
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            _ => None,
        }
    }

    /// Returns the length in bytes, when it is known.
    pub(crate) fn known_len(&self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Upload(body) | Self::Http(body) => body.size_hint().exact(),
            Self::Link(_) => None,
        }
    }
}

impl From<Bytes> for CallBody {
    fn from(bytes: Bytes) -> Self {
        Self::Buffered(bytes)
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = CallBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallBodyError>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Buffered(bytes) => {
                let bytes = std::mem::take(bytes);
                *self = Self::Empty;
                Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
            }
            Self::Upload(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| match frame? {
                    Ok(frame) => frame.is_data().then_some(Ok(frame)),
                    Err(error) => Some(Err(error)),
                })
            }
            Self::Http(body) => Pin::new(body).poll_frame(context),
            Self::Link(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| frame.map(|result| result.map_err(CallBodyError::from)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.known_len()
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
