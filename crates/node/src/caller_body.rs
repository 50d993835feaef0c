use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

/// The body of a request that arrived on a port.
pub(crate) enum CallerBody {
    /// The body that follows the head on the connection.
    Incoming(Incoming),
    /// No bytes: the request was started before its turn on the connection.
    Empty,
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Self::Incoming(body) => Pin::new(body).poll_frame(context),
            Self::Empty => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Incoming(body) => body.is_end_stream(),
            Self::Empty => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Incoming(body) => body.size_hint(),
            Self::Empty => SizeHint::with_exact(0),
        }
    }
}
