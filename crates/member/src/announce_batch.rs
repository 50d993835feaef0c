use std::collections::BTreeMap;

use clock::ClockTime;
use model::VmName;

use crate::MemberAnnouncement;

/// The settings of an [`AnnounceBatch`].
#[derive(Clone, Copy, Debug)]
pub struct BatchSettings {
    /// The longest time that a repeated announcement waits for others, in milliseconds.
    pub repeat_wait_ms: u64,
    /// The longest time that an announcement of a change waits for others, in milliseconds.
    pub change_wait_ms: u64,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            repeat_wait_ms: 2_000,
            change_wait_ms: 50,
        }
    }
}

/// Collects the announcements of many nodes into one append.
///
/// Appends to the log are expensive. Without batches, each node would append its own announcements
/// all the time, and all nodes at once after a start of the whole fleet.
#[derive(Clone, Debug)]
pub struct AnnounceBatch {
    settings: BatchSettings,
    pending: BTreeMap<VmName, MemberAnnouncement>,
    due_at: Option<ClockTime>,
}

impl AnnounceBatch {
    /// Creates an empty batch.
    #[must_use]
    pub const fn new(settings: BatchSettings) -> Self {
        Self {
            settings,
            pending: BTreeMap::new(),
            due_at: None,
        }
    }

    /// Adds an announcement; only the newest of each VM is kept.
    pub fn push(&mut self, now: ClockTime, announcement: MemberAnnouncement, is_change: bool) {
        let wait_ms = if is_change {
            self.settings.change_wait_ms
        } else {
            self.settings.repeat_wait_ms
        };
        let due_at = now.plus_ms(wait_ms);
        self.due_at = Some(self.due_at.map_or(due_at, |time| time.min(due_at)));
        let known = self.pending.get(&announcement.vm);
        if known.is_none_or(|known| announcement.is_after(known)) {
            self.pending.insert(announcement.vm.clone(), announcement);
        }
    }

    /// Returns the time at which the batch is to be appended, or `None` while it is empty.
    #[must_use]
    pub const fn due_at(&self) -> Option<ClockTime> {
        self.due_at
    }

    /// Removes and returns the announcements to append, or none before the batch is due.
    pub fn take_due(&mut self, now: ClockTime) -> Vec<MemberAnnouncement> {
        if self.due_at.is_none_or(|time| now < time) {
            return Vec::new();
        }
        self.due_at = None;
        std::mem::take(&mut self.pending).into_values().collect()
    }
}
