use clock::ClockTime;
use member::{MemberAnnouncement, MemberSettings, MemberSnapshot, MemberView};
use platform::{LogOffset, LogRecord, RecordBody, RelaySnapshot};

use crate::fold_feed::StreamFold;

/// The members of the fleet, as folded from their stream.
pub(crate) struct FleetState {
    view: MemberView,
    next: LogOffset,
    is_changed: bool,
}

impl FleetState {
    pub(crate) const fn new(settings: MemberSettings) -> Self {
        Self {
            view: MemberView::new(settings),
            next: LogOffset::ZERO,
            is_changed: true,
        }
    }

    pub(crate) const fn view(&self) -> &MemberView {
        &self.view
    }

    /// Notes that what depends on the members must be worked out anew.
    pub(crate) const fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Returns whether members have changed since the last time this was asked.
    pub(crate) const fn take_changed(&mut self) -> bool {
        std::mem::replace(&mut self.is_changed, false)
    }

    /// Takes in what a member tells, from the log or directly.
    pub(crate) fn learn(&mut self, announcement: &MemberAnnouncement) {
        let is_repeated = self
            .view
            .get(&announcement.vm)
            .is_some_and(|known| is_same(known, announcement));
        let is_news = self.view.apply(announcement);
        self.is_changed |= is_news && !is_repeated;
    }

    /// Takes in up to when the stream was followed, and drops what has lapsed since.
    pub(crate) fn expire(&mut self, fresh_at: ClockTime) {
        let count = self.view.len();
        self.view.on_fresh(fresh_at);
        self.is_changed |= self.view.len() != count;
    }
}

/// Returns whether two announcements of a VM say the same about where and how it works.
fn is_same(one: &MemberAnnouncement, other: &MemberAnnouncement) -> bool {
    one.state == other.state
        && one.peer_addr == other.peer_addr
        && one.service == other.service
        && one.centre == other.centre
        && one.slots == other.slots
}

impl StreamFold for FleetState {
    fn lose_before(&mut self, _now: ClockTime, first: LogOffset) {
        self.next = self.next.max(first);
    }

    fn adopt(&mut self, _now: ClockTime, snapshot: &RelaySnapshot) {
        match snapshot.body.decode::<MemberSnapshot>() {
            Ok(state) => {
                self.view.adopt(&state);
                self.next = self.next.max(state.covers);
                self.is_changed = true;
            }
            Err(error) => log::warn!(
                "event=snapshot-unreadable stream=members error={:?}",
                error.to_string()
            ),
        }
    }

    fn apply(&mut self, _now: ClockTime, record: &LogRecord) {
        self.next = record.offset.next();
        match record.body.decode::<MemberAnnouncement>() {
            Ok(announcement) => self.learn(&announcement),
            Err(error) => log::warn!(
                "event=record-unreadable stream=members offset={} error={:?}",
                record.offset,
                error.to_string()
            ),
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
