use clock::ClockTime;
use member::{MemberAnnouncement, MemberSettings, MemberSnapshot, MemberView};
use platform::{LogOffset, LogRecord, RecordBody, RelaySnapshot};

use crate::stream_state::StreamState;

/// The members of the fleet, as folded from their stream.
pub(crate) struct FleetState {
    pub(crate) view: MemberView,
    next: LogOffset,
}

impl FleetState {
    pub(crate) const fn new(settings: MemberSettings) -> Self {
        Self {
            view: MemberView::new(settings),
            next: LogOffset::ZERO,
        }
    }
}

impl StreamState for FleetState {
    fn lose_before(&mut self, _now: ClockTime, first: LogOffset) {
        self.next = self.next.max(first);
    }

    fn adopt(&mut self, _now: ClockTime, snapshot: &RelaySnapshot) {
        match snapshot.body.decode::<MemberSnapshot>() {
            Ok(state) => {
                self.view.adopt(&state);
                self.next = self.next.max(state.covers);
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
            Ok(announcement) => {
                self.view.apply(&announcement);
            }
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
