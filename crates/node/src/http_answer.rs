use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use model::{RequestId, RunVerdict};

use crate::answer_body::AnswerBody;
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::call_headers::{REQUEST_ID, RETRY_AFTER_MS, VERDICT};
use crate::node_core::NodeCore;
use crate::problem_body::problem_body;

/// The number of milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Returns the HTTP response that carries an answer.
pub(crate) fn build_response(request: RequestId, answer: CallAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(answer.body);
    let status = StatusCode::from_u16(answer.head.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = answer.head.headers.to_map();
    let retry_after_ms = u64::from(answer.head.retry_after_ms);
    let headers = response.headers_mut();
    tell_verdict(headers, request, answer.head.verdict, retry_after_ms);
    response
}

/// Returns the HTTP response to a request that a node refuses before it is sent on.
pub(crate) fn refuse_response(
    core: &NodeCore,
    request: RequestId,
    part: &str,
    refusal: &CallRefusal,
) -> Response<AnswerBody> {
    core.metrics.count_refusal(part, refusal.reason);
    log::debug!(
        "event=refused part={part} request={request} reason={} verdict={}",
        refusal.reason.as_str(),
        refusal.verdict.as_str(),
    );
    let body = CallBody::Whole(problem_body(request, refusal));
    let mut response = Response::new(AnswerBody::from(body));
    let status = StatusCode::from_u16(refusal.reason.status());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("application/problem+json");
    headers.insert(CONTENT_TYPE, content_type);
    tell_verdict(headers, request, refusal.verdict, refusal.retry_after_ms);
    response
}

fn tell_verdict(
    headers: &mut HeaderMap,
    request: RequestId,
    verdict: RunVerdict,
    retry_after_ms: u64,
) {
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
