use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{CentreName, TeamName, VmName};

use crate::lease_fold::LeaseFold;
use crate::rate_message::GrantClose;
use crate::team_bucket::TeamBucket;
use crate::{RateMessage, RateSettings, TeamGrant, TeamWant};

/// The period over which asking nodes are counted, in milliseconds.
const ASKER_PERIOD_MS: u64 = 1_000;
/// The time after which a silent node's last ask is forgotten, in milliseconds.
const ASKER_LIFE_MS: u64 = 60_000;

/// A grant that may still be spent.
#[derive(Clone, Debug)]
struct OpenGrant {
    lapses_at: ClockTime,
    tokens: BTreeMap<TeamName, u32>,
}

/// The newest ask of a node.
#[derive(Clone, Copy, Debug, Default)]
struct LastAsk {
    seq: u64,
    at: ClockTime,
}

/// The tokens of one slot's teams in one data centre, and the grants of them.
#[derive(Clone, Debug)]
pub(crate) struct GrantBook {
    slot: u16,
    centre: CentreName,
    buckets: BTreeMap<TeamName, TeamBucket>,
    grants: BTreeMap<(VmName, u64), OpenGrant>,
    lapses: BTreeSet<(ClockTime, VmName, u64)>,
    askers: BTreeMap<VmName, LastAsk>,
    busy_askers: u64,
    counted_at: ClockTime,
}

impl GrantBook {
    pub(crate) const fn new(slot: u16, centre: CentreName) -> Self {
        Self {
            slot,
            centre,
            buckets: BTreeMap::new(),
            grants: BTreeMap::new(),
            lapses: BTreeSet::new(),
            askers: BTreeMap::new(),
            busy_askers: 0,
            counted_at: ClockTime::ZERO,
        }
    }

    /// Drops all buckets and grants.
    pub(crate) fn forget(&mut self) {
        self.buckets.clear();
        self.grants.clear();
        self.lapses.clear();
    }

    /// Tells whether there are no buckets.
    pub(crate) fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Fills the buckets whole, when no token of them was ever granted.
    pub(crate) fn fill_up(&mut self, fold: &LeaseFold) {
        for (team, bucket) in &mut self.buckets {
            bucket.fill_up(fold.share(team, &self.centre));
        }
    }

    /// Fills the buckets of all teams in the newest table.
    pub(crate) fn fill_all(&mut self, now: ClockTime, fold: &LeaseFold, settings: &RateSettings) {
        let Some(table) = fold.table() else {
            return;
        };
        for entry in &table.teams {
            let share = fold.share(&entry.team, &self.centre);
            let bucket = self
                .buckets
                .entry(entry.team.clone())
                .or_insert_with(|| TeamBucket::new(now));
            bucket.fill(now, share, settings.drift_ppm);
        }
    }

    /// Answers a node that asks for tokens.
    pub(crate) fn grant(
        &mut self,
        now: ClockTime,
        from: &VmName,
        (seq, life_ms): (u64, u64),
        wants: &[TeamWant],
        fold: &LeaseFold,
        settings: &RateSettings,
    ) -> Option<RateMessage> {
        if !self.is_new_ask(now, from, seq) {
            return None;
        }
        let life_ms = life_ms.min(settings.grant_ms);
        self.count_askers(now);
        self.expire_grants(now, fold, settings);
        let grants: Vec<TeamGrant> = wants
            .iter()
            .map(|want| self.grant_team(now, want, fold, settings))
            .collect();
        let tokens = grants
            .iter()
            .filter(|grant| grant.tokens > 0)
            .map(|grant| (grant.team.clone(), grant.tokens));
        let open = OpenGrant {
            lapses_at: now.plus_ms(settings.longer_ms(life_ms)),
            tokens: tokens.collect(),
        };
        if !open.tokens.is_empty() {
            self.lapses.insert((open.lapses_at, from.clone(), seq));
            self.grants.insert((from.clone(), seq), open);
        }
        Some(RateMessage::Grant {
            slot: self.slot,
            seq,
            life_ms,
            grants,
        })
    }

