use std::collections::BTreeMap;

use clock::ClockTime;
use model::CallName;

use crate::QueueTicket;

/// The weight of one run in the moving average of its call.
const MEAN_GAIN: f64 = 0.05;
/// The time without a run in which the expected run time halves, in milliseconds.
const HALF_LIFE_MS: u64 = 1_000;
/// The number of runs from which the mean is used.
const MIN_RUNS: u32 = 8;

/// The mean time for which a call occupies its slot.
#[derive(Clone, Copy, Debug, Default)]
struct RunTime {
    mean_ms: f64,
    runs: u32,
    measured: ClockTime,
}

impl RunTime {
    /// Returns the expected run time. It halves for each second without a run, so that a call that
    /// is refused because its deadline is too short is tried again.
    fn expected_ms(&self, now: ClockTime) -> f64 {
        let idle_s = now.since_ms(self.measured) / HALF_LIFE_MS;
        self.mean_ms * 0.5_f64.powi(i32::try_from(idle_s).unwrap_or(i32::MAX))
    }
}

/// The mean time for which each call occupies its slot.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    times: BTreeMap<CallName, RunTime>,
}

impl RunTimes {
    /// Records a run that occupied its slot for `run_ms`.
    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
    pub(crate) fn record(&mut self, now: ClockTime, call: &CallName, run_ms: u64) {
        let time = self.times.entry(call.clone()).or_default();
        time.runs = time.runs.saturating_add(1);
        let gain = f64::max(MEAN_GAIN, 1.0 / f64::from(time.runs));
        time.mean_ms += gain * (run_ms as f64 - time.mean_ms);
        time.measured = now;
    }

    /// Returns the ticket with the measured run time of its call, if there is one.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "means of spans are never negative"
    )]
    pub(crate) fn estimate(&self, now: ClockTime, ticket: QueueTicket) -> QueueTicket {
        let time = ticket.call.as_ref().and_then(|call| self.times.get(call));
        match time {
            Some(time) if time.runs >= MIN_RUNS => QueueTicket {
                expected_ms: time.expected_ms(now) as u64,
                ..ticket
            },
            _ => ticket,
        }
    }
}
