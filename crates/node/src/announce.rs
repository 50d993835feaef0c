use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use member::{AnnounceTimer, MemberAnnouncement, MemberSettings, MemberState};
use model::VmName;

use crate::announce_keeper::{append_all, keep_announcement};
use crate::fleet_watch::put_members;
use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};
use crate::peer_talk::ask_peer;

/// The time between two looks at whether an announcement is due, in milliseconds.
const LOOK_MS: u64 = 50;
/// The time after which an announcement of a change that failed is repeated, in milliseconds.
const CHANGE_AGAIN_MS: u64 = 500;
/// The same for one that only repeated the last, in milliseconds: several of these fit into the
/// time for which an announcement holds.
const REPEAT_AGAIN_MS: u64 = 2_000;
/// The time that another node has to append an announcement, in milliseconds: its wait for others
/// and an append.
const KEEP_MS: u64 = 3_000;
/// The shortest time between two new numbers of one start, in milliseconds.
const RISE_MS: u64 = 1_000;
/// The time that the backend server has to accept a connection, in milliseconds.
const CONNECT_MS: u64 = 1_000;
/// The time after which linked nodes are told what the log doesn't take, in milliseconds.
const SOON_MS: u64 = 1_000;
/// How often linked nodes are told of one state that the log hasn't taken.
const TELLS_PER_STATE: u32 = 2;
/// The time that a peer has to take an announcement, in milliseconds.
const TELL_MS: u64 = 1_000;

