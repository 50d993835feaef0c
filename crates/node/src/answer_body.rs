use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::call_body::{CallBody, CallBodyError};
use crate::count_guard::CountGuard;
use crate::ingress::RunGuard;

/// The body of an answer, with what is held until its last byte has gone.
pub(crate) struct AnswerBody {
    body: CallBody,
    told: Option<u64>,
    run: Option<RunGuard>,
    arrival: Option<CountGuard>,
}

impl AnswerBody {
    /// Creates a body of `told` bytes, when its length is known.
    pub(crate) const fn new(body: CallBody, told: Option<u64>) -> Self {
        Self {
            body,
            told,
            run: None,
            arrival: None,
        }
    }

    /// Counts a call that arrived until the body is dropped.
    #[must_use]
    pub(crate) fn with_arrival(mut self, arrival: CountGuard) -> Self {
        self.arrival = Some(arrival);
        self
    }

    /// Holds a running call until the body is done.
    #[must_use]
    pub(crate) fn with_run(mut self, run: RunGuard) -> Self {
        self.run = Some(run);
        self
    }
}

impl From<CallBody> for AnswerBody {
    fn from(body: CallBody) -> Self {
        let told = body.known_bytes();
        Self::new(body, told)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CallBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallBodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(None | Some(Err(_))) = frame {
            self.run = None;
        }
        frame
    }

    fn size_hint(&self) -> SizeHint {
        self.told
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
