use std::ops::RangeInclusive;

use http::{HeaderValue, Response, StatusCode, header::CONTENT_ENCODING};
use thiserror::Error;

use crate::edge_settings::EdgeSettings;

/// The statuses of the classes that RFC 9110, section 15, defines. A status beyond them is to be taken
/// for a server error.
const DEFINED_STATUSES: RangeInclusive<u16> = 100..=599;

/// Why a response isn't the backend server's answer to the request that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum AnswerError {
    /// The response names another request, or none.
    #[error("it names another request or none")]
    OtherRequest,
    /// The response is a success without the signature header that every success carries.
    #[error("it is a success response without a signature")]
    Unsigned,
    /// HTTP defines no class for the status.
    #[error("its status is outside of the classes that HTTP defines")]
    UndefinedStatus,
    /// The body is encoded, though no encoding was requested.
    #[error("it has an unexpected content encoding")]
    Encoded,
}

/// What a response reports about the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    /// The request ran.
    Ran,
    /// The backend server rejected the request without running it.
    NotRun,
    /// The address belongs to another backend server, which rejected the request.
    OtherBackend,
}

/// Classifies a response to a request.
///
/// A backend server may answer a request twice; the second answer then arrives in place of the
/// answer to the next request. So a response without an id answers the request only if it is the
/// first one on its connection and a refusal.
///
/// # Errors
///
/// Returns why the response isn't the answer to the request.
pub(crate) fn classify_answer<B>(
    edge: &EdgeSettings,
    sent_id: Option<&HeaderValue>,
    is_first: bool,
    response: &Response<B>,
) -> Result<AnswerKind, AnswerError> {
    let headers = response.headers();
    let status = response.status();
    let has = |name: &Option<http::HeaderName>| {
        let name = name.as_ref();
        name.is_some_and(|name| headers.contains_key(name))
    };
    let named = edge.request_id_header.as_ref();
    let answered_id = named.and_then(|name| headers.get(name));
    let is_misdirected = edge.backend_header.is_some() && status == StatusCode::MISDIRECTED_REQUEST;
    let is_refusal = is_misdirected || has(&edge.not_run_header);
    let is_own = match (named, answered_id) {
        (None, _) => true,
        (Some(_), Some(id)) => Some(id) == sent_id,
        (Some(_), None) if is_refusal => is_first,
        (Some(_), None) => sent_id.is_none(),
    };
    if !is_own {
        return Err(AnswerError::OtherRequest);
    }
    if !DEFINED_STATUSES.contains(&status.as_u16()) {
        return Err(AnswerError::UndefinedStatus);
    }
    if is_misdirected {
        return Ok(AnswerKind::OtherBackend);
    }
    if is_refusal {
        return Ok(AnswerKind::NotRun);
    }
    if named.is_some() && headers.contains_key(CONTENT_ENCODING) {
        return Err(AnswerError::Encoded);
    }
    if status.is_success() && edge.signature_header.is_some() && !has(&edge.signature_header) {
        return Err(AnswerError::Unsigned);
    }
    Ok(AnswerKind::Ran)
}
