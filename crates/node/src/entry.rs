use std::rc::Rc;

use clock::ClockTime;
use contract::CallContract;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, Uri};
use model::{CallImportance, CallName, RefusalReason, RequestId, ServiceName, TeamName};
use rand::Rng;
use streams::KeyAnswer;
use wire::{CallHead, HeaderList};

use crate::answer_body::AnswerBody;
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_headers::{
    find_deadline_ms, find_key, find_request_id, path_contains_key, set_header,
    strip_key_from_query, strip_request_headers,
};
use crate::caller_body::CallerBody;
use crate::chain_admission::{EntryRequest, check_chain};
use crate::config_hold::await_current_config;
use crate::dispatch::dispatch_call;
use crate::egress::answer_with_inferred_parent;
use crate::entry_permit::EntryPermit;
use crate::http_answer::{build_response, refusal_response};
use crate::node_core::NodeCore;
use crate::rate_watch::admit_team;
use crate::request_body::{buffer_small_body, discard_body, discard_unread};
use crate::resend_allowance::{ResendAllowance, resends_exhausted};

/// The retry delay for callers of a node whose keys are too old to be trusted, in milliseconds.
const KEYS_STALE_RETRY_AFTER_MS: u64 = 2_000;

/// The retry delay for callers of a node that is starting or stopping, in milliseconds. A starting
/// node has read the log by then.
const NOT_READY_RETRY_AFTER_MS: u64 = 500;

/// The call that an entering request makes, with its contract.
#[derive(Clone)]
pub(crate) struct EntryCall {
    pub(crate) service: ServiceName,
    pub(crate) call: CallName,
    pub(crate) contract: CallContract,
    /// The path and query that are sent to the backend server.
    pub(crate) path: String,
}

/// Answers a request of a caller.
pub(crate) async fn answer_caller(
    core: Rc<NodeCore>,
    request: Request<CallerBody>,
) -> Response<AnswerBody> {
    await_current_config(&core).await;
    let caller_id = find_request_id(request.headers(), &core.settings.edge);
    let request_id = caller_id.unwrap_or_else(|| core.new_request_id());
    let (parts, body) = request.into_parts();
    if let Some(entry) = find_backend_call(&core, &parts) {
        return answer_with_inferred_parent(core, request_id, entry, parts, body).await;
    }
    match serve_request(&core, request_id, parts, body).await {
        Ok(answer) => build_response(&core, request_id, answer),
        Err(refusal) => refusal_response(&core, request_id, "entry", &refusal),
    }
}

/// Returns the call of a request that was probably made by the local backend server, on platforms
/// where its calls and those of callers arrive on one port.
///
/// A request is taken for such a call if it has no key, its route is open although there are teams
/// with keys, and the backend server is running calls. It is then handled as a nested call, since
/// shedding it would waste work that was already admitted. The request of a caller without a key
/// is given the same precedence if it arrives at such a time.
fn find_backend_call(core: &NodeCore, parts: &Parts) -> Option<EntryCall> {
    let edge = &core.settings.edge;
    let is_keyless = !edge.sends_project_headers && find_key(&parts.headers, edge).is_none();
    if !is_keyless || core.running.len() == 0 || core.contract().teams.is_empty() {
        return None;
    }
    find_entry(core, parts, None).filter(|entry| entry.contract.open)
}

/// Admits a caller's request and dispatches its call.
///
/// The chain is checked before the rate of the team, so that a request which would be shed takes
/// none of the team's tokens.
async fn serve_request(
    core: &Rc<NodeCore>,
    request_id: RequestId,
    parts: Parts,
    body: CallerBody,
) -> Result<CallAnswer, CallRefusal> {
    let started = core.now();
    let (head, deadline, target_ms) = match check_request(core, request_id, &parts) {
        Ok(checked) => checked,
        Err(refusal) => {
            discard_body(&parts, body);
            return Err(refusal);
        }
    };
    let (body, _hold) = buffer_small_body(core, &parts, body, deadline).await?;
    let permit = match admit_request(core, &head, deadline, target_ms).await {
        Ok(permit) => permit,
        Err(refusal) => {
            discard_unread(&parts, body);
            return Err(refusal);
        }
    };
    let resend_allowance = ResendAllowance::open(core, &head);
    let resend_allowance = resend_allowance.ok_or_else(resends_exhausted)?;
    let head = CallHead {
        body_bytes: body.known_len(),
        allowance: resend_allowance.allowance(),
        ..head
    };
    let entry_request = EntryRequest::new(started, &head);
    let service = head.service.clone();
    let mut answer = dispatch_call(core, head, body, deadline).await;
    entry_request.finish(core, &mut answer);
    permit.release(&answer.head);
    resend_allowance.close(answer.head.allowance_left);
    core.metrics
        .observe_call("entry", &service, started, core.now(), &answer.head);
    Ok(answer)
}

