use clock::ClockTime;
use rand::Rng;

use crate::{MemberAnnouncement, MemberSettings, MemberState};

/// Tells when a node announces itself.
///
/// An append whose outcome isn't known is repeated; the receiver keeps the newest only.
#[derive(Clone, Debug)]
pub struct AnnounceTimer {
    settings: MemberSettings,
    own: MemberAnnouncement,
    due_at: Option<ClockTime>,
}

impl AnnounceTimer {
    /// Creates the timer of a node that has to announce itself at once.
    #[must_use]
    pub const fn new(settings: MemberSettings, own: MemberAnnouncement) -> Self {
        Self {
            settings,
            own,
            due_at: None,
        }
    }

    /// Returns what the node last told, or is to tell.
    #[must_use]
    pub const fn own(&self) -> &MemberAnnouncement {
        &self.own
    }

    /// Sets the state; a change is due at once and also goes to all peers directly.
    pub fn set_state(&mut self, state: MemberState) -> bool {
        let is_change = self.own.state != state;
        if is_change {
            self.own.state = state;
            self.own.sequence += 1;
            self.due_at = None;
        }
        is_change
    }

    /// Sets the requests that the backend server runs at once; a change is due at once.
    pub fn set_slots(&mut self, slots: u32) -> bool {
        let is_change = self.own.slots != slots;
        if is_change {
            self.own.slots = slots;
            self.own.sequence += 1;
            self.due_at = None;
        }
        is_change
    }

    /// Returns whether the announcement is due at once, since there is something new to tell.
    #[must_use]
    pub const fn is_hasty(&self) -> bool {
        self.due_at.is_none()
    }

    /// Makes the announcement due at once.
    pub const fn hasten(&mut self) {
        self.due_at = None;
    }

    /// Makes this start newer than another one of the same VM, which is due at once.
    pub fn rise_above(&mut self, other: &MemberAnnouncement) {
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

    /// Takes in that an append failed, so that it is repeated after `wait_ms`.
    pub fn on_failure(&mut self, now: ClockTime, wait_ms: u64) {
        let again = now.plus_ms(wait_ms);
        self.due_at = self.due_at.map(|time| time.min(again));
    }
}
