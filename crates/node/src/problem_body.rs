use bytes::Bytes;
use model::RequestId;
use serde_json::json;

use crate::call_answer::CallRefusal;

/// Returns the problem document (RFC 9457) that describes a refusal to the caller.
pub(crate) fn problem_body(request: RequestId, refusal: &CallRefusal) -> Bytes {
    let reason = refusal.reason.as_str();
    let document = json!({
        "type": format!("urn:lentilshift:refusal:{reason}"),
        "title": reason,
        "status": refusal.reason.status(),
        "verdict": refusal.verdict.as_str(),
        "request_id": request.to_string(),
        "service": refusal.service.as_ref().map(model::ServiceName::as_str),
        "retry_after_ms": refusal.retry_after_ms,
    });
    Bytes::from(document.to_string())
}
