use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clock::ClockTime;
use compio::time::timeout;
use http::{Request, Uri};
use limit::{LoadReport, QueueTicket};
use model::{LoadNews, RefusalReason, RunVerdict};
use once::ClaimOutcome;
use wire::{AnswerHead, CallHead, HeaderList};

use crate::answer_body::AnswerBody;
use crate::answer_check::AnswerKind;
use crate::answer_deadline::AnswerDeadline;
use crate::answer_replay::{replay_answer, store_answer};
use crate::attempt_guard::AttemptGuard;
use crate::backend_pool::{BackendAnswer, BackendError, BackendOutcome, RunAnswer};
use crate::backend_statement::apply_statement;
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::call_headers::{add_attempt_headers, set_header, strip_hop_by_hop};
use crate::chain_admission::{record_downstream_calls, threshold_reports_for};
use crate::claim_watch::{ClaimDecision, ClaimGuard, claim_call, claim_refusal};
use crate::count_guard::CountGuard;
use crate::held_answer::HeldAnswer;
use crate::http_body::HttpBody;
use crate::node_core::NodeCore;
use crate::request_body::buffer_small_link_body;
use crate::resend_allowance::{ResendCount, resends_exhausted};
use crate::run_guard::RunGuard;
use crate::suspect_watch::{SuspectGuard, SuspectRefusal, quarantine_refusal, wait_to_run};
use crate::warm_up_watch::doubt_warmth;

/// The expected run time of a call before the first measurement, in milliseconds.
const INITIAL_RUN_MS: u64 = 1;
/// The delay after which callers may retry a call whose backend server was down, in milliseconds.
const BACKEND_DOWN_RETRY_MS: u64 = 500;

/// Queues a call and runs it on the local backend server, unless its deadline passes first.
///
/// An attempt that this node has already received is refused.
pub(crate) async fn run_call(core: &Rc<NodeCore>, head: CallHead, body: CallBody) -> CallAnswer {
    core.activity.notify();
    core.metrics.arrived.inc();
    let arrival = CountGuard::new(&core.arrived);
    let answer = match AttemptGuard::on_arrival(core, &head) {
        Ok(guard) => {
            let answer = run_first_arrival(core, &head, body).await;
            guard.set_verdict(answer.head.verdict);
            answer
        }
        Err(refusal) => CallAnswer::refused(&head, &refusal, head.allowance),
    };
    let answer = finish_answer(core, &head, answer);
    CallAnswer {
        body: answer.body.with_arrival(arrival),
        ..answer
    }
}

/// Runs an attempt that has arrived for the first time.
async fn run_first_arrival(core: &Rc<NodeCore>, head: &CallHead, body: CallBody) -> CallAnswer {
    let deadline = core.now().plus_ms(u64::from(head.deadline_left_ms));
    if head.service != core.settings.service || !core.accepts_calls() {
        let refusal = CallRefusal::not_run(RefusalReason::NotReady);
        return CallAnswer::refused(head, &refusal, head.allowance);
    }
    if head.may_move && core.gate.is_full() {
        let refusal = CallRefusal::not_run(RefusalReason::Moved);
        return CallAnswer::refused(head, &refusal, head.allowance);
    }
    let buffered = buffer_small_link_body(core, body, head.body_bytes, deadline).await;
    let (body, _hold) = match buffered {
        Ok(buffered) => buffered,
        Err(refusal) => return CallAnswer::refused(head, &refusal, head.allowance),
    };
    if !head.once {
        return run_counted(core, head, body, deadline).await;
    }
    let content = buffered_bytes(&body);
    match claim_call(core, head, &content, deadline).await {
        Ok(claim) => run_queued(core, head, body, deadline, Some(claim)).await,
        Err(ClaimDecision::Answer(stored)) => replay_answer(head, &stored),
        Err(ClaimDecision::Refuse(refusal)) => {
            CallAnswer::refused(head, &claim_refusal(refusal), head.allowance)
        }
        Err(ClaimDecision::Run) => unreachable!("a call that may run is claimed"),
    }
}

