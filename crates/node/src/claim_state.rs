use clock::ClockTime;
use once::{ClaimAction, ClaimRecord, ClaimTable};
use streams::{LogOffset, LogRecord, RelaySnapshot, StreamFold};

/// The claim table, updated from the claims stream, with the actions that it has yet to execute.
pub(crate) struct ClaimState {
    pub(crate) table: ClaimTable,
    pub(crate) actions: Vec<ClaimAction>,
}

impl StreamFold for ClaimState {
    fn go_back(&mut self, now: ClockTime) {
        self.table.go_back(now, &mut self.actions);
    }

    fn lose_before(&mut self, now: ClockTime, first: LogOffset) {
        self.table.receive_gap(now, first.get(), &mut self.actions);
    }

    fn apply_snapshot(&mut self, _now: ClockTime, snapshot: &RelaySnapshot) {
        log::warn!(
            "event=snapshot-unexpected stream=claims covers={}",
            snapshot.covers
        );
    }

    fn apply(&mut self, now: ClockTime, record: &LogRecord) {
        let offset = record.offset.get();
        match record.body.decode::<ClaimRecord>() {
            Ok(claim) => self
                .table
                .receive_record(now, offset, &claim, &mut self.actions),
            Err(error) => log::warn!(
                "event=record-unreadable stream=claims offset={offset} error={:?}",
                error.to_string()
            ),
        }
    }

    fn snapshot(&self) -> Option<RelaySnapshot> {
        None
    }

    fn needs_snapshot(&self) -> bool {
        false
    }
}
