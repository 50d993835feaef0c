use std::rc::Rc;

use clock::ClockTime;
use contract::CallContract;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, Uri};
use hyper::body::Incoming;
use model::{CallImportance, CallName, RefusalReason, RequestId, ServiceName, TeamName};
use rand::Rng;
use streams::KeyAnswer;
use wire::{CallHead, HeaderList};

use crate::answer_body::AnswerBody;
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_headers::{
    find_deadline_ms, find_key, find_request_id, is_key_in_path, set_header, strip_path,
    strip_request,
};
use crate::chain_watch::{EntryRequest, check_chain};
use crate::dispatch::dispatch_call;
use crate::egress::answer_with_inferred_parent;
use crate::entry_place::EntryPlace;
use crate::http_answer::{build_response, refuse_response};
use crate::node_core::NodeCore;
use crate::rate_watch::admit_team;
use crate::request_body::{read_small, skip_body};
use crate::resend_charge::{ResendCharge, resends_spent};

/// The time after which callers come back to a node that trusts no key, in milliseconds.
const KEYS_STALE_MS: u64 = 2_000;

/// The time after which callers come back to a node without a contract, in milliseconds: by then
/// one that starts has read the log.
const NOT_READY_MS: u64 = 500;

/// A request as it entered, with what its call's contract says.
#[derive(Clone)]
pub(crate) struct EntryCall {
    pub(crate) service: ServiceName,
    pub(crate) call: CallName,
    pub(crate) contract: CallContract,
    /// The path and query that the backend server sees.
    pub(crate) path: String,
}

/// Answers a request that came from a caller.
pub(crate) async fn answer_caller(
    core: Rc<NodeCore>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let named_id = find_request_id(request.headers(), &core.settings.edge);
    let request_id = named_id.unwrap_or_else(|| core.new_request_id());
    let (parts, body) = request.into_parts();
    if let Some(entry) = find_own_call(&core, &parts) {
        return answer_with_inferred_parent(core, request_id, entry, parts, body).await;
    }
    match serve_caller(&core, request_id, parts, body).await {
        Ok(answer) => build_response(&core, request_id, answer),
        Err(refusal) => refuse_response(&core, request_id, "entry", &refusal),
    }
}

/// Returns the call that a request is when the local backend server is likely to have made it, where
/// its calls come in among the requests of callers.
///
/// It has no key, its route needs none though there are teams with keys, and the backend server
/// is at work. Such a call is work already begun: to shed it would waste what was admitted. A
/// caller without a key at that moment is taken for one, which lets its request go first.
fn find_own_call(core: &NodeCore, parts: &Parts) -> Option<EntryCall> {
    let edge = &core.settings.edge;
    let is_keyless = !edge.has_own_headers && find_key(&parts.headers, edge).is_none();
    if !is_keyless || core.running.len() == 0 || core.contract().teams.is_empty() {
        return None;
    }
    find_entry(core, parts, None).filter(|entry| entry.contract.open)
}

/// Sends a caller's request on its way once nothing speaks against it.
///
/// A request that the chain would shed spends none of its team's tokens.
async fn serve_caller(
    core: &Rc<NodeCore>,
    request_id: RequestId,
    parts: Parts,
    body: Incoming,
) -> Result<CallAnswer, CallRefusal> {
    let started = core.now();
    let (head, deadline, place) = match admit_caller(core, request_id, &parts).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            skip_body(&parts, body);
            return Err(refusal);
        }
    };
    let body = read_small(core, body, deadline).await?;
    let charge = ResendCharge::open(core, &head);
    let charge = charge.ok_or_else(resends_spent)?;
    let head = CallHead {
        body_bytes: body.known_bytes(),
        allowance: charge.allowance(),
        ..head
    };
    let entered = EntryRequest::new(started, &head);
    let service = head.service.clone();
    let mut answer = dispatch_call(core, head, body, deadline).await;
    entered.note_answer(core, &mut answer);
    place.close(&answer.head);
    charge.close(answer.head.allowance_left);
    core.metrics
        .observe_call("entry", &service, started, core.now(), &answer.head);
    Ok(answer)
}

