use std::rc::Rc;

use clock::ClockTime;
use futures_util::future::{Either, select};
use graph::CallTarget;
use http::request::Parts;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use model::{AttemptId, RefusalReason, RequestId};
use retry::{AllowanceShare, RepeatDecision};
use wire::CallHead;
use xxhash_rust::xxh3::Xxh3Default;

use crate::answer_body::AnswerBody;
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::call_headers::{CALL_ID, find_deadline_ms};
use crate::chain_watch::check_chain;
use crate::dispatch::dispatch_call;
use crate::entry::{EntryCall, call_headers, find_entry};
use crate::http_answer::{build_response, refuse_response};
use crate::node_core::NodeCore;
use crate::request_body::read_small;
use crate::running_calls::RunningCall;

/// The retries that a service's own request may spend, one that serves no caller.
const OWN_ALLOWANCE: u32 = 1;

/// The time after which a backend server may repeat a call whose retries are spent, in
/// milliseconds.
const REPEATS_SPENT_MS: u64 = 1_000;

/// Answers a call that the local backend server makes.
pub(crate) async fn answer_backend(
    core: Rc<NodeCore>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let parent = find_parent(&core, request.headers());
    let request_id = match &parent {
        Ok(Some(parent)) => parent.request,
        _ => core.new_request_id(),
    };
    let served = match parent {
        Ok(parent) => serve_backend(&core, request_id, request, parent).await,
        Err(refusal) => Err(refusal),
    };
    answer_with(&core, request_id, served)
}

/// Answers a call that the local backend server is likely to make for a running one.
///
/// It goes on as work already begun, with the class and the team of that one. As the guess may be
/// wrong, it spends nothing of it and isn't given up with it.
pub(crate) async fn answer_with_inferred_parent(
    core: Rc<NodeCore>,
    request_id: RequestId,
    entry: EntryCall,
    parts: Parts,
    body: Incoming,
) -> Response<AnswerBody> {
    let served = serve_guessed(&core, request_id, entry, parts, body).await;
    answer_with(&core, request_id, served)
}

async fn serve_guessed(
    core: &Rc<NodeCore>,
    request_id: RequestId,
    entry: EntryCall,
    parts: Parts,
    body: Incoming,
) -> Result<CallAnswer, CallRefusal> {
    let started = core.now();
    let deadline = find_deadline(core, &parts.headers, &entry, None);
    let allowance = entry.contract.attempts.saturating_sub(1);
    let parent = core.running.guess(deadline, entry.contract.deadline_ms);
    let request_id = parent.as_ref().map_or(request_id, |parent| parent.request);
    let head = build_head(core, request_id, entry, &parts, parent.as_deref());
    let body = read_small(core, body, deadline).await?;
    let body_bytes = body.known_bytes();
    let target = CallTarget::new(head.service.clone(), head.call.clone());
    if let Some(parent) = &parent {
        parent.used.borrow_mut().insert(target);
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
        parent.note_loss(&answer.head);
    }
    let now = core.now();
    core.metrics
        .observe_call("egress", &service, started, now, &answer.head);
    Ok(answer)
}

fn answer_with(
    core: &NodeCore,
    request_id: RequestId,
    served: Result<CallAnswer, CallRefusal>,
) -> Response<AnswerBody> {
    match served {
        Ok(answer) => build_response(core, request_id, answer),
        Err(refusal) => refuse_response(core, request_id, "egress", &refusal),
    }
}

