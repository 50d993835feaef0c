use std::rc::Rc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};

use crate::answer_body::AnswerBody;
use crate::call_body::CallBody;
use crate::caller_body::CallerBody;
use crate::node_core::NodeCore;
use crate::state_dump::dump_state;

/// Answers an operator's request for the metrics, a dump of the state or the readiness of the node,
/// or marks its backend server as leaving.
pub(crate) async fn answer_admin(
    core: Rc<NodeCore>,
    request: Request<CallerBody>,
) -> Response<AnswerBody> {
    match request.uri().path() {
        "/leave" if request.method() == Method::POST => {
            core.leave();
            log::info!("event=leave-asked vm={}", core.settings.vm);
            text_response(StatusCode::OK, "text/plain", "leaving\n".to_owned())
        }
        "/leave" => {
            let text = "\"/leave\" accepts POST only\n".to_owned();
            text_response(StatusCode::METHOD_NOT_ALLOWED, "text/plain", text)
        }
        "/metrics" => {
            let load = core.gate.load(core.now());
            core.metrics.load.running.set(i64::from(load.in_flight));
            core.metrics.load.queued.set(i64::from(load.queued));
            core.metrics.load.limit.set(i64::from(load.limit));
            let ahead_bytes = i64::try_from(core.ahead_bytes.get()).unwrap_or(i64::MAX);
            core.metrics.ahead_bytes.set(ahead_bytes);
            core.metrics.load.slowness.set(i64::from(load.slowness));
            let age_ms = i64::try_from(core.news_age_ms()).unwrap_or(i64::MAX);
            core.metrics.load.news_age_ms.set(age_ms);
            let client_bytes = i64::try_from(core.clients.held_bytes()).unwrap_or(i64::MAX);
            core.metrics.client_bytes.set(client_bytes);
            let stated_rate = core.gate.stated_rate_per_s().unwrap_or(0.0);
            core.metrics.stated_rate.set(stated_rate);
            let warm_up_rate = core.gate.warm_up_rate_per_s().unwrap_or(0.0);
            core.metrics.warm_up_rate.set(warm_up_rate);
            let (version, refused) = core.config.with(|state| {
                let fold = state.feed.fold();
                let refused = fold.fault().map(|fault| fault.version);
                (fold.in_force().version, refused)
            });
            core.metrics.set_contract(version, refused);
            text_response(
                StatusCode::OK,
                "text/plain; version=0.0.4",
                core.metrics.to_text(),
            )
        }
        "/dump" => {
            let dump = serde_json::to_string_pretty(&dump_state(&core)).unwrap_or_default();
            text_response(StatusCode::OK, "application/json", dump)
        }
        "/ready" if core.is_ready() => {
            text_response(StatusCode::OK, "text/plain", "ready\n".to_owned())
        }
        "/ready" => {
            let text = "not ready: no contract is in force, the teams' rates have no allocator, or the node is leaving\n".to_owned();
            text_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text)
        }
        path => {
            let text =
                format!("\"{path}\" does not exist; try /metrics, /dump, /ready or /leave\n");
            text_response(StatusCode::NOT_FOUND, "text/plain", text)
        }
    }
}

fn text_response(status: StatusCode, kind: &'static str, text: String) -> Response<AnswerBody> {
    let body = CallBody::Buffered(Bytes::from(text));
    let mut response = Response::new(AnswerBody::from(body));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
