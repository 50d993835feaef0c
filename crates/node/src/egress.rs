use std::rc::Rc;

use clock::ClockTime;
use futures_util::future::{Either, select};
use graph::CallTarget;
use http::request::Parts;
use http::{HeaderMap, Request, Response};
use model::{AttemptId, RefusalReason, RequestId};
use retry::{AllowanceShare, RepeatDecision};
use wire::CallHead;
use xxhash_rust::xxh3::Xxh3Default;

use crate::answer_body::AnswerBody;
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::call_headers::{CALL_ID, find_deadline_ms};
use crate::caller_body::CallerBody;
use crate::chain_admission::check_chain;
use crate::config_hold::await_current_config;
use crate::dispatch::dispatch_call;
use crate::entry::{EntryCall, call_headers, find_entry, not_ready};
use crate::http_answer::{build_response, refusal_response};
use crate::node_core::NodeCore;
use crate::request_body::{buffer_small_body, discard_body};
use crate::running_calls::RunningCall;

/// The retry allowance of a request that the backend server sends outside any running call.
const ROOT_ALLOWANCE: u32 = 1;

/// The delay after which a backend server may repeat a call whose allowance is spent, in
/// milliseconds.
const REPEATS_RETRY_MS: u64 = 1_000;

/// Answers a call that the local backend server sends.
pub(crate) async fn answer_backend(
    core: Rc<NodeCore>,
    request: Request<CallerBody>,
) -> Response<AnswerBody> {
    await_current_config(&core).await;
    let parent = find_parent(&core, request.headers());
    let request_id = match &parent {
        Ok(Some(parent)) => parent.request,
        _ => core.new_request_id(),
    };
    let served = match parent {
        Ok(parent) => serve_backend(&core, request_id, request, parent).await,
        Err(refusal) => Err(refusal),
    };
    respond(&core, request_id, served)
}

/// Answers a call that the local backend server most likely sends for a running call, its parent.
///
/// The call is treated as nested work, with the importance and the team of the parent. As the
/// inferred parent may be wrong, the call spends nothing of the parent's allowance and isn't
/// abandoned with it.
pub(crate) async fn answer_with_inferred_parent(
    core: Rc<NodeCore>,
    request_id: RequestId,
    entry: EntryCall,
    parts: Parts,
    body: CallerBody,
) -> Response<AnswerBody> {
    let served = serve_with_inferred_parent(&core, request_id, entry, parts, body).await;
    respond(&core, request_id, served)
}

async fn serve_with_inferred_parent(
    core: &Rc<NodeCore>,
    request_id: RequestId,
    entry: EntryCall,
    parts: Parts,
    body: CallerBody,
) -> Result<CallAnswer, CallRefusal> {
    let started = core.now();
    let deadline = find_deadline(core, &parts.headers, &entry, None);
    if core.may_cut(deadline) {
        discard_body(&parts, body);
        return Err(not_ready());
    }
    let allowance = entry.contract.attempts.saturating_sub(1);
    let parent = core
        .running
        .infer_parent(deadline, entry.contract.deadline_ms);
    let request_id = parent.as_ref().map_or(request_id, |parent| parent.request);
    let head = build_head(core, request_id, entry, &parts, parent.as_deref());
    let (body, _hold) = buffer_small_body(core, &parts, body, deadline).await?;
    let body_bytes = body.known_len();
    let target = CallTarget::new(head.service.clone(), head.call.clone());
    if let Some(parent) = &parent {
        parent.downstream_calls.borrow_mut().insert(target);
    }
    let head = CallHead {
        depth: head.depth.max(1),
        body_bytes,
        allowance,
        ..head
    };
    let service = head.service.clone();
    let answer = dispatch_call(core, head, body, deadline).await;
    if let Some(parent) = &parent {
        parent.record_overload_failure(&answer.head);
    }
    let now = core.now();
    core.metrics
        .observe_call("egress", &service, started, now, &answer.head);
    Ok(answer)
}

fn respond(
    core: &NodeCore,
    request_id: RequestId,
    served: Result<CallAnswer, CallRefusal>,
) -> Response<AnswerBody> {
    match served {
        Ok(answer) => build_response(core, request_id, answer),
        Err(refusal) => refusal_response(core, request_id, "egress", &refusal),
    }
}

/// Dispatches a call of the backend server as part of the request that its parent serves.
async fn serve_backend(
    core: &Rc<NodeCore>,
    request_id: RequestId,
    request: Request<CallerBody>,
    parent: Option<Rc<RunningCall>>,
) -> Result<CallAnswer, CallRefusal> {
    let started = core.now();
    let (parts, body) = request.into_parts();
    let entry = find_entry(core, &parts, None);
    let entry = entry.ok_or_else(|| CallRefusal::not_run(RefusalReason::NoSuchCall))?;
    let deadline = find_deadline(core, &parts.headers, &entry, parent.as_deref());
    if core.may_cut(deadline) {
        discard_body(&parts, body);
        return Err(not_ready());
    }
    let head = build_head(core, request_id, entry, &parts, parent.as_deref());
    check_chain(core, &head, deadline)?;
    let (body, _hold) = buffer_small_body(core, &parts, body, deadline).await?;
    let body_bytes = body.known_len();
    let mut head = CallHead { body_bytes, ..head };
    if let Some(parent) = &parent
        && !delegate_allowance(parent, &mut head, &body)
    {
        let refusal = CallRefusal::not_run(RefusalReason::Overloaded);
        return Err(refusal.with_retry_after_ms(REPEATS_RETRY_MS));
    }
    let (service, attempt) = (head.service.clone(), head.attempt);
    let sending = dispatch_call(core, head, body, deadline);
    let answer = run_until_abandoned(parent.as_deref(), sending).await;
    let answer = answer.ok_or_else(|| CallRefusal::may_have_run(RefusalReason::DeadlinePassed))?;
    let now = core.now();
    core.metrics
        .observe_call("egress", &service, started, now, &answer.head);
    if let Some(parent) = &parent {
        parent.record_overload_failure(&answer.head);
        reclaim_allowance(parent, attempt, &answer, now.since_ms(started));
    }
    Ok(answer)
}

