use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use futures_channel::oneshot;
use member::{AnnounceBatch, BatchSettings, MemberAnnouncement};
use streams::{LogStream, NewRecord, PlatformLog, RecordBody};

use crate::node_core::NodeCore;

/// The time between two checks of whether a batch is due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 25;

/// Appends announcements of many nodes to the log in batches.
pub(crate) struct AnnouncementAppender {
    batch: RefCell<AnnounceBatch>,
    /// The tasks that wait for the result of the next append.
    waiting: RefCell<Vec<oneshot::Sender<bool>>>,
    is_running: Cell<bool>,
}

impl Default for AnnouncementAppender {
    fn default() -> Self {
        Self {
            batch: RefCell::new(AnnounceBatch::new(BatchSettings::default())),
            waiting: RefCell::default(),
            is_running: Cell::new(false),
        }
    }
}

/// Adds an announcement to the next batch, and returns whether the batch was appended.
pub(crate) async fn append_in_batch(
    core: &Rc<NodeCore>,
    announcement: MemberAnnouncement,
    is_change: bool,
) -> bool {
    let appender = &core.announcement_appender;
    let (sender, receiver) = oneshot::channel();
    let now = core.now();
    appender
        .batch
        .borrow_mut()
        .push(now, announcement, is_change);
    appender.waiting.borrow_mut().push(sender);
    if !appender.is_running.replace(true) {
        compio::runtime::spawn(append_batches(Rc::clone(core))).detach();
    }
    receiver.await.unwrap_or(false)
}

/// Appends batches as they become due, until none is left.
async fn append_batches(core: Rc<NodeCore>) {
    let appender = &core.announcement_appender;
    while appender.batch.borrow().due_at().is_some() {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let due = appender.batch.borrow_mut().take_due(core.now());
        if due.is_empty() {
            continue;
        }
        let waiting = appender.waiting.take();
        let is_done = append_all(&core, &due).await;
        for sender in waiting {
            let _ = sender.send(is_done);
        }
    }
    appender.is_running.set(false);
}

/// Appends announcements in one request, and returns whether it succeeded.
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
