use http::{HeaderValue, Response, StatusCode, header::CONTENT_ENCODING};
use thiserror::Error;

use crate::edge_settings::EdgeSettings;

/// Why a response isn't the backend server's answer to the request that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum AnswerFault {
    /// It names another request, or none.
    #[error("it belongs to another request")]
    OtherRequest,
    /// It is a success without the header that every success carries.
    #[error("it is a success without a signature")]
    Unsigned,
    /// Its bytes are encoded, though no encoding was asked for.
    #[error("it is encoded")]
    Encoded,
}

/// What a response says of the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    /// It ran.
    Ran,
    /// The backend server turned it away.
    NotRun,
    /// Another backend server has the address, and turned it away.
    OtherBackend,
}

/// Tells what a response says of the request, or why it can't be an answer to it.
///
/// A backend server may answer a request twice; the second answer then comes where the one to
/// the next request is expected.
pub(crate) fn classify_answer<B>(
    edge: &EdgeSettings,
    sent_id: Option<&HeaderValue>,
    response: &Response<B>,
) -> Result<AnswerKind, AnswerFault> {
    let headers = response.headers();
    let status = response.status();
    let has = |name: &Option<http::HeaderName>| {
        let name = name.as_ref();
        name.is_some_and(|name| headers.contains_key(name))
    };
    let named = edge.request_header.as_ref();
    let answered_id = named.and_then(|name| headers.get(name));
    if edge.backend_header.is_some() && status == StatusCode::MISDIRECTED_REQUEST {
        return Ok(AnswerKind::OtherBackend);
    }
    let is_refusal = has(&edge.not_run_header);
    if is_refusal && (answered_id.is_none() || answered_id == sent_id) {
        return Ok(AnswerKind::NotRun);
    }
    if named.is_some() && answered_id != sent_id {
        return Err(AnswerFault::OtherRequest);
    }
    if named.is_some() && headers.contains_key(CONTENT_ENCODING) {
        return Err(AnswerFault::Encoded);
    }
    if status.is_success() && edge.signature_header.is_some() && !has(&edge.signature_header) {
        return Err(AnswerFault::Unsigned);
    }
    Ok(AnswerKind::Ran)
}
