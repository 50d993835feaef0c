//! Decides how many tokens to ask for, where, and for how long.

use clock::ClockTime;
use model::{CentreName, TeamName};

use super::{PoolKey, TokenHolder};
use crate::{RateSettings, TeamWant};

impl TokenHolder {
    /// Returns a short life when all tokens are for requests that wait in this data centre.
    ///
    /// Spent tokens of a short grant need no report: they lapse soon enough.
    pub(super) fn life_ms(
        &self,
        pool: &PoolKey,
        wants: &[TeamWant],
        settings: &RateSettings,
    ) -> u64 {
        let is_waited_for = |want: &TeamWant| {
            let using = self.teams.get(&want.team);
            using.is_some_and(|using| want.tokens as usize <= using.waiting.len())
        };
        if self.is_quick && pool.1 == self.centre && wants.iter().all(is_waited_for) {
            settings.short_grant_ms
        } else {
            settings.grant_ms
        }
    }

    /// Returns how many tokens of a team to ask for and where.
    pub(super) fn needs(
        &mut self,
        now: ClockTime,
        team: &TeamName,
        slot: u16,
        settings: &RateSettings,
    ) -> Vec<(CentreName, u32)> {
        let Some(using) = self.teams.get_mut(team) else {
            return Vec::new();
        };
        using.drop_waiting(now, settings.wait_ms);
        let held = using.held(now);
        let waiting = u32::try_from(using.waiting.len()).unwrap_or(u32::MAX);
        let is_steady = using.used_before >= settings.ahead_from;
        let ahead = if is_steady && held * 2 < using.used_before {
            using.used_before
        } else {
            0
        };
        let need = waiting
            .max(ahead)
            .saturating_sub(held + self.asked_tokens(team));
        if need == 0 {
            return Vec::new();
        }
        let centres = self.places(now, team, slot, settings);
        centres.into_iter().map(|centre| (centre, need)).collect()
    }

    /// Counts the tokens of a team asked for and likely to be answered.
    fn asked_tokens(&self, team: &TeamName) -> u32 {
        let prompt = self.asks.values().filter(|ask| !ask.is_hedged);
        let wants = prompt
            .flat_map(|ask| &ask.wants)
            .filter(|want| want.team == *team);
        wants.map(|want| want.tokens).sum()
    }

    /// Returns the data centres to ask: the own one, or all others when it is dry or slow.
    fn places(
        &self,
        now: ClockTime,
        team: &TeamName,
        slot: u16,
        settings: &RateSettings,
    ) -> Vec<CentreName> {
        let Some(using) = self.teams.get(team) else {
            return Vec::new();
        };
        let is_free = |centre: &&CentreName| {
            using.is_home(centre) && !using.is_dry(now, centre) && !self.is_out(team, slot, centre)
        };
        let open: Vec<&CentreName> = self
            .pools(slot)
            .map(|(centre, _)| centre)
            .filter(is_free)
            .collect();
        if !self.is_slow(now, slot, settings) {
            if open.contains(&&self.centre) {
                return vec![self.centre.clone()];
            }
            let is_home = using.is_home(&self.centre);
            if is_home && !using.is_dry(now, &self.centre) && self.is_out(team, slot, &self.centre)
            {
                return Vec::new();
            }
        }
        open.into_iter().cloned().collect()
    }

    /// Tells whether an ask for a team to a pool is without answer.
    fn is_out(&self, team: &TeamName, slot: u16, centre: &CentreName) -> bool {
        self.asks.values().any(|ask| {
            ask.pool.0 == slot
                && ask.pool.1 == *centre
                && ask.wants.iter().any(|want| want.team == *team)
        })
    }

    /// Tells whether the own data centre's allocator was slow lately.
    fn is_slow(&self, now: ClockTime, slot: u16, settings: &RateSettings) -> bool {
        let slow_at = self.slow_pools.get(&(slot, self.centre.clone()));
        slow_at.is_some_and(|time| now.since_ms(*time) < settings.lease_ms)
    }
}
