use clock::ClockTime;
use platform::{LogOffset, LogRecord, RelaySnapshot, StreamFold};
use rate::{RateRecord, TeamLimiter};

/// The limiter of the teams' rates, fed by the stream of tables and leases.
pub(crate) struct RateState {
    pub(crate) limiter: TeamLimiter,
}

impl StreamFold for RateState {
    fn lose_before(&mut self, _now: ClockTime, first: LogOffset) {
        log::warn!("event=records-lost stream=rates before={first}");
    }

    fn adopt(&mut self, _now: ClockTime, snapshot: &RelaySnapshot) {
        log::warn!(
            "event=snapshot-unexpected stream=rates covers={}",
            snapshot.covers
        );
    }

    fn apply(&mut self, now: ClockTime, record: &LogRecord) {
        match record.body.decode::<RateRecord>() {
            Ok(change) => self
                .limiter
                .receive_record(now, record.offset.get(), &change),
            Err(error) => log::warn!(
                "event=record-unreadable stream=rates offset={} error={:?}",
                record.offset,
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
