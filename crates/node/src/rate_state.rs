use clock::ClockTime;
use rate::{RateRecord, RateSnapshot, TeamLimiter};
use streams::{LogOffset, LogRecord, RecordBody, RelaySnapshot, StreamFold};

/// The limiter of the team rates, updated from the stream of rate tables and leases.
pub(crate) struct RateState {
    pub(crate) limiter: TeamLimiter,
}

impl StreamFold for RateState {
    fn go_back(&mut self, now: ClockTime) {
        self.limiter.go_back(now);
    }

    fn lose_before(&mut self, _now: ClockTime, first: LogOffset) {
        log::info!("event=records-lost stream=rates before={first}");
        self.limiter.lose_before(first.get());
    }

    fn apply_snapshot(&mut self, now: ClockTime, snapshot: &RelaySnapshot) {
        match snapshot.body.decode::<RateSnapshot>() {
            Ok(state) => self.limiter.apply_snapshot(now, &state),
            Err(error) => log::warn!(
                "event=snapshot-unreadable stream=rates covers={} error={:?}",
                snapshot.covers,
                error.to_string()
            ),
        }
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
        let state = self.limiter.snapshot()?;
        Some(RelaySnapshot {
            covers: LogOffset::new(state.covers),
            body: RecordBody::encode(&state),
        })
    }

    fn needs_snapshot(&self) -> bool {
        self.limiter.is_missing_records()
    }
}