/// Checks a request on the basis of its head. Returns the head of its call, its deadline and the
/// time in which it should be answered, in milliseconds.
fn check_request(
    core: &NodeCore,
    request_id: RequestId,
    parts: &Parts,
) -> Result<(CallHead, ClockTime, u64), CallRefusal> {
    if !core.has_contract() || core.has_left() {
        return Err(not_ready());
    }
    let edge = &core.settings.edge;
    let key = find_key(&parts.headers, edge);
    if edge.checks_all_key_locations && path_contains_key(parts.uri.path(), key) {
        return Err(CallRefusal::not_run(RefusalReason::BadRequest));
    }
    let entry = find_entry(core, parts, key);
    if entry.is_none() && !core.contract().routes.is_empty() {
        return Err(CallRefusal::not_run(RefusalReason::NoSuchCall));
    }
    let (entry, team) = check_key(core, entry, key)?;
    let allowed_ms = entry.contract.deadline_ms;
    let requested_ms = find_deadline_ms(&parts.headers, edge).unwrap_or(allowed_ms);
    let deadline = core.now().plus_ms(requested_ms.min(allowed_ms));
    let target_ms = entry.contract.target_or_deadline_ms();
    let head = build_head(core, request_id, entry, team, parts, key);
    check_chain(core, &head, deadline)?;
    Ok((head, deadline, target_ms))
}

/// Admits a request whose body has arrived or is a stream, so that a caller who doesn't send a
/// small body keeps no place from others. Returns the permit of the request.
async fn admit_request(
    core: &Rc<NodeCore>,
    head: &CallHead,
    deadline: ClockTime,
    target_ms: u64,
) -> Result<EntryPermit, CallRefusal> {
    let permit = EntryPermit::acquire(core, head, target_ms)?;
    if let Some(team) = &head.team {
        admit_team(core, team, deadline).await?;
    }
    Ok(permit)
}

/// Returns the refusal of a node that is starting or stopping.
pub(crate) fn not_ready() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::NotReady).with_retry_after_ms(NOT_READY_RETRY_AFTER_MS)
}

fn build_head(
    core: &NodeCore,
    request_id: RequestId,
    entry: EntryCall,
    team: Option<TeamName>,
    parts: &Parts,
    key: Option<&[u8]>,
) -> CallHead {
    let team_weight = team_weight(core, team.as_ref());
    let importance = importance_of(core, &entry.contract, team.as_ref());
    let headers = backend_headers(core, &parts.headers, team.as_ref(), key);
    CallHead {
        request: request_id,
        attempt: core.new_attempt_id(),
        service: entry.service,
        call: entry.call,
        team,
        team_weight,
        importance,
        call_importance: entry.contract.importance,
        depth: 0,
        mark: None,
        deadline_left_ms: 0,
        allowance: entry.contract.attempts.saturating_sub(1),
        once: entry.contract.once,
        idempotent: entry.contract.idempotent,
        method: parts.method.as_str().to_owned(),
        path: entry.path,
        headers: HeaderList::from(&headers),
        body_bytes: None,
        may_move: false,
        news_count: 0,
        news: Vec::new(),
    }
}

/// Returns the headers to send to the backend server with a request.
fn backend_headers(
    core: &NodeCore,
    headers: &HeaderMap,
    team: Option<&TeamName>,
    key: Option<&[u8]>,
) -> HeaderMap {
    let settings = &core.settings;
    let edge = &settings.edge;
    let mut forwarded = strip_request_headers(headers, key, edge);
    if let Some(team) = team {
        set_header(&mut forwarded, edge.team_header.as_ref(), team.as_str());
    }
    let origin = settings.service.as_str();
    set_header(&mut forwarded, edge.origin_header.as_ref(), origin);
    forwarded
}

/// Returns the importance of a request: that of its team if it has one, else that of its call.
fn importance_of(core: &NodeCore, call: &CallContract, team: Option<&TeamName>) -> CallImportance {
    let contract = core.contract();
    let team = team.and_then(|team| contract.teams.get(team));
    let team_importance = team.and_then(|team| team.importance);
    team_importance.unwrap_or(call.importance)
}

