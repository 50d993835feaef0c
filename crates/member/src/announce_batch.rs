use std::collections::BTreeMap;

use clock::ClockTime;
use model::VmName;

use crate::MemberAnnouncement;

/// How announcements are gathered.
#[derive(Clone, Copy, Debug)]
pub struct BatchSettings {
    /// The longest time that a repeated announcement waits for others, in milliseconds.
    pub repeat_wait_ms: u64,
    /// The same for one that tells of a change, in milliseconds.
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

/// Gathers the announcements of many nodes for one append.
///
/// Load pattern: a fleet that calls a dear log for each of its nodes, all the time and many times
/// over when all start at once.
#[derive(Clone, Debug)]
pub struct AnnounceBatch {
    settings: BatchSettings,
    gathered: BTreeMap<VmName, MemberAnnouncement>,
    due_at: Option<ClockTime>,
}

impl AnnounceBatch {
    /// Creates an empty batch.
    #[must_use]
    pub const fn new(settings: BatchSettings) -> Self {
        Self {
            settings,
            gathered: BTreeMap::new(),
            due_at: None,
        }
    }

    /// Takes in an announcement, of which the newest of a VM stays.
    pub fn push(&mut self, now: ClockTime, announcement: MemberAnnouncement, is_change: bool) {
        let wait_ms = if is_change {
            self.settings.change_wait_ms
        } else {
            self.settings.repeat_wait_ms
        };
        let due_at = now.plus_ms(wait_ms);
        self.due_at = Some(self.due_at.map_or(due_at, |time| time.min(due_at)));
        let known = self.gathered.get(&announcement.vm);
        if known.is_none_or(|known| announcement.is_after(known)) {
            self.gathered.insert(announcement.vm.clone(), announcement);
        }
    }

    /// Returns when the batch is to be appended, or `None` while it is empty.
    #[must_use]
    pub const fn due_at(&self) -> Option<ClockTime> {
        self.due_at
    }

    /// Takes what is to be appended now, which is nothing before the batch is due.
    pub fn take_due(&mut self, now: ClockTime) -> Vec<MemberAnnouncement> {
        if self.due_at.is_none_or(|time| now < time) {
            return Vec::new();
        }
        self.due_at = None;
        std::mem::take(&mut self.gathered).into_values().collect()
    }
}
