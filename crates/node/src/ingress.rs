use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::timeout;
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use limit::{QueueTicket, RunOutcome};
use model::{AttemptId, RefusalReason, RunVerdict, ShedOrder};
use wire::{AnswerHead, CallHead, HeaderList};

use crate::answer_body::AnswerBody;
use crate::backend_pool::BackendError;
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::call_headers::{add_call, strip_hop};
use crate::chain_watch::{cut_reports_for, note_uses, report_for};
use crate::node_core::NodeCore;
use crate::running_calls::RunningCall;

/// The time that a call is expected to run before any was measured, in milliseconds.
const EXPECTED_RUN_MS: u64 = 1;
/// The time after which callers come back to a backend server that is down, in milliseconds.
const BACKEND_DOWN_MS: u64 = 500;

/// Runs a call on the local backend server, when its turn comes and while it is of use.
pub(crate) async fn run_call(core: &Rc<NodeCore>, head: CallHead, body: CallBody) -> CallAnswer {
    let arrived = core.now();
    let deadline = arrived.plus_ms(u64::from(head.deadline_left_ms));
    let answer = match run_in_time(core, &head, body, deadline).await {
        Ok(answer) => answer,
        Err(refusal) => CallAnswer::refused(&head, &refusal, head.allowance),
    };
    finish_answer(core, &head, answer)
}

async fn run_in_time(
    core: &Rc<NodeCore>,
    head: &CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> Result<CallAnswer, CallRefusal> {
    if head.service != core.settings.service {
        return Err(CallRefusal::not_run(RefusalReason::NoBackend));
    }
    let ticket = QueueTicket {
        id: head.attempt,
        order: ShedOrder::new(head.importance, head.request),
        team: head.team.clone(),
        team_weight: head.team_weight,
        deadline,
        depth: head.depth,
        expected_ms: EXPECTED_RUN_MS,
    };
    let entered = core.gate.enter(|| core.now(), ticket).await;
    entered.map_err(|refusal| {
        CallRefusal::not_run(refusal.reason)
            .after_ms(refusal.retry_after_ms)
            .by(&head.service)
    })?;
    let run = RunGuard::start(core, head, deadline);
    let left = Duration::from_millis(core.now().until_ms(deadline));
    match timeout(left, send_call(core, head, body, deadline)).await {
        Ok(Ok(response)) => Ok(wrap_answer(core, head, response, run)),
        Ok(Err(error)) => Err(refuse_failed(core, head, &error)),
        Err(_) => Err(CallRefusal::may_have_run(RefusalReason::DeadlinePassed).by(&head.service)),
    }
}

async fn send_call(
    core: &Rc<NodeCore>,
    head: &CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> Result<Response<Incoming>, BackendError> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method.parse().unwrap_or_default();
    *request.uri_mut() = head.path.parse().unwrap_or(Uri::from_static("/"));
    let mut headers = head.headers.to_map();
    add_call(&mut headers, head.attempt, core.now().until_ms(deadline));
    if !headers.contains_key(http::header::HOST)
        && let Ok(host) = core.backend.address().to_string().parse()
    {
        headers.insert(http::header::HOST, host);
    }
    *request.headers_mut() = headers;
    core.backend.send(request).await
}

fn refuse_failed(core: &NodeCore, head: &CallHead, error: &BackendError) -> CallRefusal {
    log::warn!(
        "event=backend-failed request={} attempt={} verdict={} error={:?}",
        head.request,
        head.attempt,
        error.verdict().as_str(),
        error.to_string(),
    );
    core.metrics.count_backend_failure();
    match error.verdict() {
        RunVerdict::NotRun => CallRefusal::not_run(RefusalReason::NoBackend)
            .after_ms(BACKEND_DOWN_MS)
            .by(&head.service),
        _ => CallRefusal::may_have_run(RefusalReason::BackendFailed).by(&head.service),
    }
}

fn wrap_answer(
    core: &NodeCore,
    head: &CallHead,
    response: Response<Incoming>,
    run: RunGuard,
) -> CallAnswer {
    if response.status().is_success() {
        note_uses(core, head, &run.call.used.borrow());
    }
    let (parts, body) = response.into_parts();
    let body = CallBody::Http(body);
    let body_bytes = body.known_bytes();
    let headers = HeaderList::from(&strip_hop(&parts.headers));
    CallAnswer {
        head: AnswerHead {
            request: head.request,
            attempt: head.attempt,
            verdict: RunVerdict::Ran,
            refusal: None,
            refused_by: None,
            retry_after_ms: 0,
            allowance_left: run.take_allowance(),
            status: parts.status.as_u16(),
            headers,
            body_bytes,
            load: limit::LoadReport::default(),
            report: None,
            cut_reports: Vec::new(),
            run_ms: run.mark_answered(),
        },
        body: AnswerBody::new(body, body_bytes).with_run(run),
    }
}

/// Adds what every answer tells of the node that gives it.
fn finish_answer(core: &NodeCore, head: &CallHead, mut answer: CallAnswer) -> CallAnswer {
    answer.head.load = core.gate.load(core.now());
    answer.head.report = report_for(core, head);
    answer.head.cut_reports = cut_reports_for(core, head);
    log::debug!(
        "event=call-run request={} attempt={} call={} verdict={} status={} run_ms={}",
        head.request,
        head.attempt,
        head.call,
        answer.head.verdict.as_str(),
        answer.head.status,
        answer.head.run_ms,
    );
    answer
}

/// Holds the place of a running call until its answer's last byte has gone.
pub(crate) struct RunGuard {
    core: Rc<NodeCore>,
    call: Rc<RunningCall>,
    attempt: AttemptId,
    started: ClockTime,
    answered_ms: Cell<Option<u64>>,
}

impl RunGuard {
    fn start(core: &Rc<NodeCore>, head: &CallHead, deadline: ClockTime) -> Self {
        let call = Rc::new(RunningCall::new(head, deadline));
        core.running.insert(head.attempt, Rc::clone(&call));
        Self {
            core: Rc::clone(core),
            call,
            attempt: head.attempt,
            started: core.now(),
            answered_ms: Cell::new(None),
        }
    }

    /// Takes what is left of the call's allowance, to go back with the answer.
    fn take_allowance(&self) -> u32 {
        self.call.allowance.take().close().retries()
    }

    /// Notes that the answer's head has come and returns the time since the start, in
    /// milliseconds.
    fn mark_answered(&self) -> u32 {
        let run_ms = self.core.now().since_ms(self.started);
        self.answered_ms.set(Some(run_ms));
        u32::try_from(run_ms).unwrap_or(u32::MAX)
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.core.running.remove(self.attempt);
        let outcome = match self.answered_ms.get() {
            Some(run_ms) => RunOutcome::Completed {
                own_ms: run_ms.saturating_sub(self.call.below_ms.get()),
            },
            None => RunOutcome::Failed,
        };
        let now = self.core.now();
        self.core.gate.finish(now, self.attempt, outcome);
    }
}