/// Returns the call that a request makes, by its route or by the service that its path names.
pub(crate) fn find_entry(core: &NodeCore, parts: &Parts, key: Option<&[u8]>) -> Option<EntryCall> {
    if core.contract().routes.is_empty() {
        find_call(core, &parts.method, &parts.uri, key)
    } else {
        find_route(core, parts)
    }
}

/// Returns whether a request may run more than once and has the same effect as one run.
pub(crate) fn may_repeat<T>(core: &NodeCore, request: &Request<T>) -> bool {
    let Some(path) = request.uri().path_and_query() else {
        return false;
    };
    let contract = core.contract();
    if contract.routes.is_empty() {
        let (service, path) = split_service(path.as_str()).unwrap_or_default();
        let found = contract.find_call(service, request.method().as_str(), path);
        return found.is_some_and(|found| found.contract.may_retry());
    }
    let host = request.headers().get(HOST);
    let host = host.and_then(|host| host.to_str().ok());
    let index = core.routes.borrow();
    let host = host.or_else(|| request.uri().host());
    let found = host.and_then(|host| index.find(host, path.as_str()));
    found.is_some_and(|(_, route)| route.idempotent)
}

/// Splits a path into the service that its first segment names and the rest.
fn split_service(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix('/')?;
    let split = rest.find(['/', '?']).unwrap_or(rest.len());
    Some(rest.split_at(split))
}

/// Returns the call of the route that matches a request, to a service chosen at random by weight.
fn find_route(core: &NodeCore, parts: &Parts) -> Option<EntryCall> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host())?;
    let path = parts.uri.path_and_query()?.as_str();
    let index = Rc::clone(&core.routes.borrow());
    let (call, route) = index.find(host, path)?;
    let total = route.total_weight();
    let position = (total > 0).then(|| core.with_random(|random| random.random_range(0..total)))?;
    Some(EntryCall {
        service: route.backend_at(position)?.clone(),
        call: call.clone(),
        contract: route.to_call(),
        path: path.to_owned(),
    })
}

/// Returns the call that a request makes to the service named by the first segment of its path.
pub(crate) fn find_call(
    core: &NodeCore,
    method: &Method,
    uri: &Uri,
    key: Option<&[u8]>,
) -> Option<EntryCall> {
    let (service, path) = split_service(uri.path_and_query()?.as_str())?;
    let path = if path.starts_with('/') {
        strip_key_from_query(path, key)
    } else {
        strip_key_from_query(&format!("/{path}"), key)
    };
    let contract = core.contract();
    let found = contract.find_call(service, method.as_str(), &path)?;
    Some(EntryCall {
        service: found.service.clone(),
        call: found.call.clone(),
        contract: found.contract.clone(),
        path,
    })
}

/// Returns the weight of a team when capacity is divided among teams: its rate, or 1 without one.
pub(crate) fn team_weight(core: &NodeCore, team: Option<&TeamName>) -> u32 {
    let contract = core.contract();
    let team = team.and_then(|team| contract.teams.get(team));
    team.map_or(1, |team| team.rate_per_s.max(1))
}

/// Returns the headers to send to the backend server with a call that has no team or key.
pub(crate) fn call_headers(core: &NodeCore, headers: &HeaderMap) -> HeaderList {
    HeaderList::from(&backend_headers(core, headers, None, None))
}

/// Checks the key of a request and returns its team. A call that is open to all needs no key and
/// has no team.
fn check_key(
    core: &NodeCore,
    entry: Option<EntryCall>,
    key: Option<&[u8]>,
) -> Result<(EntryCall, Option<TeamName>), CallRefusal> {
    if let Some(entry) = entry.as_ref().filter(|entry| entry.contract.open) {
        return Ok((entry.clone(), None));
    }
    let key = key.ok_or_else(|| CallRefusal::not_run(RefusalReason::KeyMissing))?;
    let team = match core.key_answer(key) {
        KeyAnswer::Team(team) => team,
        KeyAnswer::Unknown => return Err(CallRefusal::not_run(RefusalReason::KeyUnknown)),
        KeyAnswer::Stale => {
            let refusal = CallRefusal::not_run(RefusalReason::KeysStale);
            return Err(refusal.with_retry_after_ms(KEYS_STALE_RETRY_AFTER_MS));
        }
    };
    let entry = entry.ok_or_else(|| CallRefusal::not_run(RefusalReason::NoSuchCall))?;
    Ok((entry, Some(team)))
}