/// Admits a request by its head, and returns the call that it makes, its deadline and the place
/// that it holds.
async fn admit_caller(
    core: &Rc<NodeCore>,
    request_id: RequestId,
    parts: &Parts,
) -> Result<(CallHead, ClockTime, EntryPlace), CallRefusal> {
    if !core.has_contract() || core.drain.is_given() {
        let refusal = CallRefusal::not_run(RefusalReason::NotReady);
        return Err(refusal.after_ms(NOT_READY_MS));
    }
    let edge = &core.settings.edge;
    let key = find_key(&parts.headers, edge);
    if edge.finds_stray_keys && is_key_in_path(parts.uri.path(), key) {
        return Err(CallRefusal::not_run(RefusalReason::BadRequest));
    }
    let entry = find_entry(core, parts, key);
    if entry.is_none() && !core.contract().routes.is_empty() {
        return Err(CallRefusal::not_run(RefusalReason::NoSuchCall));
    }
    let (entry, team) = check_key(core, entry, key)?;
    let allowed_ms = entry.contract.deadline_ms;
    let wanted_ms = find_deadline_ms(&parts.headers, edge).unwrap_or(allowed_ms);
    let deadline = core.now().plus_ms(wanted_ms.min(allowed_ms));
    let useful_ms = entry.contract.target_or_deadline_ms();
    let head = build_head(core, request_id, entry, team, parts, key);
    check_chain(core, &head, deadline)?;
    let place = EntryPlace::take(core, &head, useful_ms)?;
    if let Some(team) = &head.team {
        admit_team(core, team, deadline).await?;
    }
    Ok((head, deadline, place))
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
    }
}

/// Returns the headers of a caller's request that its backend server sees.
fn backend_headers(
    core: &NodeCore,
    headers: &HeaderMap,
    team: Option<&TeamName>,
    key: Option<&[u8]>,
) -> HeaderMap {
    let settings = &core.settings;
    let edge = &settings.edge;
    let mut kept = strip_request(headers, key, edge);
    if let Some(team) = team {
        set_header(&mut kept, edge.team_header.as_ref(), team.as_str());
    }
    let origin = settings.service.as_str();
    set_header(&mut kept, edge.origin_header.as_ref(), origin);
    kept
}

/// Returns the class of a request: its team's where that has one, else its call's.
fn importance_of(core: &NodeCore, call: &CallContract, team: Option<&TeamName>) -> CallImportance {
    let contract = core.contract();
    let team = team.and_then(|team| contract.teams.get(team));
    let of_team = team.and_then(|team| team.importance);
    of_team.unwrap_or(call.importance)
}

/// Returns the call that a request is, by its route or by the service that its path names.
pub(crate) fn find_entry(core: &NodeCore, parts: &Parts, key: Option<&[u8]>) -> Option<EntryCall> {
    if core.contract().routes.is_empty() {
        find_call(core, &parts.method, &parts.uri, key)
    } else {
        find_route(core, parts)
    }
}

/// Returns the route of the contract that a request takes, to one of its services by weight.
fn find_route(core: &NodeCore, parts: &Parts) -> Option<EntryCall> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host())?;
    let path = parts.uri.path_and_query()?.as_str();
    let index = Rc::clone(&core.routes.borrow());
    let (call, route) = index.find(host, path)?;
    let total = route.total_weight();
    let place = (total > 0).then(|| core.with_random(|random| random.random_range(0..total)))?;
    Some(EntryCall {
        service: route.backend_at(place)?.clone(),
        call: call.clone(),
        contract: route.to_call(),
        path: path.to_owned(),
    })
}

/// Returns the call of the contract that a request is.
pub(crate) fn find_call(
    core: &NodeCore,
    method: &Method,
    uri: &Uri,
    key: Option<&[u8]>,
) -> Option<EntryCall> {
    let path = uri.path_and_query()?.as_str();
    let rest = path.strip_prefix('/')?;
    let split = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(split);
    let path = if path.starts_with('/') {
        strip_path(path, key)
    } else {
        strip_path(&format!("/{path}"), key)
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

/// Returns the weight of a team when something must be shed.
pub(crate) fn team_weight(core: &NodeCore, team: Option<&TeamName>) -> u32 {
    let contract = core.contract();
    let team = team.and_then(|team| contract.teams.get(team));
    team.map_or(1, |team| team.rate_per_s.max(1))
}

/// Returns the headers of a call that the backend server may see.
pub(crate) fn call_headers(core: &NodeCore, headers: &HeaderMap) -> HeaderList {
    HeaderList::from(&backend_headers(core, headers, None, None))
}

/// Checks the key of a request, unless its call is open to all, and returns its team.
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
            return Err(refusal.after_ms(KEYS_STALE_MS));
        }
    };
    let entry = entry.ok_or_else(|| CallRefusal::not_run(RefusalReason::NoSuchCall))?;
    Ok((entry, Some(team)))
}
