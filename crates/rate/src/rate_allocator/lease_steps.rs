//! Decides on the records by which a node takes over, renews and releases a lease.

use clock::ClockTime;
use model::VmName;

use super::RateAllocator;
use crate::lease_fold::{LeaseFold, LeaseState};
use crate::slot_standby::SlotStandby;
use crate::{LeaseRecord, RateSettings};

/// The renewal number of a holder's first record; later ones count up from it.
pub(super) const FIRST_RENEWAL: u64 = 1;
/// The delay between the nodes in rank order that may take over a released lease, in milliseconds.
const RELEASE_STAGGER_MS: u64 = 300;
/// The rank at which an allocator may take back the lease that it released itself.
const RELEASER_RANK: u64 = 5;
/// The time without a message from any other node after which an allocator assumes that it is
/// isolated, in milliseconds.
const ISOLATION_MS: u64 = 1_500;
/// The shortest time between two releases for that reason, in milliseconds.
const ISOLATION_STEP_DOWN_INTERVAL_MS: u64 = 60_000;

impl RateAllocator {
    /// Returns the record by which this node renews its lease or steps down, when one is due.
    pub(super) fn next_renewal(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        standby: SlotStandby<'_>,
        settings: &RateSettings,
    ) -> Option<LeaseRecord> {
        let state = fold.lease(&self.centre)?;
        let settled_ms = settings.longer_ms(settings.grant_ms);
        let epoch = fold.settled_epoch(now, settled_ms).max(state.record.epoch);
        let successors = self.next_successors(now, state, standby, settings);
        let record = LeaseRecord {
            slot: self.slot,
            centre: self.centre.clone(),
            base: Some(state.offset),
            holder: Some(self.vm.clone()),
            successors,
            renewal: self.renewals + 1,
            epoch,
            released: None,
        };
        let record = if self.may_step_down(now, state, standby, settings) {
            self.step_down(now, fold, state, record, settings)
        } else if self.is_renewal_due(now, state, &record, settings) {
            record
        } else {
            return None;
        };
        self.renewals += 1;
        Some(record)
    }

    /// Returns the record by which this node writes its lease again after the log has come back
    /// without its last records.
    pub(super) fn next_carried(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        standby: SlotStandby<'_>,
        settings: &RateSettings,
    ) -> Option<LeaseRecord> {
        let newest = fold.table().map(|table| table.epoch)?;
        let state = fold.lease(&self.centre);
        let is_renewal = self.is_holder(fold);
        let epoch = state
            .filter(|_| is_renewal)
            .map_or(newest, |state| state.record.epoch);
        let is_responsive = |vm: &&VmName| !self.promises.is_silent(now, vm, settings);
        let candidates = standby.candidates.iter().filter(is_responsive);
        let successors = candidates.take(settings.successors).cloned().collect();
        self.renewals += 1;
        Some(LeaseRecord {
            slot: self.slot,
            centre: self.centre.clone(),
            base: state.map(|state| state.offset),
            holder: Some(self.vm.clone()),
            successors,
            renewal: self.renewals,
            epoch,
            released: None,
        })
    }

    /// Returns the first candidates that give promises, completed by the successors named before.
    fn next_successors(
        &self,
        now: ClockTime,
        state: &LeaseState,
        standby: SlotStandby<'_>,
        settings: &RateSettings,
    ) -> Vec<VmName> {
        let named = &state.record.successors;
        let is_responsive = |vm: &&VmName| {
            let is_promised = self.promises.is_promised(now, vm);
            !self.promises.is_silent(now, vm, settings) && (is_promised || named.contains(vm))
        };
        let mut next: Vec<VmName> = standby
            .candidates
            .iter()
            .filter(is_responsive)
            .take(settings.successors)
            .cloned()
            .collect();
        for vm in named {
            if next.len() < settings.successors && !next.contains(vm) {
                next.push(vm.clone());
            }
        }
        next
    }

    fn is_renewal_due(
        &self,
        now: ClockTime,
        state: &LeaseState,
        next: &LeaseRecord,
        settings: &RateSettings,
    ) -> bool {
        let last = &state.record;
        let renew_ms = settings.renew_ms.min(settings.abandon_ms / 3);
        let age_ms = now.since_ms(self.leased_at);
        let is_silent = |vm: &VmName| self.promises.is_silent(now, vm, settings);
        let is_urgent = next.successors != last.successors || last.successors.iter().any(is_silent);
        next.epoch != last.epoch
            || age_ms >= renew_ms
            || (is_urgent && age_ms >= settings.lease_ms / 3)
    }

    /// Returns whether another node should replace this one as allocator.
    ///
    /// It should when this node is leaving, or seems isolated: no message has arrived from any node
    /// and no candidate answers.
    fn may_step_down(
        &self,
        now: ClockTime,
        state: &LeaseState,
        standby: SlotStandby<'_>,
        settings: &RateSettings,
    ) -> bool {
        if self.is_leaving {
            return !standby.candidates.is_empty();
        }
        let successors = &state.record.successors;
        let is_silent = |vm: &VmName| self.promises.is_silent(now, vm, settings);
        let is_interval_over = self
            .isolated_at
            .is_none_or(|time| now.since_ms(time) >= ISOLATION_STEP_DOWN_INTERVAL_MS);
        !successors.is_empty()
            && now < self.leased_until
            && now.since_ms(self.last_message_at) >= ISOLATION_MS
            && standby.candidates.iter().all(is_silent)
            && is_interval_over
    }