/// Announces the node for as long as it runs.
///
/// What changes holds at this node at once; the log learns of it as soon as it takes the append.
pub(crate) async fn announce_node(core: Rc<NodeCore>, own: MemberAnnouncement) {
    let mut timer = AnnounceTimer::new(MemberSettings::default(), own);
    let append = Rc::new(OwnAppend::default());
    let mut risen_at = None;
    loop {
        let state = present_state(&core).await;
        let is_resized = core
            .backend_watch
            .borrow()
            .slots()
            .is_some_and(|slots| timer.set_slots(slots));
        if put_state(&core, &mut timer, state) || is_resized {
            append.on_change(&core, timer.announcement());
        }
        rise_above_other(&core, &mut timer, &mut risen_at);
        if append.is_free(&mut timer, core.now()) {
            announce_due(&core, &mut timer, &append);
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// Takes in the state of the node, and returns whether it has changed.
fn put_state(core: &Rc<NodeCore>, timer: &mut AnnounceTimer, state: MemberState) -> bool {
    if !timer.set_state(state) {
        return false;
    }
    log::info!(
        "event=state-changed vm={} state={state:?}",
        core.settings.vm
    );
    tell(core, timer.announcement());
    true
}

/// Makes the own announcement newer than one that an earlier start of this VM left behind.
fn rise_above_other(
    core: &Rc<NodeCore>,
    timer: &mut AnnounceTimer,
    risen_at: &mut Option<ClockTime>,
) {
    let now = core.now();
    let is_early = risen_at.is_some_and(|at| now.since_ms(at) < RISE_MS);
    if is_early || core.is_leaving() {
        return;
    }
    let known = core
        .fleet
        .with(|feed| feed.fold().view().get(&core.settings.vm).cloned());
    if known.is_none() && timer.announcement().sequence > 0 {
        *risen_at = Some(now);
        timer.make_due();
        return;
    }
    let Some(other) = known.filter(|known| known.incarnation > timer.announcement().incarnation)
    else {
        return;
    };
    *risen_at = Some(now);
    timer.supersede(&other);
    log::info!(
        "event=start-renumbered vm={} start={}",
        core.settings.vm,
        timer.announcement().incarnation
    );
    tell(core, timer.announcement());
}

fn announce_due(core: &Rc<NodeCore>, timer: &mut AnnounceTimer, append: &Rc<OwnAppend>) {
    let members = core.fleet.with(|feed| feed.fold().view().len());
    let is_change = timer.is_due_at_once() || append.has_change.get();
    let due = core.with_random(|random| timer.take_due(core.now(), members, random));
    let Some(announcement) = due else { return };
    tell(core, &announcement);
    append.has_change.set(is_change);
    append.start(core, announcement);
}

/// Takes an announcement into the own view and the routers, and tells linked nodes of a leave.
fn tell(core: &Rc<NodeCore>, announcement: &MemberAnnouncement) {
    core.fleet
        .with(|feed| feed.fold().apply_announcement(announcement));
    put_members(core);
    if announcement.state >= MemberState::Leaving {
        tell_peers(core, announcement, core.links.open_names());
    }
}

/// The append of an announcement, one at a time.
#[derive(Default)]
struct OwnAppend {
    is_running: Cell<bool>,
    has_failed: Cell<bool>,
    /// Whether the last one told of a change that the log hasn't taken.
    has_change: Cell<bool>,
    /// How often linked nodes may still be told of the present state.
    tells: Cell<u32>,
}

impl OwnAppend {
    /// Returns whether none runs, and has one that failed repeated.
    fn is_free(&self, timer: &mut AnnounceTimer, now: ClockTime) -> bool {
        if self.has_failed.take() {
            let is_change = self.has_change.get();
            let again_ms = if is_change {
                CHANGE_AGAIN_MS
            } else {
                REPEAT_AGAIN_MS
            };
            timer.on_failure(now, again_ms);
        }
        !self.is_running.get()
    }

    /// Tells linked nodes of a new state at once while an earlier append keeps it waiting.
    fn on_change(&self, core: &Rc<NodeCore>, announcement: &MemberAnnouncement) {
        self.tells.set(TELLS_PER_STATE);
        if self.is_running.get() {
            self.tell_some(core, announcement);
        }
    }

    fn start(self: &Rc<Self>, core: &Rc<NodeCore>, announcement: MemberAnnouncement) {
        self.is_running.set(true);
        let own = Rc::clone(self);
        let core = Rc::clone(core);
        let appending = async move {
            let is_done = own.append_or_tell(&core, &announcement).await;
            own.has_failed.set(!is_done);
            if is_done {
                own.has_change.set(false);
                own.tells.set(0);
            }
            own.is_running.set(false);
        };
        compio::runtime::spawn(appending).detach();
    }

    /// Appends an announcement, and tells it to linked nodes when the log doesn't take it soon.
    ///
    /// A node that starts in an outage can only be answered by nodes that know its address.
    async fn append_or_tell(&self, core: &Rc<NodeCore>, announcement: &MemberAnnouncement) -> bool {
        let is_change = self.has_change.get();
        let appending = pin!(append(core, announcement, is_change));
        let waiting = pin!(sleep(Duration::from_millis(SOON_MS)));
        let is_done = match select(appending, waiting).await {
            Either::Left((is_done, _)) => is_done,
            Either::Right(((), appending)) => {
                self.tell_some(core, announcement);
                appending.await
            }
        };
        if !is_done {
            self.tell_some(core, announcement);
        }
        is_done
    }

    fn tell_some(&self, core: &Rc<NodeCore>, announcement: &MemberAnnouncement) {
        let tells = self.tells.get();
        if tells > 0 {
            self.tells.set(tells - 1);
            tell_peers(core, announcement, core.links.names());
        }
    }
}

/// Returns whether the node takes work now.
async fn present_state(core: &NodeCore) -> MemberState {
    if core.is_leaving() {
        return MemberState::Leaving;
    }
    if !core.has_contract() {
        return MemberState::Starting;
    }
    if !core.is_backend_open() {
        core.is_up.set(false);
        return MemberState::Starting;
    }
    let limit = Duration::from_millis(CONNECT_MS);
    let is_up = timeout(limit, core.backend.ensure_monitor())
        .await
        .unwrap_or(false);
    core.is_up.set(is_up);
    if is_up {
        MemberState::Ready
    } else {
        MemberState::Starting
    }
}

/// Has an announcement appended by the node that does so for all, or else appends it.
///
/// A leave is appended at once: the node may end before another one would.
async fn append(core: &Rc<NodeCore>, announcement: &MemberAnnouncement, is_change: bool) -> bool {
    let keeper = core.keeper.borrow().clone();
    let keeper = keeper.filter(|_| announcement.state < MemberState::Leaving);
    if let Some(keeper) = keeper
        && is_kept(core, &keeper, announcement, is_change).await
    {
        return true;
    }
    append_all(core, std::slice::from_ref(announcement)).await
}

async fn is_kept(
    core: &Rc<NodeCore>,
    keeper: &VmName,
    announcement: &MemberAnnouncement,
    is_change: bool,
) -> bool {
    let announcement = announcement.clone();
    if *keeper == core.settings.vm {
        return keep_announcement(core, announcement, is_change).await;
    }
    let message = NodeMessage::Keep(announcement, is_change);
    let asking = ask_peer(core, keeper, &message);
    let reply = timeout(Duration::from_millis(KEEP_MS), asking).await;
    let is_kept = matches!(reply, Ok(Some(NodeReply::Kept(true))));
    if !is_kept {
        log::info!("event=announcement-not-kept by={keeper}");
    }
    is_kept
}

/// Tells some nodes directly, without waiting for them.
fn tell_peers(core: &Rc<NodeCore>, announcement: &MemberAnnouncement, names: Vec<VmName>) {
    for vm in names {
        let core = Rc::clone(core);
        let message = NodeMessage::Member(announcement.clone());
        compio::runtime::spawn(async move { tell_peer(&core, &vm, &message).await }).detach();
    }
}

async fn tell_peer(core: &NodeCore, vm: &VmName, message: &NodeMessage) {
    let telling = ask_peer(core, vm, message);
    let _ = timeout(Duration::from_millis(TELL_MS), telling).await;
}
