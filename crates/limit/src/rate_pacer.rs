use clock::ClockTime;

use crate::RateStatement;

/// The requests that may run at once before the first answer of a backend server, which may state a
/// rate.
const UNANSWERED_RUNS: u32 = 4;
/// The lowest rate that requests are sent at, in requests per second. Without requests, the end of
/// a stated rate of 0 would go unnoticed.
const MIN_RATE_PER_S: f64 = 0.25;
/// The time whose requests may be sent at once after a pause, in seconds.
const BURST_S: f64 = 0.25;
/// The time since the last answer with a rate after which an answer without one ends it, in
/// milliseconds. Refusals and answers that overtook each other may lack the rate.
const END_DELAY_MS: u64 = 1_000;
/// The number of milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// How a statement has changed the pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceChange {
    /// The pace is as before.
    Unchanged,
    /// The stated rate holds from now on, in requests per second.
    Limited(f64),
    /// No rate holds any more.
    Ended,
    /// The statement can't be read, unlike the last one, and the pace stays as before.
    Unreadable,
}

/// Paces the requests to a backend server at the rate that it states in its answers.
///
/// It answers the load of a backend server in need: a fleet that goes on sending what it sent
/// before. All requests to a backend server pass its own node, so one pacer keeps the rate for the
/// whole fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct RatePacer {
    pace: Pace,
    /// Whether the last statement couldn't be read.
    was_unreadable: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Pace {
    /// The backend server states no rate.
    #[default]
    Unlimited,
    /// The backend server hasn't answered yet since it or the node has started.
    Unanswered,
    /// The backend server states a rate.
    Limited(TokenBucket),
}

/// The requests that may be sent now, as a token bucket that the stated rate fills.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    filled_at: ClockTime,
    stated_at: ClockTime,
}

impl RatePacer {
    /// Waits for a first answer before it lets more than a few requests run.
    pub(crate) const fn await_answer(&mut self) {
        self.pace = Pace::Unanswered;
    }

    /// Returns whether requests are kept back, by a stated rate or until the first answer.
    pub(crate) fn is_pacing(&self) -> bool {
        self.pace != Pace::Unlimited
    }

    /// Returns the stated rate in requests per second, if there is one.
    pub(crate) const fn rate_per_s(&self) -> Option<f64> {
        match &self.pace {
            Pace::Limited(bucket) => Some(bucket.rate_per_s),
            Pace::Unlimited | Pace::Unanswered => None,
        }
    }

    /// Records what an answer states.
    pub(crate) fn record(&mut self, now: ClockTime, statement: RateStatement) -> PaceChange {
        let is_unreadable = statement == RateStatement::Unreadable;
        let was_unreadable = std::mem::replace(&mut self.was_unreadable, is_unreadable);
        match (statement, &mut self.pace) {
            (RateStatement::Limited(stated), pace) => {
                let rate_per_s = stated.max(MIN_RATE_PER_S);
                let known = match *pace {
                    Pace::Limited(bucket) => Some(bucket.filled(now)),
                    Pace::Unlimited | Pace::Unanswered => None,
                };
                *pace = Pace::Limited(TokenBucket {
                    rate_per_s,
                    tokens: known.map_or(0.0, |bucket| bucket.tokens),
                    filled_at: now,
                    stated_at: now,
                });
                let known = known.map(|bucket| bucket.rate_per_s);
                if known == Some(rate_per_s) {
                    return PaceChange::Unchanged;
                }
                PaceChange::Limited(rate_per_s)
            }
            (RateStatement::Unlimited, Pace::Limited(bucket)) => {
                if now.since_ms(bucket.stated_at) < END_DELAY_MS {
                    return PaceChange::Unchanged;
                }
                self.pace = Pace::Unlimited;
                PaceChange::Ended
            }
            (RateStatement::Unlimited, pace) => {
                *pace = Pace::Unlimited;
                PaceChange::Unchanged
            }
            (RateStatement::Unreadable, pace) => {
                if *pace == Pace::Unanswered {
                    *pace = Pace::Unlimited;
                }
                if was_unreadable {
                    return PaceChange::Unchanged;
                }
                PaceChange::Unreadable
            }
        }
    }

    /// Returns whether a request may be sent while `in_flight` others run.
    pub(crate) fn may_start(&mut self, now: ClockTime, in_flight: u32) -> bool {
        match &mut self.pace {
            Pace::Unlimited => true,
            Pace::Unanswered => in_flight < UNANSWERED_RUNS,
            Pace::Limited(bucket) => {
                *bucket = bucket.filled(now);
                bucket.tokens >= 1.0
            }
        }
    }

    /// Charges a request that is sent.
    pub(crate) fn charge(&mut self) {
        if let Pace::Limited(bucket) = &mut self.pace {
            bucket.tokens -= 1.0;
        }
    }

    /// Returns the time until a request with `ahead` others before it may be sent, in milliseconds.
    pub(crate) fn wait_ms(&self, ahead: usize) -> u64 {
        let Pace::Limited(bucket) = &self.pace else {
            return 0;
        };
        bucket.wait_ms(ahead)
    }

    /// Returns when the next request may be sent, if the rate keeps it back.
    pub(crate) fn next_start(&self) -> Option<ClockTime> {
        let Pace::Limited(bucket) = &self.pace else {
            return None;
        };
        Some(bucket.filled_at.plus_ms(bucket.wait_ms(0)))
    }
}

impl TokenBucket {
    fn capacity(&self) -> f64 {
        (self.rate_per_s * BURST_S).max(1.0)
    }

    /// Returns the bucket with the tokens that have accrued by `now`.
    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
    fn filled(self, now: ClockTime) -> Self {
        let span_s = now.since_ms(self.filled_at) as f64 / MS_PER_S;
        Self {
            tokens: (self.tokens + span_s * self.rate_per_s).min(self.capacity()),
            filled_at: self.filled_at.max(now),
            ..self
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "queues are short, the rate is above 0 and waits are never negative"
    )]
    fn wait_ms(&self, ahead: usize) -> u64 {
        let missing = (ahead as f64 + 1.0 - self.tokens).max(0.0);
        (missing * MS_PER_S / self.rate_per_s).ceil() as u64
    }
}
