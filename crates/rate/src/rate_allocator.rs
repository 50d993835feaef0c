use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{CentreName, TeamName, VmName};

use crate::lease_fold::{LeaseFold, LeaseState};
use crate::rate_message::GrantClose;
use crate::team_bucket::TeamBucket;
use crate::{LeaseRecord, RateAction, RateMessage, RateRecord, RateSettings, TeamGrant, TeamWant};

/// The number of the record with which a holder begins; later ones count up from it.
const FIRST_RENEWAL: u64 = 1;

/// The period over which asking nodes are counted, in milliseconds.
const ASKER_PERIOD_MS: u64 = 1_000;
/// The time after which a silent node's last ask is forgotten, in milliseconds.
const ASKER_LIFE_MS: u64 = 60_000;

/// A lease record that was appended and whose fate is not known yet.
#[derive(Clone, Debug)]
struct PendingLease {
    record: LeaseRecord,
    asked_at: ClockTime,
    sent_at: Option<ClockTime>,
}

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

/// Allocates the tokens of one slot in one data centre, or stands by to do so.
#[derive(Clone, Debug)]
pub(crate) struct RateAllocator {
    slot: u16,
    vm: VmName,
    centre: CentreName,
    pending: Option<PendingLease>,
    observed: Option<u64>,
    renewals: u64,
    leased_until: ClockTime,
    stops_at: ClockTime,
    renew_at: ClockTime,
    promises: BTreeMap<VmName, ClockTime>,
    promise_asks: BTreeMap<u64, ClockTime>,
    promise_seq: u64,
    ask_promise_at: ClockTime,
    promised_until: ClockTime,
    buckets: BTreeMap<TeamName, TeamBucket>,
    grants: BTreeMap<(VmName, u64), OpenGrant>,
    lapses: BTreeSet<(ClockTime, VmName, u64)>,
    askers: BTreeMap<VmName, LastAsk>,
    busy_askers: u64,
    counted_at: ClockTime,
}

impl RateAllocator {
    pub(crate) const fn new(slot: u16, vm: VmName, centre: CentreName) -> Self {
        Self {
            slot,
            vm,
            centre,
            pending: None,
            observed: None,
            renewals: 0,
            leased_until: ClockTime::ZERO,
            stops_at: ClockTime::ZERO,
            renew_at: ClockTime::ZERO,
            promises: BTreeMap::new(),
            promise_asks: BTreeMap::new(),
            promise_seq: 0,
            ask_promise_at: ClockTime::ZERO,
            promised_until: ClockTime::ZERO,
            buckets: BTreeMap::new(),
            grants: BTreeMap::new(),
            lapses: BTreeSet::new(),
            askers: BTreeMap::new(),
            busy_askers: 0,
            counted_at: ClockTime::ZERO,
        }
    }

    /// Tells whether this node is the allocator by the newest lease.
    pub(crate) fn is_holder(&self, fold: &LeaseFold) -> bool {
        fold.holder(&self.centre) == Some(&self.vm)
    }

    /// Tells whether this node may grant tokens at `now`.
    pub(crate) fn may_grant(&self, now: ClockTime, fold: &LeaseFold) -> bool {
        if !self.is_holder(fold) {
            return false;
        }
        if now < self.leased_until {
            return true;
        }
        let is_promised = |vm: &VmName| self.promises.get(vm).is_some_and(|until| now < *until);
        now < self.stops_at && self.successors(fold).iter().all(is_promised)
    }

    /// Returns every node that the newest lease or one in doubt names as successor.
    fn successors(&self, fold: &LeaseFold) -> BTreeSet<VmName> {
        let current = fold.lease(&self.centre).map(|state| &state.record);
        let pending = self.pending.as_ref().map(|pending| &pending.record);
        let records = current.into_iter().chain(pending);
        records
            .flat_map(|record| record.successors.iter().cloned())
            .collect()
    }

    /// Takes note that the lease of this data centre changed.
    pub(crate) fn observe(&mut self, fold: &LeaseFold, settings: &RateSettings) {
        let Some(state) = fold.lease(&self.centre) else {
            return;
        };
        if self.observed.replace(state.offset) == Some(state.offset) {
            return;
        }
        let Some(pending) = self.pending.take() else {
            return self.forget_unless_held(state);
        };
        if pending.record != state.record {
            return self.forget_unless_held(state);
        }
        self.leased_until = pending
            .asked_at
            .plus_ms(settings.shorter_ms(settings.lease_ms));
        self.stops_at = pending
            .asked_at
            .plus_ms(settings.shorter_ms(settings.abandon_ms));
        self.renew_at = pending.asked_at.plus_ms(settings.lease_ms / 3);
        if fold.is_untouched(&self.centre) {
            self.fill_up(fold);
        }
    }

    /// Fills the buckets whole, when no token of them was ever granted.
    fn fill_up(&mut self, fold: &LeaseFold) {
        for (team, bucket) in &mut self.buckets {
            bucket.fill_up(fold.share(team, &self.centre));
        }
    }

    /// Drops all buckets, grants and promises.
    fn forget(&mut self) {
        self.buckets.clear();
        self.grants.clear();
        self.lapses.clear();
        self.promises.clear();
        self.promise_asks.clear();
    }

    fn forget_unless_held(&mut self, state: &LeaseState) {
        if state.record.holder.as_ref() != Some(&self.vm) {
            self.leased_until = ClockTime::ZERO;
            self.stops_at = ClockTime::ZERO;
            self.forget();
        }
    }