/// Runs a call until its parent is abandoned, in which case it returns `None`.
///
/// The call is stopped even if the backend server doesn't notice that no caller waits for the
/// parent.
async fn run_until_abandoned<T>(
    parent: Option<&RunningCall>,
    work: impl Future<Output = T>,
) -> Option<T> {
    let Some(parent) = parent else {
        return Some(work.await);
    };
    let work = std::pin::pin!(work);
    let abandoned = std::pin::pin!(parent.wait_abandoned());
    match select(work, abandoned).await {
        Either::Left((answer, _)) => Some(answer),
        Either::Right(_) => None,
    }
}

/// Returns the running call that a call of the backend server names as its parent, if any.
fn find_parent(
    core: &NodeCore,
    headers: &HeaderMap,
) -> Result<Option<Rc<RunningCall>>, CallRefusal> {
    let Some(id) = headers.get(CALL_ID) else {
        return Ok(None);
    };
    let id = id.to_str().ok().and_then(AttemptId::parse);
    let id = id.ok_or_else(|| CallRefusal::not_run(RefusalReason::BadRequest))?;
    let parent = core.running.get(id);
    let parent = parent.ok_or_else(|| CallRefusal::not_run(RefusalReason::DeadlinePassed))?;
    Ok(Some(parent))
}

fn find_deadline(
    core: &NodeCore,
    headers: &HeaderMap,
    entry: &EntryCall,
    parent: Option<&RunningCall>,
) -> ClockTime {
    let allowed_ms = entry.contract.deadline_ms;
    let requested_ms = find_deadline_ms(headers, &core.settings.edge).unwrap_or(allowed_ms);
    let deadline = core.now().plus_ms(requested_ms.min(allowed_ms));
    parent.map_or(deadline, |parent| deadline.min(parent.deadline))
}

fn build_head(
    core: &NodeCore,
    request_id: RequestId,
    entry: EntryCall,
    parts: &Parts,
    parent: Option<&RunningCall>,
) -> CallHead {
    let call_importance = entry.contract.importance;
    CallHead {
        request: request_id,
        attempt: core.new_attempt_id(),
        service: entry.service,
        call: entry.call,
        team: parent.and_then(|parent| parent.team.clone()),
        team_weight: parent.map_or(1, |parent| parent.team_weight),
        importance: parent.map_or(call_importance, |parent| parent.importance),
        call_importance: parent.map_or(call_importance, |parent| parent.call_importance),
        depth: parent.map_or(0, |parent| parent.depth.saturating_add(1)),
        mark: None,
        deadline_left_ms: 0,
        allowance: ROOT_ALLOWANCE,
        once: entry.contract.once,
        idempotent: entry.contract.idempotent,
        method: parts.method.as_str().to_owned(),
        path: entry.path,
        headers: call_headers(core, &parts.headers),
        body_bytes: None,
        may_move: false,
        news_count: 0,
        news: Vec::new(),
    }
}

/// Delegates a share of the parent's allowance to a downstream call.
///
/// A repeated call is a retry and is spent from the allowance. Returns `false` when none is left.
fn delegate_allowance(parent: &RunningCall, head: &mut CallHead, body: &CallBody) -> bool {
    let mut allowance = parent.allowance.borrow_mut();
    let decision = parent
        .repeats
        .borrow_mut()
        .classify(call_digest(head, body), &mut allowance);
    if decision == RepeatDecision::Exhausted {
        return false;
    }
    let target = CallTarget::new(head.service.clone(), head.call.clone());
    parent.downstream_calls.borrow_mut().insert(target);
    head.allowance = allowance.delegate(head.attempt, 1).retries();
    true
}

/// Returns a digest by which a repeated call is recognised.
fn call_digest(head: &CallHead, body: &CallBody) -> u64 {
    let mut hasher = Xxh3Default::new();
    let parts = [head.service.as_str(), &head.method, &head.path];
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    if let CallBody::Buffered(bytes) = body {
        hasher.update(bytes);
    }
    hasher.digest()
}

/// Returns the unspent allowance of a downstream call to its parent.
fn reclaim_allowance(
    parent: &RunningCall,
    attempt: AttemptId,
    answer: &CallAnswer,
    downstream_ms: u64,
) {
    let unspent = AllowanceShare::new(answer.head.allowance_left);
    parent.allowance.borrow_mut().reclaim(attempt, unspent);
    parent
        .downstream_ms
        .set(parent.downstream_ms.get() + downstream_ms);
}
