use std::rc::Rc;
use std::time::Duration;

use compio::time::{sleep, timeout};
use contract::ServiceContract;
use http::Request;
use http::header::HOST;
use limit::{WarmUpChange, WarmUpLimits};

use crate::backend_statement::read_cold_ms;
use crate::node_core::NodeCore;

/// The time that the backend server has to answer a question about its state.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest wait until it is checked again whether a question is due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;
/// The same for a service that isn't known to have cold backend servers.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Returns what the contract states of cold backend servers of a service.
pub(crate) fn warm_up_limits(service: &ServiceContract) -> Option<WarmUpLimits> {
    let terms = service.warm_up?;
    Some(WarmUpLimits {
        span_ms: terms.span_ms,
        rate_per_s: f64::from(terms.rate_per_s),
        answers_questions: service.health_path.is_some(),
    })
}

/// Asks the backend server whether it is cold, whenever that has to be known.
pub(crate) async fn watch_warm_up(core: Rc<NodeCore>) {
    loop {
        let contract = core.contract();
        let service = contract.services.get(&core.settings.service);
        let path = service
            .filter(|service| service.warm_up.is_some())
            .and_then(|service| service.health_path.clone());
        let Some(path) = path else {
            sleep(IDLE_INTERVAL).await;
            continue;
        };
        let now = core.now();
        log_change(&core, core.gate.check_silence(now), "silence");
        let due_ms = core.gate.next_question(now).map(|due| now.until_ms(due));
        if due_ms == Some(0) {
            core.gate.begin_question(now);
            core.metrics.questions.inc();
            let cold_ms = timeout(QUESTION_TIMEOUT, ask(&core, &path)).await;
            let cold_ms = cold_ms.ok().flatten();
            let change = core.gate.finish_question(core.now(), cold_ms);
            log_change(&core, change, "question");
        } else {
            let wait_ms = due_ms.unwrap_or(CHECK_INTERVAL_MS).min(CHECK_INTERVAL_MS);
            let wait = Duration::from_millis(wait_ms);
            let _ = timeout(wait, core.gate.question_due.wait()).await;
        }
    }
}

/// Asks the backend server at its health path how many milliseconds longer it is cold.
///
/// Returns `None` if the answer doesn't tell, or is one of another backend server.
async fn ask(core: &NodeCore, path: &str) -> Option<u64> {
    let backend = core.backend_name();
    if core.settings.reports.is_some() && backend.is_none() {
        return None;
    }
    let edge = &core.settings.edge;
    let host = core.backend.address().to_string();
    let request = Request::get(path).header(HOST, host).body(()).ok()?;
    let answer = core.backend.ask(&request, edge).await;
    let answer = answer
        .inspect_err(|error| {
            if core.may_log() {
                log::info!("event=question-failed error={:?}", error.to_string());
            }
        })
        .ok()?;
    let named = edge.health_backend_header.as_ref();
    let named = named.and_then(|name| answer.headers.get(name));
    let is_own = match (&backend, named) {
        (Some(backend), Some(named)) => named.as_bytes() == backend.as_str().as_bytes(),
        _ => true,
    };
    if !is_own || core.backend_name() != backend {
        return None;
    }
    let stated = read_cold_ms(edge, &answer.headers);
    // A warm backend server that is well may say nothing of its cold time.
    stated.or_else(|| answer.status.is_success().then_some(0))
}

/// Doubts that the backend server is warm, since it may have started anew.
pub(crate) fn doubt_warmth(core: &NodeCore, cause: &str) {
    let change = core.gate.doubt_warmth(core.now());
    log_change(core, change, cause);
}

/// Logs that requests to the backend server are paced from now on, or no longer.
pub(crate) fn log_change(core: &NodeCore, change: WarmUpChange, cause: &str) {
    match change {
        WarmUpChange::Paced if core.may_log() => {
            let rate_per_s = core.gate.warm_up_rate_per_s().unwrap_or(0.0);
            log::info!("event=warm-up-paced by={cause} rate_per_s={rate_per_s}");
        }
        WarmUpChange::Ended if core.may_log() => {
            log::info!("event=warm-up-ended by={cause}");
        }
        WarmUpChange::Unchanged | WarmUpChange::Paced | WarmUpChange::Ended => {}
    }
}
