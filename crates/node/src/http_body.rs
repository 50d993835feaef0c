use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::backend_pool::AnswerWait;
use crate::call_body::CallBodyError;
use crate::client_budget::{ClientBudget, ClientRequest};
use crate::sent_body::SendProgress;
use crate::stall_timer::StallTimer;

/// A body that arrives over HTTP and fails if its sender stalls or if it is too long.
///
/// That of an answer leaves the limit on stalls to the [`AnswerDeadline`] of its reader.
///
/// [`AnswerDeadline`]: crate::answer_deadline::AnswerDeadline
pub(crate) struct HttpBody {
    body: Incoming,
    /// The number of bytes that may still arrive.
    left_bytes: u64,
    /// The request that has to be sent before the body may end.
    sending: Option<SendProgress>,
    timer: Option<StallTimer>,
    /// The request of a client to which the body belongs.
    request: Option<(Rc<ClientBudget>, ClientRequest)>,
    /// The wait for an answer of the backend server to which the body belongs.
    wait: Option<AnswerWait>,
}

impl HttpBody {
    /// Creates a body that fails after `stall_limit_ms` milliseconds without progress.
    pub(crate) fn new(body: Incoming, stall_limit_ms: u64) -> Self {
        Self {
            body,
            left_bytes: u64::MAX,
            sending: None,
            timer: Some(StallTimer::new(stall_limit_ms)),
            request: None,
            wait: None,
        }
    }

    /// Creates the body of an answer, which records when the backend server is silent.
    pub(crate) const fn of_answer(body: Incoming, wait: AnswerWait) -> Self {
        Self {
            body,
            left_bytes: u64::MAX,
            sending: None,
            timer: None,
            request: None,
            wait: Some(wait),
        }
    }

    /// Makes the body tell the budget of the clients when it is complete.
    pub(crate) fn of_client(mut self, budget: &Rc<ClientBudget>, request: ClientRequest) -> Self {
        self.request = Some((Rc::clone(budget), request));
        self
    }

    fn record_end(&self) {
        if let Some((budget, request)) = &self.request {
            budget.end_body(request);
        }
    }

    /// Makes the body fail after `max_bytes` bytes.
    pub(crate) const fn limited_to(mut self, max_bytes: u64) -> Self {
        self.left_bytes = max_bytes;
        self
    }

    /// Makes the end of the body a failure until the request has been sent.
    ///
    /// The end of a connection is the end of an answer without a length. While the request is still
    /// being sent, a connection that is reset looks the same if the end is read first.
    pub(crate) fn ending_after(mut self, sending: Option<SendProgress>) -> Self {
        self.sending = sending;
        self
    }

    /// Counts the bytes of a frame, and fails if the body is too long.
    fn count(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, CallBodyError> {
        let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
        let left_bytes = self.left_bytes.checked_sub(bytes);
        self.left_bytes = left_bytes.ok_or(CallBodyError::TooLong)?;
        Ok(frame)
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
            if let Some(timer) = &mut self.timer {
                timer.record_progress();
            }
            if let Some(wait) = &mut self.wait {
                wait.finish();
            }
            let is_early =
                frame.is_none() && self.sending.as_ref().is_some_and(|it| !it.is_written());
            if is_early {
                return Poll::Ready(Some(Err(CallBodyError::Early)));
            }
            if frame.is_none() || self.body.is_end_stream() {
                self.record_end();
            }
            return Poll::Ready(frame.map(|frame| self.count(frame?)));
        }
        if let Some(wait) = &mut self.wait {
            wait.resume();
        }
        let Some(timer) = &mut self.timer else {
            return Poll::Pending;
        };
        let stalled = timer.poll_stalled(context);
        stalled.map(|()| Some(Err(CallBodyError::Stalled)))
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