    /// Tells whether an ask is newer than all before it from the same node.
    fn is_new_ask(&mut self, now: ClockTime, from: &VmName, seq: u64) -> bool {
        let last = self.askers.entry(from.clone()).or_default();
        if seq <= last.seq {
            return false;
        }
        *last = LastAsk { seq, at: now };
        true
    }

    /// Counts the nodes that asked lately and forgets those long silent.
    fn count_askers(&mut self, now: ClockTime) {
        if now.since_ms(self.counted_at) < ASKER_PERIOD_MS {
            return;
        }
        self.counted_at = now;
        self.askers
            .retain(|_, last| now.since_ms(last.at) < ASKER_LIFE_MS);
        let is_busy = |last: &&LastAsk| now.since_ms(last.at) < ASKER_PERIOD_MS;
        self.busy_askers = self.askers.values().filter(is_busy).count() as u64;
    }

    /// Returns the time between two asks of one node that keeps all within the budget.
    const fn spacing_ms(&self, settings: &RateSettings) -> u64 {
        self.busy_askers * 1_000 / settings.asks_per_s
    }

    fn grant_team(
        &mut self,
        now: ClockTime,
        want: &TeamWant,
        fold: &LeaseFold,
        settings: &RateSettings,
    ) -> TeamGrant {
        let spacing_ms = u32::try_from(self.spacing_ms(settings)).unwrap_or(u32::MAX);
        let share = fold.share(&want.team, &self.centre);
        let team = want.team.clone();
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| TeamBucket::new(now));
        bucket.fill(now, share, settings.drift_ppm);
        TeamGrant {
            team,
            tokens: bucket.grant(want.tokens),
            next_ms: bucket.next_ms(share).max(spacing_ms),
        }
    }

    /// Takes unspent tokens back.
    pub(crate) fn close(
        &mut self,
        now: ClockTime,
        from: &VmName,
        closes: &[GrantClose],
        abandoned: &[u64],
        fold: &LeaseFold,
        settings: &RateSettings,
    ) {
        self.expire_grants(now, fold, settings);
        for close in closes {
            let key = (from.clone(), close.seq);
            let open = self.grants.get_mut(&key);
            if let Some(tokens) = open.and_then(|open| open.tokens.remove(&close.team)) {
                self.settle(now, &close.team, tokens, close.returned, fold, settings);
            }
            if self
                .grants
                .get(&key)
                .is_some_and(|open| open.tokens.is_empty())
            {
                self.remove_grant(&key);
            }
        }
        for seq in abandoned {
            let open = self.remove_grant(&(from.clone(), *seq));
            for (team, tokens) in open.into_iter().flat_map(|open| open.tokens) {
                self.settle(now, &team, tokens, tokens, fold, settings);
            }
            let last = self.askers.entry(from.clone()).or_default();
            last.seq = last.seq.max(*seq);
        }
    }

    fn remove_grant(&mut self, key: &(VmName, u64)) -> Option<OpenGrant> {
        let open = self.grants.remove(key)?;
        self.lapses.remove(&(open.lapses_at, key.0.clone(), key.1));
        Some(open)
    }

    fn settle(
        &mut self,
        now: ClockTime,
        team: &TeamName,
        tokens: u32,
        returned: u32,
        fold: &LeaseFold,
        settings: &RateSettings,
    ) {
        let share = fold.share(team, &self.centre);
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.fill(now, share, settings.drift_ppm);
            bucket.close(tokens, returned);
        }
    }

    /// Counts the tokens of grants that have lapsed as spent.
    pub(crate) fn expire_grants(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        settings: &RateSettings,
    ) {
        while self.lapses.first().is_some_and(|first| first.0 <= now) {
            let Some((_, vm, seq)) = self.lapses.pop_first() else {
                return;
            };
            let open = self.grants.remove(&(vm, seq));
            for (team, tokens) in open.into_iter().flat_map(|open| open.tokens) {
                self.settle(now, &team, tokens, 0, fold, settings);
            }
        }
    }

    /// Counts the grants that may still be spent.
    pub(crate) fn open_grants(&self) -> usize {
        self.grants.len()
    }
}
