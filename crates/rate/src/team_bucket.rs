use clock::ClockTime;

use crate::team_share::{MICROS_PER_TOKEN, TeamShare};

/// The token bucket of a team at one allocator, including granted tokens that may still be spent.
#[derive(Clone, Debug)]
pub(crate) struct TeamBucket {
    micros: u64,
    granted: u64,
    refilled_at: ClockTime,
}

impl TeamBucket {
    /// Creates an empty bucket that is refilled from `now` on.
    pub(crate) const fn new(now: ClockTime) -> Self {
        Self {
            micros: 0,
            granted: 0,
            refilled_at: now,
        }
    }

    /// Adds the tokens since the last call; free and granted tokens together never exceed the burst.
    ///
    /// The rate is reduced by the clock drift, so a fast clock doesn't exceed the team's rate.
    pub(crate) fn refill(&mut self, now: ClockTime, share: TeamShare, drift_ppm: u64) {
        let room = (share.burst * MICROS_PER_TOKEN).saturating_sub(self.granted * MICROS_PER_TOKEN);
        let span_ms = now.since_ms(self.refilled_at);
        let refilled = u128::from(share.micros_per_ms)
            * u128::from(span_ms)
            * u128::from(1_000_000 - drift_ppm)
            / 1_000_000;
        let refilled = u64::try_from(refilled).unwrap_or(u64::MAX);
        self.micros = self.micros.saturating_add(refilled).min(room);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Fills the bucket up to the burst.
    pub(crate) fn fill_to_burst(&mut self, share: TeamShare) {
        self.micros = share.burst.saturating_sub(self.granted) * MICROS_PER_TOKEN;
    }

    /// Creates a bucket with `tokens` that is refilled from `refilled_at` on, which may be in the
    /// future.
    pub(crate) fn with_tokens(tokens: u32, share: TeamShare, refilled_at: ClockTime) -> Self {
        Self {
            micros: u64::from(tokens).min(share.burst) * MICROS_PER_TOKEN,
            granted: 0,
            refilled_at,
        }
    }

    /// Returns the number of whole tokens that are free.
    pub(crate) fn free(&self) -> u32 {
        u32::try_from(self.micros / MICROS_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Moves up to `wanted` whole tokens from free to granted and returns how many.
    pub(crate) fn grant(&mut self, wanted: u32) -> u32 {
        let tokens = wanted.min(self.free());
        self.micros -= u64::from(tokens) * MICROS_PER_TOKEN;
        self.granted += u64::from(tokens);
        tokens
    }

    /// Ends a grant of `tokens`, of which `returned` were not spent.
    pub(crate) fn close(&mut self, tokens: u32, returned: u32) {
        self.granted = self.granted.saturating_sub(u64::from(tokens));
        self.micros += u64::from(returned.min(tokens)) * MICROS_PER_TOKEN;
    }

    /// Returns the time until a whole token is free at the rate of `share`, in milliseconds.
    pub(crate) fn next_ms(&self, share: TeamShare) -> u32 {
        let missing = MICROS_PER_TOKEN.saturating_sub(self.micros);
        let wait_ms = missing.div_ceil(share.micros_per_ms.max(1));
        u32::try_from(wait_ms).unwrap_or(u32::MAX)
    }
}
