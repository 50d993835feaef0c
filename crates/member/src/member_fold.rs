use clock::ClockTime;
use streams::{LogOffset, LogRecord, RecordBody, RelaySnapshot, StreamFold};

use crate::{BackendDeparture, MemberAnnouncement, MemberSettings, MemberSnapshot, MemberView};

/// The members of the fleet, as a fold over the members stream.
///
/// The stream needs no snapshots: each member repeats its announcement within the retention time of
/// the log. Nodes send each other the whole view instead of the records.
#[derive(Clone, Debug)]
pub struct MemberFold {
    view: MemberView,
    next: LogOffset,
    is_changed: bool,
    unreadable: u64,
}

impl MemberFold {
    /// Creates a fold without members.
    #[must_use]
    pub const fn new(settings: MemberSettings) -> Self {
        Self {
            view: MemberView::new(settings),
            next: LogOffset::ZERO,
            is_changed: true,
            unreadable: 0,
        }
    }

    /// Returns the members.
    #[must_use]
    pub const fn view(&self) -> &MemberView {
        &self.view
    }

    /// Returns the number of records and snapshots that couldn't be read.
    #[must_use]
    pub const fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// Marks the members as changed, so that everything derived from them is computed again.
    pub const fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Returns whether members have changed since the last call.
    pub const fn take_changed(&mut self) -> bool {
        std::mem::replace(&mut self.is_changed, false)
    }

    /// Applies an announcement that came from the log or directly from its node.
    pub fn apply_announcement(&mut self, announcement: &MemberAnnouncement) {
        let is_repeated = self
            .view
            .get(&announcement.vm)
            .is_some_and(|known| is_same(known, announcement));
        let is_update = self.view.apply(announcement);
        self.is_changed |= is_update && !is_repeated;
    }

    /// Applies a record that holds no announcement.
    fn apply_departure(&mut self, record: &LogRecord) {
        match record.body.decode::<BackendDeparture>() {
            Ok(departure) if departure.is_plausible() => self.view.apply_departure(&departure),
            Ok(_) | Err(_) => self.unreadable += 1,
        }
    }

    /// Advances the time up to which the stream was read, and removes announcements that have
    /// expired.
    pub fn expire(&mut self, read_until: ClockTime) {
        let count = self.view.len();
        self.view.advance_to(read_until);
        self.is_changed |= self.view.len() != count;
    }
}

/// Returns whether two announcements of a VM agree in state, addresses, service and slots.
fn is_same(one: &MemberAnnouncement, other: &MemberAnnouncement) -> bool {
    one.state == other.state
        && one.peer_addr == other.peer_addr
        && one.service == other.service
        && one.centre == other.centre
        && one.slots == other.slots
}

impl StreamFold for MemberFold {
    /// Keeps the members and departures: each member announces itself again, and departures are
    /// written again by those who know them.
    fn go_back(&mut self, _now: ClockTime) {
        self.next = LogOffset::ZERO;
    }

    fn lose_before(&mut self, _now: ClockTime, first: LogOffset) {
        self.next = self.next.max(first);
    }

    fn apply_snapshot(&mut self, _now: ClockTime, snapshot: &RelaySnapshot) {
        match snapshot.body.decode::<MemberSnapshot>() {
            Ok(state) => {
                self.view.apply_snapshot(&state);
                self.next = self.next.max(state.covers);
                self.is_changed = true;
            }
            Err(_) => self.unreadable += 1,
        }
    }

    fn apply(&mut self, _now: ClockTime, record: &LogRecord) {
        self.next = record.offset.next();
        match record.body.decode::<MemberAnnouncement>() {
            Ok(announcement) if announcement.is_plausible() => {
                self.apply_announcement(&announcement);
            }
            Ok(_) => self.unreadable += 1,
            Err(_) => self.apply_departure(record),
        }
    }

    fn snapshot(&self) -> Option<RelaySnapshot> {
        let state = self.view.snapshot(self.next);
        Some(RelaySnapshot {
            covers: state.covers,
            body: RecordBody::encode(&state),
        })
    }

    fn needs_snapshot(&self) -> bool {
        false
    }
}
