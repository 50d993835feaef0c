use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use compio::time::{sleep, timeout};
use member::{BackendDeparture, BackendName, BackendNotice, MAX_REPORT_DELAY_MS};
use streams::{LogStream, NewRecord, PlatformLog, RecordBody, StreamFeed};

use crate::change_notifier::ChangeNotifier;
use crate::node_core::NodeCore;
use crate::report_port::apply_notice;

/// The time between two checks whether the members stream has been read up to the start of the
/// process, in milliseconds.
const RECALL_CHECK_MS: u64 = 10;
/// The most reports that are held: more than a backend server sends in the longest time for which
/// they are.
const MAX_HELD_REPORTS: usize = 16;
/// The time after which a failed append of a departure is retried, in milliseconds.
const RETRY_MS: u64 = 500;

/// The departures of backend servers on the log: those that the earlier processes of the node have
/// confirmed, and those of this process.
#[derive(Default)]
pub(crate) struct DepartureLog {
    /// Whether the departures of the earlier processes are known, or no longer matter.
    is_recalled: Cell<bool>,
    /// The reports that have arrived before, which may be delayed ones of a backend server that has
    /// left.
    held: RefCell<VecDeque<BackendNotice>>,
    /// The last departure of this process, and whether its record is on the log.
    last: RefCell<Option<(BackendDeparture, bool)>>,
    recorded: ChangeNotifier,
}

impl DepartureLog {
    /// Holds a report until the departures of the earlier processes are known, and returns whether
    /// they aren't yet.
    pub(crate) fn holds(&self, notice: &BackendNotice) -> bool {
        if self.is_recalled.get() || notice.is_leaving() {
            return false;
        }
        let mut held = self.held.borrow_mut();
        if held.len() == MAX_HELD_REPORTS {
            held.pop_front();
        }
        held.push_back(notice.clone());
        true
    }

    /// Waits until the record of a departure is on the log; returns `false` if that takes longer
    /// than `limit`.
    pub(crate) async fn is_recorded_within(
        &self,
        departure: &BackendDeparture,
        limit: Duration,
    ) -> bool {
        self.has(departure)
            || (timeout(limit, self.recorded.wait()).await.is_ok() && self.has(departure))
    }

    fn has(&self, departure: &BackendDeparture) -> bool {
        let last = self.last.borrow();
        last.as_ref()
            .is_some_and(|(last, is_recorded)| last == departure && *is_recorded)
    }

    /// Makes a departure the last one, and returns whether it was another one before.
    fn start(&self, departure: &BackendDeparture) -> bool {
        let mut last = self.last.borrow_mut();
        let is_new = last.as_ref().is_none_or(|(last, _)| last != departure);
        if is_new {
            *last = Some((departure.clone(), false));
        }
        is_new
    }

    fn finish(&self, departure: &BackendDeparture) {
        if let Some((last, is_recorded)) = &mut *self.last.borrow_mut()
            && last == departure
        {
            *is_recorded = true;
        }
        self.recorded.notify();
    }
}

/// Learns from the members stream which backend servers left while earlier processes of the node
/// were running.
///
/// Until the stream has been read up to the start of this process, a report may be a delayed one of
/// such a backend server, and is held. A report sent before the start has arrived by the time that the
/// longest delay has passed, so nothing is waited for after that; those that arrived until then are
/// dropped, and the next ones are believed.
pub(crate) async fn recall_departures(core: Rc<NodeCore>) {
    let is_read = |core: &NodeCore| {
        let now = core.now();
        let fresh_at = core.fleet.with(|feed| feed.fresh_at());
        fresh_at.is_some_and(|fresh_at| fresh_at.age_ms(now) <= now.as_ms())
    };
    while !is_read(&core) {
        if core.now().as_ms() >= MAX_REPORT_DELAY_MS {
            log::warn!("event=departures-unknown waited_ms={MAX_REPORT_DELAY_MS}");
            core.departures.held.take();
            break;
        }
        sleep(Duration::from_millis(RECALL_CHECK_MS)).await;
    }
    let now = core.now();
    let departures: Vec<BackendDeparture> = core.fleet.with(|feed| {
        let view = feed.fold().view();
        view.departures_on(&core.settings.vm).cloned().collect()
    });
    for departure in departures {
        log::info!(
            "event=departure-recalled backend={} by={}",
            departure.departed.backend,
            departure.vm
        );
        core.backend_watch
            .borrow_mut()
            .recall(now, departure.departed);
    }
    core.departures.is_recalled.set(true);
    for notice in core.departures.held.take() {
        apply_notice(&core, &notice);
    }
}

/// Returns the record of the departure of a backend server that has left during this process, and
/// appends it to the log unless that is already being done.
pub(crate) fn record_departure(
    core: &Rc<NodeCore>,
    backend: &BackendName,
) -> Option<BackendDeparture> {
    let departed = core.backend_watch.borrow().departure_of(backend)?;
    let departure = BackendDeparture {
        vm: core.settings.vm.clone(),
        departed,
    };
    if core.departures.start(&departure) {
        let core = Rc::clone(core);
        let appended = departure.clone();
        compio::runtime::spawn(async move { append_departure(&core, &appended).await }).detach();
    }
    Some(departure)
}

/// Writes departures again after the log has come back without its last records: those beside this
/// VM, and those of all VMs on the node that appends for the fleet.
pub(crate) fn write_departures_again(core: &Rc<NodeCore>) {
    let is_appender = core
        .appender_vm
        .borrow()
        .as_ref()
        .is_none_or(|vm| *vm == core.settings.vm);
    let mut departures: Vec<BackendDeparture> = core.fleet.with(|feed| {
        let view = feed.fold().view();
        if is_appender {
            view.departures().cloned().collect()
        } else {
            view.departures_on(&core.settings.vm).cloned().collect()
        }
    });
    let last = core.departures.last.borrow();
    let last = last.as_ref().map(|(last, _)| last.clone());
    let is_listed = |last: &BackendDeparture| departures.contains(last);
    if let Some(last) = last.filter(|last| !is_listed(last)) {
        departures.push(last);
    }
    if departures.is_empty() {
        return;
    }
    log::info!("event=departures-rewritten count={}", departures.len());
    let core = Rc::clone(core);
    compio::runtime::spawn(async move {
        for departure in &departures {
            write_departure(&core, departure).await;
        }
    })
    .detach();
}

async fn append_departure(core: &NodeCore, departure: &BackendDeparture) {
    write_departure(core, departure).await;
    core.departures.finish(departure);
}

/// Appends the record of a departure, until that succeeds.
async fn write_departure(core: &NodeCore, departure: &BackendDeparture) {
    loop {
        let record = NewRecord {
            id: core.new_record_id(),
            body: RecordBody::encode(departure),
        };
        match core.log.append(LogStream::Members, vec![record]).await {
            Ok(_) => break,
            Err(error) => log::warn!(
                "event=departure-not-recorded backend={} error={:?}",
                departure.departed.backend,
                error.to_string()
            ),
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}
