use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use member::{AnnounceTimer, MemberAnnouncement, MemberSettings, MemberState};
use model::VmName;
use platform::{LogStream, NewRecord, PlatformLog, RecordBody};

use crate::node_core::NodeCore;
use crate::node_message::NodeMessage;
use crate::peer_talk::ask_peer;

/// The time between two looks at whether an announcement is due, in milliseconds.
const LOOK_MS: u64 = 50;
/// The time after which an announcement that failed is repeated, in milliseconds.
const AGAIN_MS: u64 = 500;
/// The time after which linked nodes are told what the log doesn't take, in milliseconds.
const SOON_MS: u64 = 1_000;
/// How often linked nodes are told of one state that the log hasn't taken.
const TELLS_PER_STATE: u32 = 2;
/// The time that a peer has to take an announcement, in milliseconds.
const TELL_MS: u64 = 1_000;

/// What became of the announcements that are on their way to the log.
#[derive(Default)]
struct AppendNews {
    has_failed: Cell<bool>,
    /// How often linked nodes may still be told of the present state.
    tells: Cell<u32>,
}

/// Announces the node for as long as it runs.
pub(crate) async fn announce_node(core: Rc<NodeCore>, own: MemberAnnouncement) {
    let mut timer = AnnounceTimer::new(MemberSettings::default(), own);
    let news = Rc::new(AppendNews::default());
    loop {
        let state = present_state(&core).await;
        if timer.set_state(state) {
            news.tells.set(TELLS_PER_STATE);
            log::info!(
                "event=state-changed vm={} state={state:?}",
                core.settings.vm
            );
        }
        let now = core.now();
        if news.has_failed.take() {
            timer.on_failure(now, AGAIN_MS);
        }
        let members = core.fleet.with(|feed| feed.fold().view().len());
        let due = core.with_random(|random| timer.take_due(now, members, random));
        if let Some(announcement) = due {
            core.fleet.with(|feed| feed.fold().learn(&announcement));
            if state >= MemberState::Leaving {
                tell_peers(&core, &announcement);
            }
            let appending = append_or_tell(Rc::clone(&core), announcement, Rc::clone(&news));
            compio::runtime::spawn(appending).detach();
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
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
    let is_up = core.backend.keep_spare().await;
    core.is_up.set(is_up);
    if is_up {
        MemberState::Ready
    } else {
        MemberState::Starting
    }
}

/// Appends an announcement, and tells it to linked nodes when the log doesn't take it soon.
///
/// A node that starts in an outage can only be answered by nodes that know its address.
async fn append_or_tell(
    core: Rc<NodeCore>,
    announcement: MemberAnnouncement,
    news: Rc<AppendNews>,
) {
    let appending = pin!(append(&core, &announcement));
    let waiting = pin!(sleep(Duration::from_millis(SOON_MS)));
    let is_done = match select(appending, waiting).await {
        Either::Left((is_done, _)) => is_done,
        Either::Right(((), appending)) => {
            tell_some(&core, &announcement, &news);
            appending.await
        }
    };
    if !is_done {
        tell_some(&core, &announcement, &news);
        news.has_failed.set(true);
    }
}

fn tell_some(core: &Rc<NodeCore>, announcement: &MemberAnnouncement, news: &AppendNews) {
    let tells = news.tells.get();
    if tells > 0 {
        news.tells.set(tells - 1);
        tell_peers(core, announcement);
    }
}

async fn append(core: &NodeCore, announcement: &MemberAnnouncement) -> bool {
    let record = NewRecord {
        id: core.new_record_id(),
        body: RecordBody::encode(announcement),
    };
    match core.log.append(LogStream::Members, vec![record]).await {
        Ok(_) => true,
        Err(error) => {
            log::warn!("event=announcement-failed error={:?}", error.to_string());
            false
        }
    }
}

/// Tells all linked nodes directly, without waiting for them.
fn tell_peers(core: &Rc<NodeCore>, announcement: &MemberAnnouncement) {
    for vm in core.links.names() {
        let core = Rc::clone(core);
        let message = NodeMessage::Member(announcement.clone());
        compio::runtime::spawn(async move { tell_peer(&core, &vm, &message).await }).detach();
    }
}

async fn tell_peer(core: &NodeCore, vm: &VmName, message: &NodeMessage) {
    let telling = ask_peer(core, vm, message);
    let _ = timeout(Duration::from_millis(TELL_MS), telling).await;
}
