use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use model::{RefusalReason, RequestId, RunVerdict};

use crate::answer_body::AnswerBody;
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::call_headers::{REQUEST_ID, RETRY_AFTER_MS, VERDICT};
use crate::edge_settings::EdgeSettings;
use crate::node_core::NodeCore;
use crate::problem_body::problem_body;

/// The number of milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Builds the HTTP response for an answer.
pub(crate) fn build_response(
    core: &NodeCore,
    request: RequestId,
    answer: CallAnswer,
) -> Response<AnswerBody> {
    let edge = &core.settings.edge;
    let mut response = Response::new(answer.body);
    let status = match answer.head.refusal {
        Some(reason) => status_of(edge, reason, answer.head.verdict),
        None => answer.head.status,
    };
    let status = StatusCode::from_u16(status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = answer.head.headers.to_map();
    let retry_after_ms = u64::from(answer.head.retry_after_ms);
    let headers = response.headers_mut();
    set_verdict_headers(headers, edge, request, answer.head.verdict, retry_after_ms);
    response
}

/// Counts and logs a refusal of a request before it is dispatched, and builds its HTTP response.
pub(crate) fn refusal_response(
    core: &NodeCore,
    request: RequestId,
    component: &str,
    refusal: &CallRefusal,
) -> Response<AnswerBody> {
    let edge = &core.settings.edge;
    core.metrics.count_refusal(component, refusal.reason);
    if core.may_log() {
        log::info!(
            "event=refused part={component} request={request} reason={} verdict={} by={} retry_after_ms={}",
            refusal.reason.as_str(),
            refusal.verdict.as_str(),
            refusal
                .service
                .as_ref()
                .map_or("", model::ServiceName::as_str),
            refusal.retry_after_ms,
        );
    }
    let body = CallBody::Buffered(problem_body(request, refusal));
    let mut response = Response::new(AnswerBody::from(body));
    let status = StatusCode::from_u16(status_of(edge, refusal.reason, refusal.verdict));
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("application/problem+json");
    headers.insert(CONTENT_TYPE, content_type);
    set_verdict_headers(
        headers,
        edge,
        request,
        refusal.verdict,
        refusal.retry_after_ms,
    );
    response
}

/// Returns the HTTP status of a refusal.
///
/// If the status has to show whether the request has run, the statuses that invite a retry, 429 and
/// 503, are reserved for requests that haven't run, and 502 and 504 for those that may have run.
/// 422 is used for neither.
fn status_of(edge: &EdgeSettings, reason: RefusalReason, verdict: RunVerdict) -> u16 {
    let status = reason.status();
    if !edge.has_verdict_status {
        return status;
    }
    match (verdict, status) {
        (RunVerdict::NotRun, 422 | 502 | 504) => StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        (RunVerdict::MayHaveRun, 422 | 429 | 503) => StatusCode::BAD_GATEWAY.as_u16(),
        _ => status,
    }
}

fn set_verdict_headers(
    headers: &mut HeaderMap,
    edge: &EdgeSettings,
    request: RequestId,
    verdict: RunVerdict,
    retry_after_ms: u64,
) {
    if !edge.sends_project_headers {
        set_fractional_retry_after(headers, retry_after_ms);
        return;
    }
    headers.insert(VERDICT, HeaderValue::from_static(verdict.as_str()));
    if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
        headers.insert(REQUEST_ID, value);
    }
    if retry_after_ms > 0 {
        let seconds = retry_after_ms.div_ceil(SECOND_MS);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        headers.insert(RETRY_AFTER_MS, HeaderValue::from(retry_after_ms));
    }
}

/// Sets `Retry-After` to seconds with a fraction, unless the delay is 0.
fn set_fractional_retry_after(headers: &mut HeaderMap, retry_after_ms: u64) {
    if retry_after_ms == 0 {
        return;
    }
    let (seconds, remainder_ms) = (retry_after_ms / SECOND_MS, retry_after_ms % SECOND_MS);
    if let Ok(value) = HeaderValue::from_str(&format!("{seconds}.{remainder_ms:03}")) {
        headers.insert(RETRY_AFTER, value);
    }
}
