use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::answer_deadline::AnswerDeadline;
use crate::call_body::{CallBody, CallBodyError};
use crate::count_guard::CountGuard;
use crate::held_answer::HeldAnswer;

/// The body of an answer, with the guards that are held until its last byte has been sent.
pub(crate) struct AnswerBody {
    source: AnswerSource,
    body_bytes: Option<u64>,
    arrival: Option<CountGuard>,
    deadline: Option<Box<AnswerDeadline>>,
}

/// The source of the bytes of an answer.
enum AnswerSource {
    /// A body that holds no slot.
    Body(CallBody),
    /// An answer of the local backend server, whose slot is held until the answer ends.
    Held(Rc<HeldAnswer>),
}

impl AnswerBody {
    /// Creates a body of `body_bytes` bytes, if its length is known.
    pub(crate) const fn new(body: CallBody, body_bytes: Option<u64>) -> Self {
        Self {
            source: AnswerSource::Body(body),
            body_bytes,
            arrival: None,
            deadline: None,
        }
    }

    /// Creates the body of an answer of the local backend server.
    pub(crate) const fn held(answer: Rc<HeldAnswer>, body_bytes: Option<u64>) -> Self {
        Self {
            source: AnswerSource::Held(answer),
            body_bytes,
            arrival: None,
            deadline: None,
        }
    }

    /// Makes the body fail if its source is silent for too long or after a deadline.
    #[must_use]
    pub(crate) fn ending_at(mut self, deadline: AnswerDeadline) -> Self {
        self.deadline = Some(Box::new(deadline));
        self
    }

    /// Counts the call as arrived until the body is dropped.
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
        let body_bytes = body.known_len();
        Self::new(body, body_bytes)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CallBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallBodyError>>> {
        let poll = match &mut self.source {
            AnswerSource::Body(body) => Pin::new(body).poll_frame(context),
            AnswerSource::Held(answer) => answer.poll_frame(context),
        };
        let Some(deadline) = &mut self.deadline else {
            return poll;
        };
        if poll.is_ready() {
            deadline.record_progress();
            return poll;
        }
        let error = ready!(deadline.poll_passed(context));
        Poll::Ready(Some(Err(error)))
    }

    fn size_hint(&self) -> SizeHint {
        self.body_bytes
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
