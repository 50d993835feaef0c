use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use futures_channel::oneshot;
use member::{AnnounceBatch, BatchSettings, MemberAnnouncement};
use streams::{LogStream, NewRecord, PlatformLog, RecordBody};

use crate::node_core::NodeCore;

/// The time between two looks at whether a batch is due, in milliseconds.
const LOOK_MS: u64 = 25;

/// Appends what other nodes announce, many in one append.
pub(crate) struct AnnounceKeeper {
    batch: RefCell<AnnounceBatch>,
    /// Who waits for the next append.
    waiting: RefCell<Vec<oneshot::Sender<bool>>>,
    is_running: Cell<bool>,
}

impl Default for AnnounceKeeper {
    fn default() -> Self {
        Self {
            batch: RefCell::new(AnnounceBatch::new(BatchSettings::default())),
            waiting: RefCell::default(),
            is_running: Cell::new(false),
        }
    }
}

/// Gathers an announcement, and returns whether it was appended.
pub(crate) async fn keep_announcement(
    core: &Rc<NodeCore>,
    announcement: MemberAnnouncement,
    is_change: bool,
) -> bool {
    let keeper = &core.announce_keeper;
    let (sender, receiver) = oneshot::channel();
    let now = core.now();
    keeper.batch.borrow_mut().push(now, announcement, is_change);
    keeper.waiting.borrow_mut().push(sender);
    if !keeper.is_running.replace(true) {
        compio::runtime::spawn(append_batches(Rc::clone(core))).detach();
    }
    receiver.await.unwrap_or(false)
}

/// Appends batches for as long as there is something to append.
async fn append_batches(core: Rc<NodeCore>) {
    let keeper = &core.announce_keeper;
    while keeper.batch.borrow().due_at().is_some() {
        sleep(Duration::from_millis(LOOK_MS)).await;
        let due = keeper.batch.borrow_mut().take_due(core.now());
        if due.is_empty() {
            continue;
        }
        let waiting = keeper.waiting.take();
        let is_done = append_all(&core, &due).await;
        for sender in waiting {
            let _ = sender.send(is_done);
        }
    }
    keeper.is_running.set(false);
}

/// Appends announcements in one call, and returns whether the log took them.
pub(crate) async fn append_all(core: &NodeCore, announcements: &[MemberAnnouncement]) -> bool {
    let records = announcements.iter().map(|announcement| NewRecord {
        id: core.new_record_id(),
        body: RecordBody::encode(announcement),
    });
    match core.log.append(LogStream::Members, records.collect()).await {
        Ok(_) => true,
        Err(error) => {
            let count = announcements.len();
            let error = error.to_string();
            log::warn!("event=announcement-failed count={count} error={error:?}");
            false
        }
    }
}
