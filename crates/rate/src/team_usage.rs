use std::collections::{BTreeMap, VecDeque};

use clock::ClockTime;
use model::{CentreName, VmName};

/// A grant held by this node, with the tokens that are left of it.
#[derive(Clone, Debug)]
pub(crate) struct HeldGrant {
    /// The allocator that granted the tokens.
    pub(crate) from: VmName,
    /// The sequence number of the token request that the grant answers.
    pub(crate) seq: u64,
    pub(crate) tokens_left: u32,
    /// The lifetime of the grant from the time of the request, in milliseconds.
    pub(crate) life_ms: u64,
    /// When the tokens become invalid, with a margin for the drift between clocks.
    pub(crate) expires_at: ClockTime,
    pub(crate) received_at: ClockTime,
}

/// The grants, waiting requests and recent demand of one team at a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamUsage {
    /// The grants, oldest first.
    pub(crate) grants: VecDeque<HeldGrant>,
    /// When each waiting request started to wait, oldest first.
    pub(crate) waiting: VecDeque<ClockTime>,
    /// The number of requests in the current period.
    pub(crate) current_requests: u32,
    /// The number of requests in the previous period.
    pub(crate) previous_requests: u32,
    pub(crate) period_started_at: ClockTime,
    /// When a new or waiting request was last decided on.
    pub(crate) last_request_at: ClockTime,
    /// When each data centre that ran out of the team's tokens expects to have one again.
    pub(crate) exhausted_until: BTreeMap<CentreName, ClockTime>,
    /// The data centres that allocate the team's tokens; empty while these aren't known.
    pub(crate) allocating_centres: Vec<CentreName>,
}

impl TeamUsage {
    /// Starts a new period if the current one is over.
    ///
    /// Tokens are prefetched for as many requests as the previous period had. If a whole period has
    /// passed without a request since the current one, the previous period counts as empty.
    pub(crate) fn start_due_period(&mut self, now: ClockTime, period_ms: u64) {
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
    pub(crate) fn held_tokens(&self, now: ClockTime) -> u32 {
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
    pub(crate) fn next_token_ms(&self, now: ClockTime) -> Option<u64> {
        self.exhausted_until
            .iter()
            .filter(|(centre, _)| self.is_allocating(centre))
            .map(|(_, until)| until)
            .map(|until| now.until_ms(*until))
            .min()
    }

    /// Drops requests that have waited for longer than `wait_ms`.
    pub(crate) fn drop_timed_out(&mut self, now: ClockTime, wait_ms: u64) {
        let is_timed_out = |started_at: &ClockTime| now.since_ms(*started_at) > wait_ms;
        while self.waiting.front().is_some_and(is_timed_out) {
            self.waiting.pop_front();
        }
    }
}
