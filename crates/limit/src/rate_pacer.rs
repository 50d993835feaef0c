use clock::ClockTime;

use crate::RateStatement;

/// The time since the last answer with a rate after which an answer without one ends it, in
/// milliseconds. Refusals and answers that overtook each other may lack the rate.
const END_DELAY_MS: u64 = 1_000;

/// How a statement has changed the pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceChange {
    /// The pace is as before.
    Unchanged,
    /// The stated rate holds from now on, in requests per second.
    Limited(f64),
    /// No rate holds any more.
    Ended,
    /// The statement can't be read, and the pace stays as before.
    Unreadable,
}

/// Tracks the request rate that a backend server states in its answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct RatePacer {
    rate_per_s: Option<f64>,
    stated_at: ClockTime,
}

impl RatePacer {
    /// Returns the stated rate in requests per second, if there is one.
    pub(crate) const fn rate_per_s(&self) -> Option<f64> {
        self.rate_per_s
    }

    /// Records what an answer states.
    pub(crate) fn record(&mut self, now: ClockTime, statement: RateStatement) -> PaceChange {
        match statement {
            RateStatement::Limited(rate_per_s) => {
                self.stated_at = now;
                if self.rate_per_s.replace(rate_per_s) == Some(rate_per_s) {
                    return PaceChange::Unchanged;
                }
                PaceChange::Limited(rate_per_s)
            }
            RateStatement::Unlimited => {
                let has_ended = now.since_ms(self.stated_at) >= END_DELAY_MS;
                match self.rate_per_s.take_if(|_| has_ended) {
                    Some(_) => PaceChange::Ended,
                    None => PaceChange::Unchanged,
                }
            }
            RateStatement::Unreadable => PaceChange::Unreadable,
        }
    }
}
