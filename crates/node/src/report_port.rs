use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use limit::{WarmUpSource, WarmUpStatement};
use member::{BackendNotice, NoticeOutcome};
use thiserror::Error;

use crate::answer_body::AnswerBody;
use crate::call_body::CallBody;
use crate::caller_body::CallerBody;
use crate::departure_log::record_departure;
use crate::node_core::NodeCore;
use crate::warm_up_watch::{doubt_warmth, log_change};

/// The maximum size of a notice from a backend server, in bytes; typical ones have a few hundred.
const MAX_NOTICE_BYTES: usize = 16 * 1024;

/// The maximum time until a notice of leaving is answered. The backend server takes one that isn't
/// answered within a second as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// An error in a notice from a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NoticeError {
    /// The method or path isn't one that backend servers use for notices.
    #[error("unknown method or path for a notice")]
    UnknownCall,
    /// The body can't be parsed.
    #[error("{0}")]
    Malformed(String),
}

/// Parses a notice from the method, the path and the body of a request by the backend server.
pub type NoticeReader = fn(&Method, &str, &[u8]) -> Result<BackendNotice, NoticeError>;

/// Handles a request by which the backend server reports its state.
///
/// The notice is applied before the request is answered, so a leaving backend server receives no
/// new calls after the answer. A departure is also recorded on the log before, so that it binds the
/// next process of the node.
pub(crate) async fn answer_report(
    core: Rc<NodeCore>,
    request: Request<CallerBody>,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let Some(reports) = core.settings.reports else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let body = match Limited::new(body, MAX_NOTICE_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            if core.may_log() {
                log::warn!("event=notice-cut error={:?}", error.to_string());
            }
            return status_response(StatusCode::BAD_REQUEST);
        }
    };
    match (reports.read_notice)(&parts.method, parts.uri.path(), &body) {
        Ok(notice) => status_response(handle_notice(&core, &notice).await),
        Err(NoticeError::UnknownCall) => status_response(StatusCode::NOT_FOUND),
        Err(error) => {
            if core.may_log() {
                log::warn!("event=notice-refused error={:?}", error.to_string());
            }
            status_response(StatusCode::BAD_REQUEST)
        }
    }
}

/// Applies a notice and returns the status of its answer.
async fn handle_notice(core: &Rc<NodeCore>, notice: &BackendNotice) -> StatusCode {
    if core.departures.holds(notice) {
        return StatusCode::OK;
    }
    apply_notice(core, notice);
    if !notice.is_leaving() {
        return StatusCode::OK;
    }
    let Some(departure) = record_departure(core, notice.backend()) else {
        return StatusCode::OK;
    };
    let recording = core
        .departures
        .is_recorded_within(&departure, ANSWER_TIMEOUT);
    if recording.await {
        StatusCode::OK
    } else {
        log::warn!("event=departure-unconfirmed backend={}", notice.backend());
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Applies a notice to the state of the backend server and to its queue.
pub(crate) fn apply_notice(core: &NodeCore, notice: &BackendNotice) {
    let now = core.now();
    let outcome = core.backend_watch.borrow_mut().apply(now, notice);
    let slots = core.backend_watch.borrow().slots();
    match outcome {
        NoticeOutcome::Known => {
            record_cold_time(core, notice);
            return;
        }
        NoticeOutcome::Started => {
            core.gate.reset();
            doubt_warmth(core, "start");
            record_cold_time(core, notice);
        }
        NoticeOutcome::Changed => record_cold_time(core, notice),
        NoticeOutcome::Late | NoticeOutcome::Foreign => {}
    }
    if let Some(slots) = slots {
        core.gate.set_slots(slots);
    }
    core.activity.notify();
    log::info!(
        "event=backend-notice backend={} outcome={} slots={} sequence={} born_ms={} leaving={} \
         cold_ms={}",
        notice.backend(),
        outcome.as_str(),
        slots.unwrap_or(0),
        notice.sequence(),
        notice.started_at_ms(),
        notice.is_leaving(),
        notice.cold_ms().unwrap_or(0),
    );
}

/// Applies how long the backend server stays cold by its report.
fn record_cold_time(core: &NodeCore, notice: &BackendNotice) {
    let Some(cold_ms) = notice.cold_ms() else {
        return;
    };
    let source = WarmUpSource::Report;
    let statement = WarmUpStatement { cold_ms, source };
    let change = core.gate.record_warm_up(core.now(), statement);
    log_change(core, change, "report");
}

fn status_response(status: StatusCode) -> Response<AnswerBody> {
    let body = if status.is_success() { "{}" } else { "" };
    let body = CallBody::Buffered(Bytes::from_static(body.as_bytes()));
    let mut response = Response::new(AnswerBody::from(body));
    *response.status_mut() = status;
    response
}