    /// Turns a renewal into the record that releases the lease and passes the free tokens on.
    fn step_down(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        state: &LeaseState,
        record: LeaseRecord,
        settings: &RateSettings,
    ) -> LeaseRecord {
        if !self.is_leaving {
            self.isolated_at = Some(now);
        }
        self.ledger.expire_grants(now, fold, settings);
        self.ledger.refill_all(now, fold, settings);
        let successors = if self.is_leaving {
            record.successors
        } else {
            state.record.successors.clone()
        };
        LeaseRecord {
            successors,
            epoch: state.record.epoch,
            released: Some(self.ledger.free_tokens()),
            ..record
        }
    }

    /// Returns the record by which this node claims a vacant lease or takes one over, when it may.
    pub(super) fn next_take_over(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        standby: SlotStandby<'_>,
        settings: &RateSettings,
    ) -> Option<LeaseRecord> {
        let epoch = fold.table().map(|table| table.epoch)?;
        let state = fold.lease(&self.centre);
        let held = state.filter(|state| state.record.holder.is_some());
        let may_claim = match held {
            Some(state) => self.may_take_over(now, fold, state, standby, settings),
            None => standby.claim_at.is_some_and(|time| time <= now),
        };
        if !may_claim || self.is_leaving {
            return None;
        }
        self.start_lease(now, fold, settings);
        let last = state.and_then(|state| state.record.holder.as_ref());
        let candidates = standby.candidates.iter();
        let successors = candidates
            .filter(|vm| Some(*vm) != last)
            .take(settings.successors)
            .cloned()
            .collect();
        Some(LeaseRecord {
            slot: self.slot,
            centre: self.centre.clone(),
            base: state.map(|state| state.offset),
            holder: Some(self.vm.clone()),
            successors,
            renewal: self.renewals,
            epoch,
            released: None,
        })
    }

    /// Starts with the tokens that the last holder passed on, or else with empty buckets.
    ///
    /// Buckets with passed-on tokens are refilled only from when the last holder's grants have
    /// expired; empty ones from `now`, when no grant of another holder can be valid.
    fn start_lease(&mut self, now: ClockTime, fold: &LeaseFold, settings: &RateSettings) {
        self.forget();
        self.renewals = FIRST_RENEWAL;
        let state = fold.lease(&self.centre);
        if let Some(state) = state.filter(|state| is_release_usable(state, fold)) {
            let tokens = state.record.released.as_deref().unwrap_or_default();
            let expired_at = state.read_at.plus_ms(settings.longer_ms(settings.grant_ms));
            self.ledger.restore(tokens, expired_at.max(now), fold);
        }
        self.ledger.refill_all(now, fold, settings);
    }

    /// Returns whether an earlier incarnation of this node holds the lease.
    ///
    /// That process has ended, as this one has its addresses; only its grants may still be valid.
    fn is_earlier_incarnation(&self, state: &LeaseState) -> bool {
        let holder = state.record.holder.as_ref();
        holder.is_some_and(|holder| {
            *holder != self.vm && holder.without_start() == self.vm.without_start()
        })
    }

    /// Returns whether the lease, this node's promise and every grant under them have expired.
    ///
    /// A released lease may be taken over at once if its tokens may be granted; nodes then take
    /// turns by rank.
    fn may_take_over(
        &self,
        now: ClockTime,
        fold: &LeaseFold,
        state: &LeaseState,
        standby: SlotStandby<'_>,
        settings: &RateSettings,
    ) -> bool {
        let grant_ms = settings.longer_ms(settings.grant_ms);
        let rank = state
            .record
            .successors
            .iter()
            .position(|vm| *vm == self.vm)
            .map(|rank| rank as u64);
        if state.record.released.is_some() {
            let life_ms = if is_release_usable(state, fold) {
                0
            } else {
                grant_ms
            };
            let is_own = state.record.holder.as_ref() == Some(&self.vm);
            let own_rank = is_own.then_some(RELEASER_RANK);
            let named = state.record.successors.len() as u64;
            let other = standby.rank.map(|rank| named + rank);
            let Some(rank) = own_rank.or(rank).or(other) else {
                return false;
            };
            let free_at = state.read_at.plus_ms(life_ms + rank * RELEASE_STAGGER_MS);
            return now >= free_at;
        }
        let life_ms = if self.is_earlier_incarnation(state) {
            0
        } else if rank.is_some() {
            settings.lease_ms
        } else {
            settings.abandon_ms
        };
        let expires_at = state.read_at.plus_ms(settings.longer_ms(life_ms));
        now >= expires_at.max(self.promised_until).plus_ms(grant_ms)
    }
}

/// Returns whether the tokens passed on by a holder that stepped down may be granted.
///
/// They may not when another table may be in force, as grants of that holder may still be valid, or
/// when the log has come back since, as another node may have spent them.
fn is_release_usable(state: &LeaseState, fold: &LeaseFold) -> bool {
    state.record.released.is_some() && !state.is_returned && fold.is_only_table(state.record.epoch)
}