    /// Renews, takes over and collects promises as needed.
    ///
    /// `begin_at` is when this node may begin a vacant lease.
    pub(crate) fn poll(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        successors: &[VmName],
        begin_at: Option<ClockTime>,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        if self.pending.is_none() {
            self.propose(now, fold, successors, begin_at, settings);
        }
        self.send_pending(now, settings, actions);
        if self.is_holder(fold) {
            self.expire_grants(now, fold, settings);
            self.fill_all(now, fold, settings);
            self.ask_promises(now, fold, settings, actions);
        }
    }

    fn propose(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        successors: &[VmName],
        begin_at: Option<ClockTime>,
        settings: &RateSettings,
    ) {
        let Some(newest) = fold.table().map(|table| table.epoch) else {
            return;
        };
        let state = fold.lease(&self.centre);
        let held = state.filter(|state| state.record.holder.is_some());
        let settled_ms = settings.longer_ms(settings.grant_ms);
        let epoch = match held {
            Some(state) if self.is_holder(fold) => {
                let epoch = fold.settled_epoch(now, settled_ms).max(state.record.epoch);
                if now < self.renew_at && epoch == state.record.epoch {
                    return;
                }
                epoch
            }
            Some(state) if self.may_take_over(now, state, settings) => newest,
            None if begin_at.is_some_and(|time| time <= now) => newest,
            _ => return,
        };
        if self.is_holder(fold) {
            self.renewals += 1;
        } else {
            self.begin(now, fold, settings);
        }
        let record = LeaseRecord {
            slot: self.slot,
            centre: self.centre.clone(),
            base: state.map(|state| state.offset),
            holder: Some(self.vm.clone()),
            successors: successors.to_vec(),
            renewal: self.renewals,
            epoch,
        };
        self.pending = Some(PendingLease {
            record,
            asked_at: now,
            sent_at: None,
        });
    }

    /// Starts with empty buckets that fill from `now`, when no one else's token can be alive.
    fn begin(&mut self, now: ClockTime, fold: &LeaseFold, settings: &RateSettings) {
        self.forget();
        self.renewals = FIRST_RENEWAL;
        self.fill_all(now, fold, settings);
    }

    /// Tells whether the lease, this node's promise and every grant under them have lapsed.
    fn may_take_over(&self, now: ClockTime, state: &LeaseState, settings: &RateSettings) -> bool {
        let grant_ms = settings.longer_ms(settings.grant_ms);
        let life_ms = if state.record.successors.contains(&self.vm) {
            settings.lease_ms
        } else {
            settings.abandon_ms
        };
        let lapses_at = state.read_at.plus_ms(settings.longer_ms(life_ms));
        now >= lapses_at.max(self.promised_until).plus_ms(grant_ms)
    }

    fn send_pending(
        &mut self,
        now: ClockTime,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let is_due = pending
            .sent_at
            .is_none_or(|time| now.since_ms(time) >= settings.append_retry_ms);
        if is_due {
            pending.sent_at = Some(now);
            let record = RateRecord::Lease(pending.record.clone());
            actions.push(RateAction::Append(record));
        }
    }

    fn ask_promises(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        if now < self.ask_promise_at {
            return;
        }
        self.ask_promise_at = now.plus_ms(settings.promise_ms / 4);
        self.promise_seq += 1;
        self.promise_asks.insert(self.promise_seq, now);
        let oldest = now.minus_ms(settings.promise_ms);
        self.promise_asks.retain(|_, asked_at| *asked_at >= oldest);
        for vm in self.successors(fold) {
            let (slot, seq) = (self.slot, self.promise_seq);
            actions.push(RateAction::Send(vm, RateMessage::AskPromise { slot, seq }));
        }
    }

    /// Takes in a successor's promise, whose life counts from when it was asked for.
    pub(crate) fn receive_promise(&mut self, by: VmName, seq: u64, settings: &RateSettings) {
        let Some(asked_at) = self.promise_asks.get(&seq) else {
            return;
        };
        let until = asked_at.plus_ms(settings.shorter_ms(settings.promise_ms));
        let promise = self.promises.entry(by).or_insert(until);
        *promise = until.max(*promise);
    }

    /// Promises the holder not to take over, unless a take-over is under way.
    pub(crate) fn promise(
        &mut self,
        now: ClockTime,
        from: VmName,
        seq: u64,
        fold: &LeaseFold,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        if self.pending.is_some() || fold.holder(&self.centre) != Some(&from) {
            return;
        }
        let until = now.plus_ms(settings.longer_ms(settings.promise_ms));
        self.promised_until = self.promised_until.max(until);
        let message = RateMessage::Promise {
            slot: self.slot,
            seq,
            by: self.vm.clone(),
        };
        actions.push(RateAction::Send(from, message));
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
        if !self.may_grant(now, fold) || !self.is_new_ask(now, from, seq) {
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
    fn expire_grants(&mut self, now: ClockTime, fold: &LeaseFold, settings: &RateSettings) {
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

    /// Fills the buckets by the present shares, before a record that may change them.
    pub(crate) fn before_record(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        settings: &RateSettings,
    ) {
        if !self.buckets.is_empty() {
            self.fill_all(now, fold, settings);
        }
    }

    /// Fills the buckets of all teams in the newest table.
    fn fill_all(&mut self, now: ClockTime, fold: &LeaseFold, settings: &RateSettings) {
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

    /// Counts the grants that may still be spent.
    pub(crate) fn open_grants(&self) -> usize {
        self.grants.len()
    }
}