/// Runs a call unless the retries of its request have been spent by resends under the same
/// idempotency key.
async fn run_counted(
    core: &Rc<NodeCore>,
    head: &CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> CallAnswer {
    let Some(count) = ResendCount::open(core, head) else {
        return CallAnswer::refused(head, &resends_exhausted(), head.allowance);
    };
    let answer = run_queued(core, head, body, deadline, None).await;
    count.close(answer.head.verdict);
    answer
}

/// Runs a call once the queue admits it and no suspect request requires it to wait.
async fn run_queued(
    core: &Rc<NodeCore>,
    head: &CallHead,
    body: CallBody,
    deadline: ClockTime,
    claim: Option<ClaimGuard>,
) -> CallAnswer {
    let ticket = ticket_for(head, deadline);
    if let Err(refusal) = core.gate.enter(|| core.now(), ticket).await {
        let refusal = CallRefusal::not_run(refusal.reason)
            .with_retry_after_ms(refusal.retry_after_ms)
            .with_service(&head.service);
        return CallAnswer::refused(head, &refusal, head.allowance);
    }
    let run = RunGuard::start(core, head, deadline);
    let content = buffered_bytes(&body);
    let left = Duration::from_millis(core.now().until_ms(deadline));
    let suspect = match timeout(left, wait_to_run(core, head, &content)).await {
        Ok(Ok(guard)) => guard,
        Ok(Err(refusal)) => return refuse_suspect(head, refusal),
        Err(_) => {
            let refusal = CallRefusal::not_run(RefusalReason::TooLate).with_service(&head.service);
            return CallAnswer::refused(head, &refusal, head.allowance);
        }
    };
    let mut guards = RunGuards {
        run,
        suspect,
        claim,
    };
    if !guards.claim.as_mut().is_none_or(ClaimGuard::start) {
        let refusal = CallRefusal::not_run(RefusalReason::ClaimUnavailable);
        return CallAnswer::refused(head, &refusal, head.allowance);
    }
    if !core.may_send() || core.now() >= deadline {
        let refusal = CallRefusal::not_run(RefusalReason::NotReady);
        return CallAnswer::refused(head, &refusal, head.allowance);
    }
    Box::pin(run_now(core, head, body, deadline, guards)).await
}

/// The guards held by a running call.
struct RunGuards {
    run: RunGuard,
    suspect: SuspectGuard,
    claim: Option<ClaimGuard>,
}

async fn run_now(
    core: &Rc<NodeCore>,
    head: &CallHead,
    body: CallBody,
    deadline: ClockTime,
    mut guards: RunGuards,
) -> CallAnswer {
    guards.suspect.mark_sent();
    let left = Duration::from_millis(core.now().until_ms(deadline));
    let is_sent = Cell::new(false);
    match timeout(left, send_call(core, head, body, deadline, &is_sent)).await {
        Ok(Ok(BackendOutcome::NotRun(kind))) => refuse_not_run(core, head, kind, guards),
        Ok(Ok(BackendOutcome::Ran(answer))) => {
            guards.suspect.mark_answered();
            wrap_answer(core, head, answer, deadline, guards).await
        }
        Ok(Err(error)) => answer_failed(core, head, &error, guards).await,
        Err(_) if !is_sent.get() => {
            guards.suspect.mark_unsent();
            if let Some(claim) = guards.claim {
                claim.finish(ClaimOutcome::NotRun);
            }
            let refusal = CallRefusal::not_run(RefusalReason::TooLate)
                .with_retry_after_ms(BACKEND_DOWN_RETRY_MS);
            CallAnswer::refused(head, &refusal.with_service(&head.service), head.allowance)
        }
        Err(_) => {
            let refusal = CallRefusal::may_have_run(RefusalReason::DeadlinePassed);
            CallAnswer::refused(head, &refusal.with_service(&head.service), 0)
        }
    }
}

async fn send_call(
    core: &Rc<NodeCore>,
    head: &CallHead,
    body: CallBody,
    deadline: ClockTime,
    is_sent: &Cell<bool>,
) -> Result<BackendOutcome, BackendError> {
    let edge = &core.settings.edge;
    let mut request = Request::new(body);
    *request.method_mut() = head.method.parse().unwrap_or_default();
    *request.uri_mut() = head.path.parse().unwrap_or(Uri::from_static("/"));
    let mut headers = head.headers.to_map();
    let left_ms = core.now().until_ms(deadline);
    add_attempt_headers(&mut headers, edge, head.attempt, left_ms);
    let backend = core.backend_name();
    if let Some(backend) = &backend {
        set_header(&mut headers, edge.backend_header.as_ref(), backend.as_str());
    }
    if !headers.contains_key(http::header::HOST)
        && let Ok(host) = core.backend.address().to_string().parse()
    {
        headers.insert(http::header::HOST, host);
    }
    *request.headers_mut() = headers;
    core.metrics.backend_requests.inc();
    let sent_at = core.now();
    let BackendAnswer { outcome, statement } = core.backend.send(request, edge, is_sent).await?;
    // Another backend server at the same address speaks for itself only.
    if !matches!(outcome, BackendOutcome::NotRun(AnswerKind::OtherBackend)) {
        apply_statement(core, backend.as_ref(), sent_at, statement);
    }
    Ok(outcome)
}

/// Refuses a call that the backend server rejected without running it.
fn refuse_not_run(
    core: &NodeCore,
    head: &CallHead,
    kind: AnswerKind,
    mut guards: RunGuards,
) -> CallAnswer {
    guards.suspect.mark_answered();
    if let Some(claim) = guards.claim {
        claim.finish(ClaimOutcome::NotRun);
    }
    if core.may_log() {
        log::info!(
            "event=backend-refused request={} attempt={} kind={kind:?}",
            head.request,
            head.attempt
        );
    }
    if kind == AnswerKind::OtherBackend
        && let Some(backend) = core.backend_name()
    {
        core.backend_watch.borrow_mut().forget(backend.as_str());
        doubt_warmth(core, "other-backend");
    }
    let refusal = CallRefusal::not_run(RefusalReason::BackendBusy).with_service(&head.service);
    CallAnswer::refused(head, &refusal, head.allowance)
}

fn ticket_for(head: &CallHead, deadline: ClockTime) -> QueueTicket {
    QueueTicket {
        id: head.attempt,
        order: head.shed_order(),
        team: head.team.clone(),
        team_weight: head.team_weight,
        deadline,
        depth: head.depth,
        call: Some(head.call.clone()),
        expected_ms: INITIAL_RUN_MS,
    }
}

fn refuse_suspect(head: &CallHead, refusal: SuspectRefusal) -> CallAnswer {
    let quarantined = quarantine_refusal().with_service(&head.service);
    let mut answer = CallAnswer::refused(head, &quarantined, head.allowance);
    if let SuspectRefusal::SendTo(vm) = refusal {
        answer.head.send_to = Some(vm);
    }
    answer
}

async fn answer_failed(
    core: &Rc<NodeCore>,
    head: &CallHead,
    error: &BackendError,
    guards: RunGuards,
) -> CallAnswer {
    let verdict = error.verdict();
    log::warn!(
        "event=backend-failed request={} attempt={} verdict={} error={:?}",
        head.request,
        head.attempt,
        verdict.as_str(),
        error.to_string(),
    );
    core.metrics.count_backend_failure();
    note_failure(core, error);
    if verdict == RunVerdict::NotRun {
        core.is_backend_up.set(false);
        if let Some(claim) = guards.claim {
            claim.finish(ClaimOutcome::NotRun);
        }
        guards.suspect.fail_unsent().await;
        let refusal = CallRefusal::not_run(RefusalReason::NoBackend)
            .with_retry_after_ms(BACKEND_DOWN_RETRY_MS);
        return CallAnswer::refused(head, &refusal.with_service(&head.service), head.allowance);
    }
    let is_suspect = guards.suspect.fail().await;
    let refusal =
        CallRefusal::may_have_run(RefusalReason::BackendFailed).with_service(&head.service);
    let mut answer = CallAnswer::refused(head, &refusal, guards.run.take_allowance());
    answer.head.is_suspect = is_suspect;
    answer
}

/// Notes that the backend server may have started anew, or may be cold, since a request failed.
fn note_failure(core: &NodeCore, error: &BackendError) {
    match error {
        BackendError::Connect(_) => doubt_warmth(core, "connect"),
        BackendError::Failed(_) if core.backend.is_monitor_closed() => doubt_warmth(core, "close"),
        BackendError::Failed(_) | BackendError::NotSent => core.gate.suspect_cold(core.now()),
        BackendError::InvalidAnswer(_) => {}
    }
}

/// Turns the backend server's response into an answer.
///
/// A small answer of a claimed call is read whole and stored for duplicates of the call.
async fn wrap_answer(
    core: &Rc<NodeCore>,
    head: &CallHead,
    answer: RunAnswer,
    deadline: ClockTime,
    guards: RunGuards,
) -> CallAnswer {
    let (parts, body) = answer.response.into_parts();
    let RunGuards { run, claim, .. } = guards;
    if parts.status.is_success() {
        record_downstream_calls(core, head, &run.call.downstream_calls.borrow());
    }
    let max_bytes = core.settings.answers.body_bytes;
    let body = HttpBody::of_answer(body, answer.wait)
        .limited_to(max_bytes)
        .ending_after(answer.sending);
    let mut body = CallBody::Http(body);
    if body.known_len().is_some_and(|bytes| bytes > max_bytes) {
        let refusal = CallRefusal::may_have_run(RefusalReason::BackendFailed);
        return CallAnswer::refused(
            head,
            &refusal.with_service(&head.service),
            run.take_allowance(),
        );
    }
    let mut answer = AnswerHead {
        request: head.request,
        attempt: head.attempt,
        verdict: RunVerdict::Ran,
        refusal: None,
        refused_by: None,
        retry_after_ms: 0,
        allowance_left: run.take_allowance(),
        status: parts.status.as_u16(),
        headers: HeaderList::from(&strip_hop_by_hop(&parts.headers)),
        body_bytes: body.known_len(),
        load: LoadReport::default(),
        threshold_reports: Vec::new(),
        run_ms: run.mark_answered(),
        mark: None,
        send_to: None,
        is_suspect: false,
        is_overload_failure: parts.status.is_server_error() && run.call.has_overload_failure.get(),
    };
    if let Some(claim) = claim {
        let left = Duration::from_millis(core.now().until_ms(deadline));
        let storing = timeout(left, store_answer(&mut answer, body)).await;
        let late = CallRefusal::may_have_run(RefusalReason::DeadlinePassed);
        match storing.unwrap_or(Err(late)) {
            Ok((whole, stored)) => {
                claim.finish(stored.map_or(ClaimOutcome::MayHaveRun, ClaimOutcome::Answered));
                body = whole;
            }
            Err(refusal) => {
                return CallAnswer::refused(head, &refusal.with_service(&head.service), 0);
            }
        }
    }
    let body_bytes = answer.body_bytes;
    let held_answer = Rc::new(HeldAnswer::new(body, run));
    core.held.add(&held_answer);
    CallAnswer {
        head: answer,
        body: AnswerBody::held(held_answer, body_bytes)
            .ending_at(AnswerDeadline::new(core, head, deadline)),
    }
}

/// Adds the load, the mark of the attempt table and the threshold reports of this node to an
/// answer.
fn finish_answer(core: &NodeCore, head: &CallHead, mut answer: CallAnswer) -> CallAnswer {
    let now = core.now();
    answer.head.load = core.gate.load(now);
    answer.head.load.news = exchange_news(core, head);
    answer.head.mark = Some(core.attempts.borrow().mark(now));
    answer.head.threshold_reports = threshold_reports_for(core, head);
    if let Some(reason) = answer.head.refusal
        && reason != RefusalReason::Moved
        && core.may_log()
    {
        log::info!(
            "event=call-refused request={} attempt={} call={} reason={} verdict={} depth={} \
             importance={} left_ms={} running={} queued={} limit={} retry_after_ms={}",
            head.request,
            head.attempt,
            head.call,
            reason.as_str(),
            answer.head.verdict.as_str(),
            head.depth,
            head.importance.as_str(),
            head.deadline_left_ms,
            answer.head.load.in_flight,
            answer.head.load.queued,
            answer.head.load.limit,
            answer.head.retry_after_ms,
        );
    }
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

/// Records the figures of other VMs that a call carries, and returns those for its answer.
fn exchange_news(core: &NodeCore, head: &CallHead) -> Vec<LoadNews> {
    let now = core.now();
    let mut news = Vec::new();
    core.with_router(&head.service, |router| {
        router.record_news(now, &head.news);
        news = router.news(now, &core.settings.vm, usize::from(head.news_count));
    });
    news
}

/// Returns the bytes of a buffered body; a streamed body yields an empty buffer.
fn buffered_bytes(body: &CallBody) -> Bytes {
    match body {
        CallBody::Buffered(bytes) => bytes.clone(),
        _ => Bytes::new(),
    }
}
