use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use http::response::Parts;
use http::{Request, Response};
use model::RefusalReason;

use crate::answer_body::AnswerBody;
use crate::byte_count::ByteCount;
use crate::call_answer::CallRefusal;
use crate::call_headers::find_request_id;
use crate::caller_body::CallerBody;
use crate::http_answer::refusal_response;
use crate::node_core::NodeCore;
use crate::request_ahead::{RequestsAhead, StartedRequest};
use crate::waiting_body::WaitingBody;

/// The handling of a request, up to the head of its answer and the first part of its body.
pub(crate) enum EarlyAnswer<F> {
    /// The request is being handled.
    Handling(Pin<Box<F>>),
    /// The head of the answer is there, unless it was taken.
    Answered(Option<Box<(Parts, WaitingBody)>>),
}

impl<F: Future<Output = Response<AnswerBody>>> EarlyAnswer<F> {
    pub(crate) fn new(handling: F) -> Self {
        Self::Handling(Box::pin(handling))
    }

    /// Returns the answer once its head is there.
    pub(crate) fn poll_answer(&mut self, context: &mut Context<'_>) -> Poll<Response<WaitingBody>> {
        loop {
            match self {
                Self::Handling(handling) => {
                    let (parts, body) = ready!(handling.as_mut().poll(context)).into_parts();
                    *self = Self::Answered(Some(Box::new((parts, WaitingBody::new(body)))));
                }
                Self::Answered(answer) => {
                    let Some(answer) = answer.take() else {
                        return Poll::Pending;
                    };
                    let (parts, body) = *answer;
                    return Poll::Ready(Response::from_parts(parts, body));
                }
            }
        }
    }

    /// Handles the request, and reads a bounded part of the answer's body.
    fn poll_ahead(&mut self, core: &NodeCore, context: &mut Context<'_>) {
        if let Self::Handling(handling) = self
            && let Poll::Ready(response) = handling.as_mut().poll(context)
        {
            let (parts, body) = response.into_parts();
            *self = Self::Answered(Some(Box::new((parts, WaitingBody::new(body)))));
        }
        if let Self::Answered(Some(answer)) = self {
            let limits = &core.settings.ahead;
            let total = &core.ahead_bytes;
            answer.1.poll_read_ahead(
                context,
                || ByteCount::new(total),
                |bytes| bytes < limits.answer_bytes && total.get() < limits.node_bytes,
            );
        }
    }
}

/// A request that was started before its turn, as it was read ahead.
struct EarlyRequest<F> {
    number: u64,
    request: Request<()>,
    answer: EarlyAnswer<F>,
}

/// The requests of a connection that were started before their turn to be answered.
///
/// They are abandoned when this is dropped.
pub(crate) struct EarlyAnswers<F> {
    core: Rc<NodeCore>,
    requests: RefCell<VecDeque<EarlyRequest<F>>>,
}

impl<F: Future<Output = Response<AnswerBody>>> EarlyAnswers<F> {
    pub(crate) fn new(core: &Rc<NodeCore>) -> Rc<Self> {
        Rc::new(Self {
            core: Rc::clone(core),
            requests: RefCell::default(),
        })
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.borrow().is_empty()
    }

    /// Starts the requests that were read ahead, and drives all that wait for their turn.
    pub(crate) fn poll(
        &self,
        context: &mut Context<'_>,
        ahead: &RequestsAhead,
        handler: impl Fn(Request<CallerBody>) -> F,
    ) {
        let mut requests = self.requests.borrow_mut();
        while let Some(StartedRequest { number, request }) = ahead.next_started() {
            let answer = EarlyAnswer::new(handler(request.clone().map(|()| CallerBody::Empty)));
            requests.push_back(EarlyRequest {
                number,
                request,
                answer,
            });
        }
        for early in requests.iter_mut() {
            early.answer.poll_ahead(&self.core, context);
        }
    }

    /// Returns the answer of the request in turn if it was started before.
    ///
    /// # Errors
    ///
    /// Returns an error if another request was started in its place. All are abandoned then.
    pub(crate) fn take<T>(
        &self,
        number: u64,
        request: &Request<T>,
    ) -> Result<Option<EarlyAnswer<F>>, OtherRequest> {
        let mut requests = self.requests.borrow_mut();
        if requests.front().is_none_or(|early| early.number != number) {
            return Ok(None);
        }
        let Some(mut early) = requests.pop_front().filter(|early| early.is(request)) else {
            requests.clear();
            return Err(OtherRequest);
        };
        early.refuse_broken(&self.core);
        Ok(Some(early.answer))
    }
}

/// The request in turn isn't the one that was read ahead.
pub(crate) struct OtherRequest;

impl<F> EarlyRequest<F> {
    /// Replaces an answer whose body has broken off already by a refusal, so that the connection
    /// doesn't have to end with it.
    fn refuse_broken(&mut self, core: &NodeCore) {
        let EarlyAnswer::Answered(Some(answer)) = &self.answer else {
            return;
        };
        if !answer.1.is_broken() {
            return;
        }
        let caller_id = find_request_id(self.request.headers(), &core.settings.edge);
        let request_id = caller_id.unwrap_or_else(|| core.new_request_id());
        let refusal = CallRefusal::may_have_run(RefusalReason::BackendFailed);
        let (parts, body) = refusal_response(core, request_id, "entry", &refusal).into_parts();
        self.answer = EarlyAnswer::Answered(Some(Box::new((parts, WaitingBody::new(body)))));
    }

    fn is<T>(&self, other: &Request<T>) -> bool {
        self.request.method() == other.method()
            && self.request.uri() == other.uri()
            && self.request.headers() == other.headers()
    }
}
