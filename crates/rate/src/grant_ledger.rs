use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{CentreName, TeamName, VmName};

use crate::lease_fold::LeaseFold;
use crate::rate_message::GrantClose;
use crate::team_bucket::TeamBucket;
use crate::{RateMessage, RateSettings, TeamDemand, TeamGrant, TeamTokens};

/// A node counts as active for this long after its last token request, in milliseconds.
const REQUESTER_WINDOW_MS: u64 = 1_000;
/// The time after which a node without further token requests is dropped, in milliseconds.
const REQUESTER_LIFE_MS: u64 = 60_000;

/// A grant that may still be spent.
#[derive(Clone, Debug)]
struct OpenGrant {
    expires_at: ClockTime,
    tokens: BTreeMap<TeamName, u32>,
}

/// The newest token request of a node.
#[derive(Clone, Copy, Debug, Default)]
struct LastRequest {
    seq: u64,
    at: ClockTime,
}

/// The token buckets of one slot's teams in one data centre, and the open grants.
#[derive(Clone, Debug)]
pub(crate) struct GrantLedger {
    slot: u16,
    centre: CentreName,
    buckets: BTreeMap<TeamName, TeamBucket>,
    grants: BTreeMap<(VmName, u64), OpenGrant>,
    expiries: BTreeSet<(ClockTime, VmName, u64)>,
    requesters: BTreeMap<VmName, LastRequest>,
    active_requesters: u64,
    counted_at: ClockTime,
}

impl GrantLedger {
    pub(crate) const fn new(slot: u16, centre: CentreName) -> Self {
        Self {
            slot,
            centre,
            buckets: BTreeMap::new(),
            grants: BTreeMap::new(),
            expiries: BTreeSet::new(),
            requesters: BTreeMap::new(),
            active_requesters: 0,
            counted_at: ClockTime::ZERO,
        }
    }

    /// Drops all buckets and grants.
    pub(crate) fn clear(&mut self) {
        self.buckets.clear();
        self.grants.clear();
        self.expiries.clear();
    }

    /// Starts with the tokens that the last allocator passed on; they are refilled from
    /// `refills_at` on.
    pub(crate) fn restore(
        &mut self,
        tokens: &[TeamTokens],
        refills_at: ClockTime,
        fold: &LeaseFold,
    ) {
        for entry in tokens {
            let share = fold.share(&entry.team, &self.centre);
            let bucket = TeamBucket::with_tokens(entry.tokens, share, refills_at);
            self.buckets.insert(entry.team.clone(), bucket);
        }
    }

    /// Returns the free tokens of all teams that have any.
    pub(crate) fn free_tokens(&self) -> Vec<TeamTokens> {
        let free = self.buckets.iter().map(|(team, bucket)| TeamTokens {
            team: team.clone(),
            tokens: bucket.free(),
        });
        free.filter(|entry| entry.tokens > 0).collect()
    }

    /// Returns whether there are no buckets.
    pub(crate) fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Fills all buckets up to the burst; only valid if no token of them was ever granted.
    pub(crate) fn fill_to_burst(&mut self, fold: &LeaseFold) {
        for (team, bucket) in &mut self.buckets {
            bucket.fill_to_burst(fold.share(team, &self.centre));
        }
    }

    /// Refills the buckets of all teams in the newest table.
    pub(crate) fn refill_all(&mut self, now: ClockTime, fold: &LeaseFold, settings: &RateSettings) {
        let Some(table) = fold.table() else {
            return;
        };
        for entry in &table.teams {
            let share = fold.share(&entry.team, &self.centre);
            let bucket = self
                .buckets
                .entry(entry.team.clone())
                .or_insert_with(|| TeamBucket::new(now));
            bucket.refill(now, share, settings.drift_ppm);
        }
    }

