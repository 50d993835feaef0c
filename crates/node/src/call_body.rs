use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use wire::{BodyError, LinkBody};

use crate::http_body::HttpBody;

/// The body of a call or an answer, wherever it comes from.
pub(crate) enum CallBody {
    /// No bytes.
    Empty,
    /// All bytes at hand.
    Whole(Bytes),
    /// A body that arrives by HTTP from a caller or a backend server; its trailers go no further,
    /// since they may hold a key.
    Upload(HttpBody),
    /// A body that the backend server answers with.
    Http(HttpBody),
    /// A body that arrives from another node.
    Link(LinkBody),
}

/// A body that was cut.
#[derive(Debug, Error)]
pub(crate) enum CallBodyError {
    /// The HTTP connection that it arrived on broke.
    #[error("the HTTP body was cut: {0}")]
    Http(#[from] hyper::Error),
    /// Its sender or its reader stalled.
    #[error("the body was cut: one end made no progress")]
    Stalled,
    /// The link that it arrived on broke.
    #[error(transparent)]
    Link(#[from] BodyError),
}

impl CallBody {
    /// Returns the same body again, when all bytes are at hand.
    pub(crate) fn copy_at_hand(&self) -> Option<Self> {
        match self {
            Self::Empty => Some(Self::Empty),
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            _ => None,
        }
    }

    /// Returns the length in bytes, when it is known.
    pub(crate) fn known_bytes(&self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Whole(bytes) => Some(bytes.len() as u64),
            Self::Upload(body) | Self::Http(body) => body.size_hint().exact(),
            Self::Link(_) => None,
        }
    }
}

impl From<Bytes> for CallBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(bytes)
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
            Self::Whole(bytes) => {
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
        self.known_bytes()
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
