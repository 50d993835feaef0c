use std::collections::{BTreeMap, VecDeque};

use clock::ClockTime;
use model::{CentreName, VmName};

/// Tokens of one grant that are left.
#[derive(Clone, Debug)]
pub(crate) struct HeldGrant {
    pub(crate) from: VmName,
    pub(crate) seq: u64,
    pub(crate) left: u32,
    pub(crate) life_ms: u64,
    pub(crate) lapses_at: ClockTime,
    pub(crate) got_at: ClockTime,
}

/// What a node knows of one team.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamUse {
    pub(crate) grants: VecDeque<HeldGrant>,
    pub(crate) waiting: VecDeque<ClockTime>,
    pub(crate) used_now: u32,
    pub(crate) used_before: u32,
    pub(crate) period_at: ClockTime,
    pub(crate) used_at: ClockTime,
    pub(crate) dry_until: BTreeMap<CentreName, ClockTime>,
    /// The data centres that hold the team's tokens; empty while these aren't known.
    pub(crate) homes: Vec<CentreName>,
}

impl TeamUse {
    /// Counts the requests of the period before, for which tokens are held ahead.
    pub(crate) fn turn_period(&mut self, now: ClockTime, period_ms: u64) {
        let age_ms = now.since_ms(self.period_at);
        if age_ms >= period_ms {
            self.used_before = if age_ms < 2 * period_ms {
                self.used_now
            } else {
                0
            };
            self.used_now = 0;
            self.period_at = now;
        }
    }

    /// Tells whether nothing is held, waiting or lately used.
    pub(crate) fn is_quiet(&self) -> bool {
        self.grants.is_empty()
            && self.waiting.is_empty()
            && self.used_now == 0
            && self.used_before == 0
    }

    /// Spends a token of a grant that is still alive at `now`.
    pub(crate) fn spend(&mut self, now: ClockTime) -> Option<HeldGrant> {
        self.grants.retain(|grant| now < grant.lapses_at);
        let first = self.grants.front_mut()?;
        first.left -= 1;
        let spent = first.clone();
        if spent.left == 0 {
            self.grants.pop_front();
        }
        Some(spent)
    }

    /// Counts the tokens held.
    pub(crate) fn held(&self, now: ClockTime) -> u32 {
        let alive = self.grants.iter().filter(|grant| now < grant.lapses_at);
        alive.map(|grant| grant.left).sum()
    }

    pub(crate) fn is_dry(&self, now: ClockTime, centre: &CentreName) -> bool {
        self.dry_until.get(centre).is_some_and(|until| now < *until)
    }

    /// Tells whether a data centre may hold tokens of the team.
    pub(crate) fn is_home(&self, centre: &CentreName) -> bool {
        self.homes.is_empty() || self.homes.contains(centre)
    }

    /// Returns the time until the first data centre has a token again, in milliseconds.
    pub(crate) fn next_ms(&self, now: ClockTime) -> Option<u64> {
        self.dry_until
            .iter()
            .filter(|(centre, _)| self.is_home(centre))
            .map(|(_, until)| until)
            .map(|until| now.until_ms(*until))
            .min()
    }

    /// Forgets requests that have waited for longer than they may.
    pub(crate) fn drop_waiting(&mut self, now: ClockTime, wait_ms: u64) {
        let is_over = |since: &ClockTime| now.since_ms(*since) > wait_ms;
        while self.waiting.front().is_some_and(is_over) {
            self.waiting.pop_front();
        }
    }
}
