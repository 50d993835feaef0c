use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use member::{AnnounceTimer, MemberAnnouncement, MemberSettings, MemberState};
use model::VmName;

use crate::announcement_appender::{append_all, append_in_batch};
use crate::fleet_watch::apply_members;
use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};
use crate::peer_exchange::exchange_message;

/// The time between two checks of whether an announcement is due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;
/// The time after which a failed append of an announcement with a change is retried, in
/// milliseconds.
const CHANGE_RETRY_MS: u64 = 500;
/// The same for an announcement that only repeats the last one, in milliseconds. An announcement
/// stays valid for several of these intervals.
const REPEAT_RETRY_MS: u64 = 2_000;
/// The time that another node has to append an announcement, in milliseconds. It covers the delay
/// of its batch and the append itself.
const APPEND_TIMEOUT_MS: u64 = 3_000;
/// The minimum time between two corrections of this VM's entry in the view of the members, in
/// milliseconds.
const SUPERSEDE_INTERVAL_MS: u64 = 1_000;
/// The time that the backend server has to accept a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The time after which other nodes are notified directly while an append is still running, in
/// milliseconds.
const SLOW_APPEND_MS: u64 = 1_000;
/// How often other nodes are notified directly of one state that isn't on the log yet.
const NOTIFICATIONS_PER_STATE: u32 = 2;
/// The time that a peer has to reply to an announcement, in milliseconds.
const NOTIFY_TIMEOUT_MS: u64 = 1_000;