    /// Answers a node's token request, unless it is a duplicate or older than the last one.
    pub(crate) fn grant(
        &mut self,
        now: ClockTime,
        from: &VmName,
        (seq, life_ms): (u64, u64),
        demands: &[TeamDemand],
        fold: &LeaseFold,
        settings: &RateSettings,
    ) -> Option<RateMessage> {
        if !self.is_new_request(now, from, seq) {
            return None;
        }
        let life_ms = life_ms.min(settings.grant_ms);
        self.count_requesters(now);
        self.expire_grants(now, fold, settings);
        let grants: Vec<TeamGrant> = demands
            .iter()
            .map(|demand| self.grant_team(now, demand, fold, settings))
            .collect();
        let tokens = grants
            .iter()
            .filter(|grant| grant.tokens > 0)
            .map(|grant| (grant.team.clone(), grant.tokens));
        let open = OpenGrant {
            expires_at: now.plus_ms(settings.longer_ms(life_ms)),
            tokens: tokens.collect(),
        };
        if !open.tokens.is_empty() {
            self.expiries.insert((open.expires_at, from.clone(), seq));
            self.grants.insert((from.clone(), seq), open);
        }
        Some(RateMessage::Grant {
            slot: self.slot,
            seq,
            life_ms,
            grants,
        })
    }

    /// Records a request and returns whether it is newer than all before it from the same node.
    fn is_new_request(&mut self, now: ClockTime, from: &VmName, seq: u64) -> bool {
        let last = self.requesters.entry(from.clone()).or_default();
        if seq <= last.seq {
            return false;
        }
        *last = LastRequest { seq, at: now };
        true
    }

    /// Counts the nodes with recent token requests and drops those without any for long.
    fn count_requesters(&mut self, now: ClockTime) {
        if now.since_ms(self.counted_at) < REQUESTER_WINDOW_MS {
            return;
        }
        self.counted_at = now;
        self.requesters
            .retain(|_, last| now.since_ms(last.at) < REQUESTER_LIFE_MS);
        let is_busy = |last: &&LastRequest| now.since_ms(last.at) < REQUESTER_WINDOW_MS;
        self.active_requesters = self.requesters.values().filter(is_busy).count() as u64;
    }

    /// Returns the interval between requests of one node that keeps the total of all active nodes
    /// at [`RateSettings::requests_per_s`].
    const fn request_interval_ms(&self, settings: &RateSettings) -> u64 {
        self.active_requesters * 1_000 / settings.requests_per_s
    }

    fn grant_team(
        &mut self,
        now: ClockTime,
        demand: &TeamDemand,
        fold: &LeaseFold,
        settings: &RateSettings,
    ) -> TeamGrant {
        let request_interval_ms =
            u32::try_from(self.request_interval_ms(settings)).unwrap_or(u32::MAX);
        let share = fold.share(&demand.team, &self.centre);
        let team = demand.team.clone();
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| TeamBucket::new(now));
        bucket.refill(now, share, settings.drift_ppm);
        TeamGrant {
            team,
            tokens: bucket.grant(demand.tokens),
            next_ms: bucket.next_ms(share).max(request_interval_ms),
        }
    }

    /// Ends grants and takes unspent tokens back.
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
            let last = self.requesters.entry(from.clone()).or_default();
            last.seq = last.seq.max(*seq);
        }
    }

    fn remove_grant(&mut self, key: &(VmName, u64)) -> Option<OpenGrant> {
        let open = self.grants.remove(key)?;
        self.expiries
            .remove(&(open.expires_at, key.0.clone(), key.1));
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
            bucket.refill(now, share, settings.drift_ppm);
            bucket.close(tokens, returned);
        }
    }

    /// Ends grants that have expired and counts their tokens as spent.
    pub(crate) fn expire_grants(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        settings: &RateSettings,
    ) {
        while self.expiries.first().is_some_and(|first| first.0 <= now) {
            let Some((_, vm, seq)) = self.expiries.pop_first() else {
                return;
            };
            let open = self.grants.remove(&(vm, seq));
            for (team, tokens) in open.into_iter().flat_map(|open| open.tokens) {
                self.settle(now, &team, tokens, 0, fold, settings);
            }
        }
    }

    /// Returns the number of grants that may still be spent.
    pub(crate) fn open_grants(&self) -> usize {
        self.grants.len()
    }
}
