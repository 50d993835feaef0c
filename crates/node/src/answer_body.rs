use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::call_body::{CallBody, CallBodyError};
use crate::count_guard::CountGuard;
use crate::held_answer::HeldAnswer;

/// The body of an answer, with what is held until its last byte has gone.
pub(crate) struct AnswerBody {
    source: AnswerSource,
    told: Option<u64>,
    arrival: Option<CountGuard>,
}

/// Where the bytes of an answer come from.
enum AnswerSource {
    /// From a body that holds nothing else.
    Body(CallBody),
    /// From the local backend server, whose slot is held meanwhile.
    Held(Rc<HeldAnswer>),
}

impl AnswerBody {
    /// Creates a body of `told` bytes, when its length is known.
    pub(crate) const fn new(body: CallBody, told: Option<u64>) -> Self {
        Self {
            source: AnswerSource::Body(body),
            told,
            arrival: None,
        }
    }

    /// Creates the body of a call that the local backend server runs.
    pub(crate) const fn held(answer: Rc<HeldAnswer>, told: Option<u64>) -> Self {
        Self {
            source: AnswerSource::Held(answer),
            told,
            arrival: None,
        }
    }

    /// Counts a call that arrived until the body is dropped.
    #[must_use]
    pub(crate) fn with_arrival(mut self, arrival: CountGuard) -> Self {
        match &self.source {
            AnswerSource::Held(answer) => answer.hold_arrival(arrival),
            AnswerSource::Body(_) => self.arrival = Some(arrival),
        }
        self
    }
}

impl From<CallBody> for AnswerBody {
    fn from(body: CallBody) -> Self {
        let told = body.known_len();
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
        match &mut self.source {
            AnswerSource::Body(body) => Pin::new(body).poll_frame(context),
            AnswerSource::Held(answer) => answer.poll_frame(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.told
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
