use clock::ClockTime;

use crate::team_share::{TOKEN_PARTS, TeamShare};

/// The tokens of a team at one allocator, granted ones included.
#[derive(Clone, Debug)]
pub(crate) struct TeamBucket {
    parts: u64,
    granted: u64,
    filled_at: ClockTime,
}

impl TeamBucket {
    /// Creates an empty bucket that fills from `now`.
    pub(crate) const fn new(now: ClockTime) -> Self {
        Self {
            parts: 0,
            granted: 0,
            filled_at: now,
        }
    }

    /// Adds what has come in since the last call; free and granted tokens never exceed the burst.
    pub(crate) fn fill(&mut self, now: ClockTime, share: TeamShare, drift_ppm: u64) {
        let room = (share.burst * TOKEN_PARTS).saturating_sub(self.granted * TOKEN_PARTS);
        let span_ms = now.since_ms(self.filled_at);
        let income = u128::from(share.parts_per_ms)
            * u128::from(span_ms)
            * u128::from(1_000_000 - drift_ppm)
            / 1_000_000;
        let income = u64::try_from(income).unwrap_or(u64::MAX);
        self.parts = self.parts.saturating_add(income).min(room);
        self.filled_at = self.filled_at.max(now);
    }

    /// Adds all that is missing to the whole burst.
    pub(crate) fn fill_up(&mut self, share: TeamShare) {
        self.parts = share.burst.saturating_sub(self.granted) * TOKEN_PARTS;
    }

    /// Creates a bucket with `tokens` that fills from `filled_at`, which may be still to come.
    pub(crate) fn with_tokens(tokens: u32, share: TeamShare, filled_at: ClockTime) -> Self {
        Self {
            parts: u64::from(tokens).min(share.burst) * TOKEN_PARTS,
            granted: 0,
            filled_at,
        }
    }

    /// Returns the whole tokens that are free.
    pub(crate) fn free(&self) -> u32 {
        u32::try_from(self.parts / TOKEN_PARTS).unwrap_or(u32::MAX)
    }

    /// Moves up to `wanted` whole tokens from free to granted.
    pub(crate) fn grant(&mut self, wanted: u32) -> u32 {
        let tokens = wanted.min(self.free());
        self.parts -= u64::from(tokens) * TOKEN_PARTS;
        self.granted += u64::from(tokens);
        tokens
    }

    /// Ends a grant of `tokens`, of which `returned` were never spent.
    pub(crate) fn close(&mut self, tokens: u32, returned: u32) {
        self.granted = self.granted.saturating_sub(u64::from(tokens));
        self.parts += u64::from(returned.min(tokens)) * TOKEN_PARTS;
    }

    /// Returns the milliseconds until a whole token is free at the rate of `share`.
    pub(crate) fn next_ms(&self, share: TeamShare) -> u32 {
        let missing = TOKEN_PARTS.saturating_sub(self.parts);
        let wait_ms = missing.div_ceil(share.parts_per_ms.max(1));
        u32::try_from(wait_ms).unwrap_or(u32::MAX)
    }
}
