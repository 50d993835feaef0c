use std::rc::Rc;

use clock::ClockTime;
use http::{HeaderMap, HeaderName};
use limit::{BackendLoad, PaceChange, RateStatement, WarmUpSource, WarmUpStatement};
use member::BackendName;

use crate::departure_log::record_departure;
use crate::edge_settings::EdgeSettings;
use crate::node_core::NodeCore;
use crate::warm_up_watch::log_change;

/// The value by which a backend server says that it is leaving.
const LEAVING: &str = "1";
/// The longest cold time that is believed, in milliseconds.
const MAX_COLD_MS: f64 = 60_000.0;

/// What a backend server says about itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BackendStatement {
    /// The request rate that it accepts from the whole fleet.
    pub(crate) rate: RateStatement,
    /// Whether it is leaving and accepts no new requests.
    pub(crate) is_leaving: bool,
    /// How many milliseconds longer it is cold, if it says so.
    pub(crate) cold_ms: Option<u64>,
    /// The load that it states, if that can be read.
    pub(crate) load: Option<BackendLoad>,
}

impl BackendStatement {
    /// Reads the statement from the headers of an answer.
    pub(crate) fn read(edge: &EdgeSettings, headers: &HeaderMap) -> Self {
        Self {
            rate: RateStatement::parse(values(headers, edge.rate_header.as_ref())),
            is_leaving: values(headers, edge.leaving_header.as_ref())
                .any(|value| value.trim() == LEAVING),
            cold_ms: read_cold_ms(edge, headers),
            load: values(headers, edge.load_header.as_ref()).find_map(BackendLoad::parse),
        }
    }
}

/// Reads how many milliseconds longer the backend server is cold, if the headers of an answer say
/// so. Of several values the longest time counts.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is clamped first"
)]
pub(crate) fn read_cold_ms(edge: &EdgeSettings, headers: &HeaderMap) -> Option<u64> {
    let stated = values(headers, edge.warm_up_header.as_ref());
    let stated = stated.filter_map(|value| value.trim().parse::<f64>().ok());
    let stated = stated.filter(|stated_ms| *stated_ms >= 0.0);
    let longest_ms = stated.reduce(f64::max)?;
    Some(longest_ms.ceil().min(MAX_COLD_MS) as u64)
}

/// Returns the values of a header; those that aren't text are empty.
fn values<'h>(headers: &'h HeaderMap, name: Option<&HeaderName>) -> impl Iterator<Item = &'h str> {
    let found = name.map(|name| headers.get_all(name));
    found
        .into_iter()
        .flatten()
        .map(|value| value.to_str().unwrap_or(""))
}

/// Applies what an answer of `backend` to a request sent at `sent_at` says to the state of the
/// backend server and to its queue, unless another backend server has replaced it.
pub(crate) fn apply_statement(
    core: &Rc<NodeCore>,
    backend: Option<&BackendName>,
    sent_at: ClockTime,
    statement: BackendStatement,
) {
    if core.backend_name().as_ref() != backend {
        return;
    }
    let now = core.now();
    let name = backend.map_or("", BackendName::as_str);
    match core.gate.record_statement(now, statement.rate) {
        PaceChange::Unchanged => {}
        PaceChange::Limited(rate_per_s) => {
            if core.may_log() {
                log::warn!("event=backend-rate backend={name} rate_per_s={rate_per_s}");
            }
        }
        PaceChange::Ended => {
            log::info!("event=backend-rate-ended backend={name}");
        }
        PaceChange::Unreadable => {
            if core.may_log() {
                log::warn!("event=backend-rate-unreadable backend={name}");
            }
        }
    }
    if let Some(cold_ms) = statement.cold_ms {
        let source = WarmUpSource::Answer { sent_at };
        let warm_up = WarmUpStatement { cold_ms, source };
        log_change(core, core.gate.record_warm_up(now, warm_up), "answer");
    }
    if let Some(load) = statement.load
        && core.gate.record_load(now, load)
    {
        log::info!(
            "event=backend-slowness-stated backend={name} slowness={} slots={}",
            load.slowness,
            load.slots
        );
    }
    let Some(backend) = backend.filter(|_| statement.is_leaving) else {
        return;
    };
    if core.backend_watch.borrow_mut().mark_leaving(now, backend) {
        log::info!("event=backend-leaving backend={backend} by=answer");
        core.activity.notify();
        record_departure(core, backend);
    }
}
