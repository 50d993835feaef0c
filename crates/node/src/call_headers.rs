use http::header::{AUTHORIZATION, CONNECTION, EXPECT, HeaderName, PROXY_AUTHORIZATION, TE};
use http::header::{PROXY_AUTHENTICATE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderValue};
use model::{AttemptId, RequestId, TeamName};
use wire::CallHead;
use xxhash_rust::xxh3::xxh3_128;

use crate::edge_settings::EdgeSettings;

/// The header that reports to a caller whether its request may have run.
pub(crate) const VERDICT: HeaderName = HeaderName::from_static("lentilshift-verdict");
/// The header with the id of the request as a whole, for logs.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("lentilshift-request-id");
/// The header by which a backend server links its own calls to the call that it runs.
pub(crate) const CALL_ID: HeaderName = HeaderName::from_static("lentilshift-call-id");
/// The header with the retry delay in milliseconds.
pub(crate) const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("lentilshift-retry-after-ms");
/// The header by which duplicates of a call are recognized.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The prefix of the header names that this project defines.
const PROJECT_PREFIX: &str = "lentilshift-";

/// Headers that apply to a single connection and aren't forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// Returns the caller's key from the headers of a request.
pub(crate) fn find_key<'h>(headers: &'h HeaderMap, edge: &EdgeSettings) -> Option<&'h [u8]> {
    if let Some(key) = headers.get(&edge.key_header) {
        return Some(key.as_bytes().trim_ascii());
    }
    if !edge.checks_all_key_locations {
        return None;
    }
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(b"Bearer ".len())?;
    scheme
        .eq_ignore_ascii_case(b"Bearer ")
        .then(|| key.trim_ascii())
}

/// Returns the headers of a request that may be forwarded to the backend server.
///
/// Removes credentials, the headers that only nodes set, and every header whose value contains the
/// caller's key.
pub(crate) fn strip_request_headers(
    headers: &HeaderMap,
    key: Option<&[u8]>,
    edge: &EdgeSettings,
) -> HeaderMap {
    let mut forwarded = strip_hop_by_hop(headers);
    for name in [&AUTHORIZATION, &PROXY_AUTHORIZATION] {
        forwarded.remove(name);
    }
    for name in edge.node_headers() {
        forwarded.remove(name);
    }
    forwarded
        .into_iter()
        .scan(None, |last: &mut Option<HeaderName>, (name, value)| {
            *last = name.or_else(|| last.clone());
            Some((last.clone()?, value))
        })
        .filter(|(name, value)| {
            !name.as_str().starts_with(PROJECT_PREFIX) && !contains_key(value.as_bytes(), key)
        })
        .collect()
}

/// Returns headers without the hop-by-hop ones, including those that `Connection` lists.
pub(crate) fn strip_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let connection_options: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&connection_options) {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns whether a path contains the caller's key outside its query.
pub(crate) fn path_contains_key(path: &str, key: Option<&[u8]>) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    contains_key(path.as_bytes(), key)
}

/// Returns a path without the query parameters that are named like a key or contain the caller's
/// key.
pub(crate) fn strip_key_from_query(path: &str, key: Option<&[u8]>) -> String {
    let Some((path, query)) = path.split_once('?') else {
        return path.to_owned();
    };
    let forwarded: Vec<&str> = query
        .split('&')
        .filter(|pair| !is_key_parameter(pair) && !contains_key(pair.as_bytes(), key))
        .collect();
    if forwarded.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{}", forwarded.join("&"))
}

/// Adds the headers that describe an attempt to the backend server: its id and the time left.
pub(crate) fn add_attempt_headers(
    headers: &mut HeaderMap,
    edge: &EdgeSettings,
    attempt: AttemptId,
    deadline_left_ms: u64,
) {
    if edge.sends_project_headers
        && let Ok(value) = HeaderValue::from_str(&attempt.to_string())
    {
        headers.insert(CALL_ID, value);
    }
    headers.insert(&edge.deadline_header, HeaderValue::from(deadline_left_ms));
}

/// Sets a header, unless its name isn't configured or the text isn't valid as a header value.
pub(crate) fn set_header(headers: &mut HeaderMap, name: Option<&HeaderName>, text: &str) {
    if let Some(name) = name
        && let Ok(value) = HeaderValue::from_str(text)
    {
        headers.insert(name, value);
    }
}

/// Returns the time that the caller allows for a request, in milliseconds.
pub(crate) fn find_deadline_ms(headers: &HeaderMap, edge: &EdgeSettings) -> Option<u64> {
    let value = headers.get(&edge.deadline_header)?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Returns the id that the caller gave its request: its value as a hexadecimal number, else a hash
/// of the value.
pub(crate) fn find_request_id(headers: &HeaderMap, edge: &EdgeSettings) -> Option<RequestId> {
    let value = headers.get(edge.request_id_header.as_ref()?)?;
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

fn contains_key(value: &[u8], key: Option<&[u8]>) -> bool {
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        return false;
    };
    value.windows(key.len()).any(|window| window == key)
}

/// Returns the idempotency key of a call, or `None` if it has none or an empty one.
pub(crate) fn idempotency_key(head: &CallHead) -> Option<Vec<u8>> {
    let value = head.headers.get(IDEMPOTENCY_KEY.as_str())?;
    let key = value.as_bytes().trim_ascii();
    (!key.is_empty()).then(|| key.to_vec())
}

/// Returns the team that a call is charged to. A call without a team gets the empty name, which no
/// team has.
pub(crate) fn charged_team(head: &CallHead) -> TeamName {
    head.team.clone().unwrap_or_else(|| TeamName::new(""))
}
