use http::header::{AUTHORIZATION, CONNECTION, EXPECT, HeaderName, PROXY_AUTHORIZATION, TE};
use http::header::{PROXY_AUTHENTICATE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderValue};
use model::{AttemptId, RequestId, TeamName};
use wire::CallHead;
use xxhash_rust::xxh3::xxh3_128;

use crate::edge_settings::EdgeSettings;

/// The header that tells a caller whether its request may have run.
pub(crate) const VERDICT: HeaderName = HeaderName::from_static("lentilshift-verdict");
/// The header that names the whole request, for logs.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("lentilshift-request-id");
/// The header by which a backend server ties its own calls to the request that it serves.
pub(crate) const CALL_ID: HeaderName = HeaderName::from_static("lentilshift-call-id");
/// The header that tells when to come back, in milliseconds.
pub(crate) const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("lentilshift-retry-after-ms");
/// The header that names a call which must run at most once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The prefix of all header names of this project.
const OWN_PREFIX: &str = "lentilshift-";

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    EXPECT,
    PROXY_AUTHENTICATE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Returns the key that came with a request.
pub(crate) fn find_key<'h>(headers: &'h HeaderMap, edge: &EdgeSettings) -> Option<&'h [u8]> {
    if let Some(key) = headers.get(&edge.key_header) {
        return Some(key.as_bytes().trim_ascii());
    }
    if !edge.finds_stray_keys {
        return None;
    }
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(b"Bearer ".len())?;
    scheme
        .eq_ignore_ascii_case(b"Bearer ")
        .then(|| key.trim_ascii())
}

/// Returns the headers that the backend server may see.
///
/// Credentials go, and so does every header whose value holds the caller's key.
pub(crate) fn strip_request(
    headers: &HeaderMap,
    key: Option<&[u8]>,
    edge: &EdgeSettings,
) -> HeaderMap {
    let mut kept = strip_hop(headers);
    for name in [&AUTHORIZATION, &PROXY_AUTHORIZATION] {
        kept.remove(name);
    }
    for name in edge.set_headers() {
        kept.remove(name);
    }
    kept.into_iter()
        .scan(None, |last: &mut Option<HeaderName>, (name, value)| {
            *last = name.or_else(|| last.clone());
            Some((last.clone()?, value))
        })
        .filter(|(name, value)| {
            !name.as_str().starts_with(OWN_PREFIX) && !holds_key(value.as_bytes(), key)
        })
        .collect()
}

/// Returns headers without those that concern one connection only.
pub(crate) fn strip_hop(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&listed) {
        kept.remove(name);
    }
    kept
}

/// Returns whether a path, its query aside, holds the caller's key.
pub(crate) fn is_key_in_path(path: &str, key: Option<&[u8]>) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    holds_key(path.as_bytes(), key)
}

/// Returns a path without the query parameters that hold the caller's key.
pub(crate) fn strip_path(path: &str, key: Option<&[u8]>) -> String {
    let Some((path, query)) = path.split_once('?') else {
        return path.to_owned();
    };
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| !is_key_parameter(pair) && !holds_key(pair.as_bytes(), key))
        .collect();
    if kept.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{}", kept.join("&"))
}

/// Adds what a backend server is told about the call that it runs.
pub(crate) fn add_call(
    headers: &mut HeaderMap,
    edge: &EdgeSettings,
    attempt: AttemptId,
    deadline_left_ms: u64,
) {
    if edge.has_own_headers
        && let Ok(value) = HeaderValue::from_str(&attempt.to_string())
    {
        headers.insert(CALL_ID, value);
    }
    headers.insert(&edge.deadline_header, HeaderValue::from(deadline_left_ms));
}

/// Sets a header to a text, where the header has a name and the text can stand in one.
pub(crate) fn set_header(headers: &mut HeaderMap, name: Option<&HeaderName>, text: &str) {
    if let Some(name) = name
        && let Ok(value) = HeaderValue::from_str(text)
    {
        headers.insert(name, value);
    }
}

/// Returns the time that the caller allows, in milliseconds.
pub(crate) fn find_deadline_ms(headers: &HeaderMap, edge: &EdgeSettings) -> Option<u64> {
    let value = headers.get(&edge.deadline_header)?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Returns the id of a request that its caller has named.
pub(crate) fn find_request_id(headers: &HeaderMap, edge: &EdgeSettings) -> Option<RequestId> {
    let value = headers.get(edge.request_header.as_ref()?)?;
    let number = value
        .to_str()
        .ok()
        .and_then(|text| u128::from_str_radix(text, 16).ok());
    let number = number.unwrap_or_else(|| xxh3_128(value.as_bytes()));
    Some(RequestId::from_number(number))
}

fn is_key_parameter(pair: &str) -> bool {
    let name = pair.split('=').next().unwrap_or_default();
    ["api_key", "api-key", "apikey", "access_token", "key"].contains(&name)
}

fn holds_key(value: &[u8], key: Option<&[u8]>) -> bool {
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        return false;
    };
    value.windows(key.len()).any(|window| window == key)
}

/// Returns the idempotency key of a call, unless it has none or an empty one.
pub(crate) fn idempotency_key(head: &CallHead) -> Option<Vec<u8>> {
    let value = head.headers.get(IDEMPOTENCY_KEY.as_str())?;
    let key = value.as_bytes().trim_ascii();
    (!key.is_empty()).then(|| key.to_vec())
}

/// Returns the team that pays for a call, or a name that no team has.
pub(crate) fn payer(head: &CallHead) -> TeamName {
    head.team.clone().unwrap_or_else(|| TeamName::new(""))
}