/// Announces the node for as long as it runs.
///
/// A change applies to this node at once and is appended to the log as soon as possible.
pub(crate) async fn announce_node(core: Rc<NodeCore>, announcement: MemberAnnouncement) {
    let mut timer = AnnounceTimer::new(MemberSettings::default(), announcement);
    let append = Rc::new(AnnouncementAppend::default());
    let mut superseded_at = None;
    loop {
        let state = current_state(&core).await;
        let is_resized = core
            .backend_watch
            .borrow()
            .slots()
            .is_some_and(|slots| timer.set_slots(slots));
        if update_state(&core, &mut timer, state) || is_resized {
            append.on_change(&core, timer.announcement());
        }
        supersede_other_start(&core, &mut timer, &mut superseded_at);
        if core.is_announcement_lost.take() {
            timer.make_due();
        }
        if append.is_free(&mut timer, core.now()) {
            announce_due(&core, &mut timer, &append);
        }
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

/// Updates the state of the node in the announcement, and returns whether it has changed.
fn update_state(core: &Rc<NodeCore>, timer: &mut AnnounceTimer, state: MemberState) -> bool {
    if !timer.set_state(state) {
        return false;
    }
    log::info!(
        "event=state-changed vm={} state={state:?}",
        core.settings.vm
    );
    apply_and_notify(core, timer.announcement());
    true
}

/// Makes this node's announcement newer than one of another start of the same VM, and due at once
/// when it is missing from the view.
fn supersede_other_start(
    core: &Rc<NodeCore>,
    timer: &mut AnnounceTimer,
    superseded_at: &mut Option<ClockTime>,
) {
    let now = core.now();
    let is_early = superseded_at.is_some_and(|at| now.since_ms(at) < SUPERSEDE_INTERVAL_MS);
    if is_early || core.is_leaving() {
        return;
    }
    let known = core
        .fleet
        .with(|feed| feed.fold().view().get(&core.settings.vm).cloned());
    if known.is_none() && timer.announcement().sequence > 0 {
        *superseded_at = Some(now);
        timer.make_due();
        return;
    }
    let Some(other) = known.filter(|known| known.incarnation > timer.announcement().incarnation)
    else {
        return;
    };
    *superseded_at = Some(now);
    timer.supersede(&other);
    log::info!(
        "event=start-renumbered vm={} start={}",
        core.settings.vm,
        timer.announcement().incarnation
    );
    apply_and_notify(core, timer.announcement());
}

fn announce_due(core: &Rc<NodeCore>, timer: &mut AnnounceTimer, append: &Rc<AnnouncementAppend>) {
    let members = core.fleet.with(|feed| feed.fold().view().len());
    let is_change = timer.is_due_at_once() || append.has_change.get();
    let due = core.with_random(|random| timer.take_due(core.now(), members, random));
    let Some(announcement) = due else { return };
    apply_and_notify(core, &announcement);
    append.has_change.set(is_change);
    append.start(core, announcement);
}

/// Applies an announcement to this node's own view and routers, and sends it over the open links
/// when the node is leaving.
fn apply_and_notify(core: &Rc<NodeCore>, announcement: &MemberAnnouncement) {
    core.fleet
        .with(|feed| feed.fold().apply_announcement(announcement));
    apply_members(core);
    if announcement.state >= MemberState::Leaving {
        notify_peers(core, announcement, core.links.open_names());
    }
}

/// The state of appending this node's announcements, one at a time.
#[derive(Default)]
struct AnnouncementAppend {
    is_running: Cell<bool>,
    has_failed: Cell<bool>,
    /// Whether the last append contained a change that isn't on the log yet.
    has_change: Cell<bool>,
    /// How often other nodes may still be notified directly of the current state.
    remaining_notifications: Cell<u32>,
}

impl AnnouncementAppend {
    /// Returns whether no append is running, and schedules a retry if the last one failed.
    fn is_free(&self, timer: &mut AnnounceTimer, now: ClockTime) -> bool {
        if self.has_failed.take() {
            let is_change = self.has_change.get();
            let retry_ms = if is_change {
                CHANGE_RETRY_MS
            } else {
                REPEAT_RETRY_MS
            };
            timer.on_failure(now, retry_ms);
        }
        !self.is_running.get()
    }

    /// Notifies other nodes of a new state at once if it has to wait for a running append.
    fn on_change(&self, core: &Rc<NodeCore>, announcement: &MemberAnnouncement) {
        self.remaining_notifications.set(NOTIFICATIONS_PER_STATE);
        if self.is_running.get() {
            self.notify_known_peers(core, announcement);
        }
    }

    fn start(self: &Rc<Self>, core: &Rc<NodeCore>, announcement: MemberAnnouncement) {
        self.is_running.set(true);
        let this = Rc::clone(self);
        let core = Rc::clone(core);
        let appending = async move {
            let is_done = this.append_or_notify(&core, &announcement).await;
            this.has_failed.set(!is_done);
            if is_done {
                this.has_change.set(false);
                this.remaining_notifications.set(0);
            }
            this.is_running.set(false);
        };
        compio::runtime::spawn(appending).detach();
    }

    /// Appends an announcement, and sends it to other nodes directly when the append is slow or
    /// fails.
    ///
    /// During an outage of the log, a starting node only gets answers from nodes that know its
    /// address.
    async fn append_or_notify(
        &self,
        core: &Rc<NodeCore>,
        announcement: &MemberAnnouncement,
    ) -> bool {
        let is_change = self.has_change.get();
        let appending = pin!(append(core, announcement, is_change));
        let waiting = pin!(sleep(Duration::from_millis(SLOW_APPEND_MS)));
        let is_done = match select(appending, waiting).await {
            Either::Left((is_done, _)) => is_done,
            Either::Right(((), appending)) => {
                self.notify_known_peers(core, announcement);
                appending.await
            }
        };
        if !is_done {
            self.notify_known_peers(core, announcement);
        }
        is_done
    }

    fn notify_known_peers(&self, core: &Rc<NodeCore>, announcement: &MemberAnnouncement) {
        let remaining_notifications = self.remaining_notifications.get();
        if remaining_notifications > 0 {
            self.remaining_notifications
                .set(remaining_notifications - 1);
            notify_peers(core, announcement, core.links.names());
        }
    }
}

/// Returns the current state of the node, after a check that the backend server accepts
/// connections.
async fn current_state(core: &NodeCore) -> MemberState {
    if core.is_leaving() {
        return MemberState::Leaving;
    }
    if !core.has_contract() {
        return MemberState::Starting;
    }
    if !core.is_backend_accepting() {
        core.is_backend_up.set(false);
        return MemberState::Starting;
    }
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let is_up = timeout(limit, core.backend.ensure_monitor())
        .await
        .unwrap_or(false);
    core.is_backend_up.set(is_up);
    if is_up {
        MemberState::Ready
    } else {
        MemberState::Starting
    }
}

/// Has an announcement appended by the announcement appender, or appends it itself if that fails.
///
/// A leave is always appended directly, as this node may end before another one would append it.
async fn append(core: &Rc<NodeCore>, announcement: &MemberAnnouncement, is_change: bool) -> bool {
    let appender = core.appender_vm.borrow().clone();
    let appender = appender.filter(|_| announcement.state < MemberState::Leaving);
    if let Some(appender) = appender
        && is_appended_by(core, &appender, announcement, is_change).await
    {
        return true;
    }
    append_all(core, std::slice::from_ref(announcement)).await
}

async fn is_appended_by(
    core: &Rc<NodeCore>,
    appender: &VmName,
    announcement: &MemberAnnouncement,
    is_change: bool,
) -> bool {
    let announcement = announcement.clone();
    if *appender == core.settings.vm {
        return append_in_batch(core, announcement, is_change).await;
    }
    let message = NodeMessage::Append(announcement, is_change);
    let exchange = exchange_message(core, appender, &message);
    let reply = timeout(Duration::from_millis(APPEND_TIMEOUT_MS), exchange).await;
    let is_appended = matches!(reply, Ok(Some(NodeReply::Appended(true))));
    if !is_appended {
        log::info!("event=announcement-not-kept by={appender}");
    }
    is_appended
}

/// Sends an announcement to some nodes, without waiting for their replies.
fn notify_peers(core: &Rc<NodeCore>, announcement: &MemberAnnouncement, names: Vec<VmName>) {
    for vm in names {
        let core = Rc::clone(core);
        let message = NodeMessage::Member(announcement.clone());
        compio::runtime::spawn(async move { notify_peer(&core, &vm, &message).await }).detach();
    }
}

async fn notify_peer(core: &NodeCore, vm: &VmName, message: &NodeMessage) {
    let exchange = exchange_message(core, vm, message);
    let _ = timeout(Duration::from_millis(NOTIFY_TIMEOUT_MS), exchange).await;
}
