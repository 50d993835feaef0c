use clock::ClockTime;
use rand::Rng;

use crate::{MemberAnnouncement, MemberSettings, MemberState};

/// Schedules the announcements of a node.
///
/// An append whose outcome is unknown is repeated; receivers keep only the newest announcement.
#[derive(Clone, Debug)]
pub struct AnnounceTimer {
    settings: MemberSettings,
    own: MemberAnnouncement,
    due_at: Option<ClockTime>,
}

impl AnnounceTimer {
    /// Creates the timer of a node whose first announcement is due at once.
    #[must_use]
    pub const fn new(settings: MemberSettings, own: MemberAnnouncement) -> Self {
        Self {
            settings,
            own,
            due_at: None,
        }
    }

    /// Returns the current announcement of the node.
    #[must_use]
    pub const fn announcement(&self) -> &MemberAnnouncement {
        &self.own
    }

    /// Sets the state and returns whether it changed. A change is due at once; the node also sends
    /// a departure to its peers directly.
    pub fn set_state(&mut self, state: MemberState) -> bool {
        let is_change = self.own.state != state;
        if is_change {
            self.own.state = state;
            self.own.sequence += 1;
            self.due_at = None;
        }
        is_change
    }

    /// Sets the number of requests that the backend server runs at once, and returns whether it
    /// changed; a change is due at once.
    pub fn set_slots(&mut self, slots: u32) -> bool {
        let is_change = self.own.slots != slots;
        if is_change {
            self.own.slots = slots;
            self.own.sequence += 1;
            self.due_at = None;
        }
        is_change
    }

    /// Returns whether an announcement is due at once, as for a change.
    #[must_use]
    pub const fn is_due_at_once(&self) -> bool {
        self.due_at.is_none()
    }

    /// Makes the announcement due at once.
    pub const fn make_due(&mut self) {
        self.due_at = None;
    }

    /// Raises the incarnation above that of another start of the same VM; the announcement is due
    /// at once.
    pub fn supersede(&mut self, other: &MemberAnnouncement) {
        self.own.incarnation = other.incarnation.saturating_add(1);
        self.due_at = None;
    }

    /// Returns the announcement to append now, or `None` when none is due.
    pub fn take_due<R: Rng>(
        &mut self,
        now: ClockTime,
        members: usize,
        rng: &mut R,
    ) -> Option<MemberAnnouncement> {
        if self.due_at.is_some_and(|time| now < time) {
            return None;
        }
        let refresh = self.settings.refresh_ms(members);
        self.due_at = Some(now.plus_ms(rng.random_range(refresh * 4 / 5..=refresh)));
        self.own.sequence += 1;
        self.own.valid_ms = self.settings.valid_ms(members);
        Some(self.own.clone())
    }

    /// Schedules a failed append to be repeated after `wait_ms`.
    pub fn on_failure(&mut self, now: ClockTime, wait_ms: u64) {
        let again = now.plus_ms(wait_ms);
        self.due_at = self.due_at.map(|time| time.min(again));
    }
}
