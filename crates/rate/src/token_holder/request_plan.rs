//! Decides how many tokens to request, from which data centres and for how long.

use clock::ClockTime;
use model::{CentreName, TeamName};

use super::{PoolKey, TokenHolder};
use crate::{RateSettings, TeamDemand};

impl TokenHolder {
    /// Returns the lifetime of the grant to request, in milliseconds: a short one if the pool is in
    /// this data centre, answers arrive quickly and all tokens are for requests that already wait.
    ///
    /// A short grant whose tokens are all spent needs no message to close it, as it expires soon.
    pub(super) fn requested_life_ms(
        &self,
        pool: &PoolKey,
        demands: &[TeamDemand],
        settings: &RateSettings,
    ) -> u64 {
        let is_for_waiting = |demand: &TeamDemand| {
            let usage = self.teams.get(&demand.team);
            usage.is_some_and(|usage| demand.tokens as usize <= usage.waiting.len())
        };
        if self.is_answer_quick && pool.1 == self.centre && demands.iter().all(is_for_waiting) {
            settings.short_grant_ms
        } else {
            settings.grant_ms
        }
    }

    /// Returns the data centres from which to request tokens of a team, and how many from each.
    ///
    /// The tokens are for the waiting requests. For a team with steady requests that holds tokens for
    /// less than half of the previous period's requests, they are prefetched.
    pub(super) fn tokens_to_request(
        &mut self,
        now: ClockTime,
        team: &TeamName,
        slot: u16,
        settings: &RateSettings,
    ) -> Vec<(CentreName, u32)> {
        let Some(usage) = self.teams.get_mut(team) else {
            return Vec::new();
        };
        usage.drop_timed_out(now, settings.wait_ms);
        let held = usage.held_tokens(now);
        let waiting = u32::try_from(usage.waiting.len()).unwrap_or(u32::MAX);
        let is_steady = usage.previous_requests >= settings.prefetch_min_requests;
        let prefetched = if is_steady && held * 2 < usage.previous_requests {
            usage.previous_requests
        } else {
            0
        };
        let missing = waiting
            .max(prefetched)
            .saturating_sub(held + self.requested_tokens(team));
        if missing == 0 {
            return Vec::new();
        }
        let centres = self.centres_to_query(now, team, slot, settings);
        centres
            .into_iter()
            .map(|centre| (centre, missing))
            .collect()
    }

    /// Returns the number of tokens of a team in the pending token requests, apart from the hedged
    /// ones.
    fn requested_tokens(&self, team: &TeamName) -> u32 {
        let unhedged = self
            .token_requests
            .values()
            .filter(|request| !request.is_hedged);
        let demands = unhedged
            .flat_map(|request| &request.demands)
            .filter(|demand| demand.team == *team);
        demands.map(|demand| demand.tokens).sum()
    }

    /// Returns the data centres to request tokens from: the local one, or all that may have tokens
    /// when the local one is exhausted or slow. Returns none while the answer of the local one is
    /// pending and not slow, and never one whose answer for the team is pending.
    fn centres_to_query(
        &self,
        now: ClockTime,
        team: &TeamName,
        slot: u16,
        settings: &RateSettings,
    ) -> Vec<CentreName> {
        let Some(usage) = self.teams.get(team) else {
            return Vec::new();
        };
        let may_have_tokens = |centre: &&CentreName| {
            usage.is_allocating(centre)
                && !usage.is_exhausted(now, centre)
                && !self.is_request_pending(team, slot, centre)
        };
        let candidates: Vec<&CentreName> = self
            .pools(slot)
            .map(|(centre, _)| centre)
            .filter(may_have_tokens)
            .collect();
        if !self.is_slow(now, slot, settings) {
            if candidates.contains(&&self.centre) {
                return vec![self.centre.clone()];
            }
            let is_allocating = usage.is_allocating(&self.centre);
            if is_allocating
                && !usage.is_exhausted(now, &self.centre)
                && self.is_request_pending(team, slot, &self.centre)
            {
                return Vec::new();
            }
        }
        candidates.into_iter().cloned().collect()
    }

    /// Returns whether a token request for a team to a pool is pending.
    fn is_request_pending(&self, team: &TeamName, slot: u16, centre: &CentreName) -> bool {
        self.token_requests.values().any(|request| {
            request.pool.0 == slot
                && request.pool.1 == *centre
                && request.demands.iter().any(|demand| demand.team == *team)
        })
    }

    /// Returns whether the local data centre's allocator has been slow recently.
    fn is_slow(&self, now: ClockTime, slot: u16, settings: &RateSettings) -> bool {
        let slow_at = self.slow_pools.get(&(slot, self.centre.clone()));
        slow_at.is_some_and(|time| now.since_ms(*time) < settings.lease_ms)
    }
}
