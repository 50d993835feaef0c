use std::collections::{BTreeMap, VecDeque};

use clock::ClockTime;
use model::{CentreName, VmName};

/// A grant held by this node, with the tokens that are left of it.
#[derive(Clone, Debug)]
pub(crate) struct HeldGrant {
    pub(crate) from: VmName,
    pub(crate) seq: u64,
    pub(crate) tokens_left: u32,
    pub(crate) life_ms: u64,
    pub(crate) expires_at: ClockTime,
    pub(crate) received_at: ClockTime,
}

/// The grants, waiting requests and recent demand of one team at a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamUsage {
    pub(crate) grants: VecDeque<HeldGrant>,
    pub(crate) waiting: VecDeque<ClockTime>,
    pub(crate) current_requests: u32,
    pub(crate) previous_requests: u32,
    pub(crate) period_started_at: ClockTime,
    pub(crate) last_request_at: ClockTime,
    pub(crate) exhausted_until: BTreeMap<CentreName, ClockTime>,
    /// The data centres that allocate the team's tokens; empty while these aren't known.
    pub(crate) allocating_centres: Vec<CentreName>,
}

impl TeamUsage {
    /// Starts a new period when the current one is over; tokens are prefetched for as many requests
    /// as the previous period had.
    pub(crate) fn roll_period(&mut self, now: ClockTime, period_ms: u64) {
        let age_ms = now.since_ms(self.period_started_at);
        if age_ms >= period_ms {
            self.previous_requests = if age_ms < 2 * period_ms {
                self.current_requests
            } else {
                0
            };
            self.current_requests = 0;
            self.period_started_at = now;
        }
    }

    /// Returns whether there are no grants, waiting requests or recent requests.
    pub(crate) fn has_no_activity(&self) -> bool {
        self.grants.is_empty()
            && self.waiting.is_empty()
            && self.current_requests == 0
            && self.previous_requests == 0
    }

    /// Spends a token of the oldest grant that is valid at `now`, and returns that grant.
    pub(crate) fn spend(&mut self, now: ClockTime) -> Option<HeldGrant> {
        self.grants.retain(|grant| now < grant.expires_at);
        let first = self.grants.front_mut()?;
        first.tokens_left -= 1;
        let spent = first.clone();
        if spent.tokens_left == 0 {
            self.grants.pop_front();
        }
        Some(spent)
    }

    /// Returns the number of unspent tokens in valid grants.
    pub(crate) fn held(&self, now: ClockTime) -> u32 {
        let valid = self.grants.iter().filter(|grant| now < grant.expires_at);
        valid.map(|grant| grant.tokens_left).sum()
    }

    /// Returns whether a data centre has recently reported that it has no more tokens of the team.
    pub(crate) fn is_exhausted(&self, now: ClockTime, centre: &CentreName) -> bool {
        self.exhausted_until
            .get(centre)
            .is_some_and(|until| now < *until)
    }

    /// Returns whether a data centre may allocate tokens of the team.
    pub(crate) fn is_allocating(&self, centre: &CentreName) -> bool {
        self.allocating_centres.is_empty() || self.allocating_centres.contains(centre)
    }

    /// Returns the time until one of the exhausted data centres expects a token, in milliseconds.
    pub(crate) fn next_ms(&self, now: ClockTime) -> Option<u64> {
        self.exhausted_until
            .iter()
            .filter(|(centre, _)| self.is_allocating(centre))
            .map(|(_, until)| until)
            .map(|until| now.until_ms(*until))
            .min()
    }

    /// Drops requests that have waited for longer than `wait_ms`.
    pub(crate) fn drop_timed_out(&mut self, now: ClockTime, wait_ms: u64) {
        let is_over = |since: &ClockTime| now.since_ms(*since) > wait_ms;
        while self.waiting.front().is_some_and(is_over) {
            self.waiting.pop_front();
        }
    }
}