/// Sends a backend server's call on its way, as a part of the request that it serves.
async fn serve_backend(
    core: &Rc<NodeCore>,
    request_id: RequestId,
    request: Request<Incoming>,
    parent: Option<Rc<RunningCall>>,
) -> Result<CallAnswer, CallRefusal> {
    let started = core.now();
    let (parts, body) = request.into_parts();
    let entry = find_entry(core, &parts, None);
    let entry = entry.ok_or_else(|| CallRefusal::not_run(RefusalReason::NoSuchCall))?;
    let deadline = find_deadline(core, &parts.headers, &entry, parent.as_deref());
    let head = build_head(core, request_id, entry, &parts, parent.as_deref());
    check_chain(core, &head, deadline)?;
    let body = read_small(core, body, deadline).await?;
    let body_bytes = body.known_bytes();
    let mut head = CallHead { body_bytes, ..head };
    if let Some(parent) = &parent
        && !take_share(parent, &mut head, &body)
    {
        let refusal = CallRefusal::not_run(RefusalReason::Overloaded);
        return Err(refusal.after_ms(REPEATS_SPENT_MS));
    }
    let (service, attempt) = (head.service.clone(), head.attempt);
    let sending = dispatch_call(core, head, body, deadline);
    let answer = while_awaited(parent.as_deref(), sending).await;
    let answer = answer.ok_or_else(|| CallRefusal::may_have_run(RefusalReason::DeadlinePassed))?;
    let now = core.now();
    core.metrics
        .observe_call("egress", &service, started, now, &answer.head);
    if let Some(parent) = &parent {
        parent.note_loss(&answer.head);
        settle_with(parent, attempt, &answer, now.since_ms(started));
    }
    Ok(answer)
}

/// Goes on with a call for as long as somebody waits for the one that it serves, also when the
/// backend server doesn't notice that nobody does.
async fn while_awaited<T>(
    parent: Option<&RunningCall>,
    work: impl Future<Output = T>,
) -> Option<T> {
    let Some(parent) = parent else {
        return Some(work.await);
    };
    let work = std::pin::pin!(work);
    let given_up = std::pin::pin!(parent.wait_given_up());
    match select(work, given_up).await {
        Either::Left((answer, _)) => Some(answer),
        Either::Right(_) => None,
    }
}

/// Returns the running call that a backend server's call serves, if it names one.
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
    let wanted_ms = find_deadline_ms(headers, &core.settings.edge).unwrap_or(allowed_ms);
    let own = core.now().plus_ms(wanted_ms.min(allowed_ms));
    parent.map_or(own, |parent| own.min(parent.deadline))
}

fn build_head(
    core: &NodeCore,
    request_id: RequestId,
    entry: EntryCall,
    parts: &Parts,
    parent: Option<&RunningCall>,
) -> CallHead {
    let own_importance = entry.contract.importance;
    CallHead {
        request: request_id,
        attempt: core.new_attempt_id(),
        service: entry.service,
        call: entry.call,
        team: parent.and_then(|parent| parent.team.clone()),
        team_weight: parent.map_or(1, |parent| parent.team_weight),
        importance: parent.map_or(own_importance, |parent| parent.importance),
        call_importance: parent.map_or(own_importance, |parent| parent.call_importance),
        depth: parent.map_or(0, |parent| parent.depth.saturating_add(1)),
        mark: None,
        deadline_left_ms: 0,
        allowance: OWN_ALLOWANCE,
        once: entry.contract.once,
        idempotent: entry.contract.idempotent,
        method: parts.method.as_str().to_owned(),
        path: entry.path,
        headers: call_headers(core, &parts.headers),
        body_bytes: None,
    }
}

/// Takes a share of the running call's allowance for a call that serves it.
///
/// A repeated call is a retry, spent from the allowance; returns `false` when none is left.
fn take_share(parent: &RunningCall, head: &mut CallHead, body: &CallBody) -> bool {
    let mut allowance = parent.allowance.borrow_mut();
    let decision = parent
        .repeats
        .borrow_mut()
        .classify(call_digest(head, body), &mut allowance);
    if decision == RepeatDecision::Exhausted {
        return false;
    }
    let target = CallTarget::new(head.service.clone(), head.call.clone());
    parent.used.borrow_mut().insert(target);
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
    if let CallBody::Whole(bytes) = body {
        hasher.update(bytes);
    }
    hasher.digest()
}

/// Gives a running call back what the call below it didn't spend.
fn settle_with(parent: &RunningCall, attempt: AttemptId, answer: &CallAnswer, below_ms: u64) {
    let unspent = AllowanceShare::new(answer.head.allowance_left);
    parent.allowance.borrow_mut().reclaim(attempt, unspent);
    parent.below_ms.set(parent.below_ms.get() + below_ms);
}
