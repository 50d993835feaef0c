use std::collections::BTreeMap;

use clock::ClockTime;
use model::CallName;

use crate::QueueTicket;

/// The weight of one run in the mean of its kind of call.
const GAIN: f64 = 0.05;
/// The time without a run in which the time expected halves, in milliseconds.
const HALF_LIFE_MS: u64 = 1_000;
/// The number of runs from which on a mean is trusted.
const MIN_RUNS: u32 = 8;

/// The mean time for which one kind of call holds its slot.
#[derive(Clone, Copy, Debug, Default)]
struct RunTime {
    mean_ms: f64,
    runs: u32,
    measured: ClockTime,
}

impl RunTime {
    /// Returns the time expected now; it halves for each second without a run, so that calls
    /// refused for want of time are tried again.
    fn expected_ms(&self, now: ClockTime) -> f64 {
        let idle_s = now.since_ms(self.measured) / HALF_LIFE_MS;
        self.mean_ms * 0.5_f64.powi(i32::try_from(idle_s).unwrap_or(i32::MAX))
    }
}

/// The times for which each kind of call holds its slot.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    times: BTreeMap<CallName, RunTime>,
}

impl RunTimes {
    /// Takes in a run that held its slot for `run_ms`.
    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
    pub(crate) fn record(&mut self, now: ClockTime, call: &CallName, run_ms: u64) {
        let time = self.times.entry(call.clone()).or_default();
        time.runs = time.runs.saturating_add(1);
        let gain = f64::max(GAIN, 1.0 / f64::from(time.runs));
        time.mean_ms += gain * (run_ms as f64 - time.mean_ms);
        time.measured = now;
    }

    /// Returns a ticket with the run time measured for its kind of call, if any.
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
