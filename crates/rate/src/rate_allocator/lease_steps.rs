//! Decides on the records by which a node takes, keeps and gives up a lease.

use clock::ClockTime;
use model::VmName;

use super::RateAllocator;
use crate::lease_fold::{LeaseFold, LeaseState};
use crate::slot_standing::SlotStanding;
use crate::{LeaseRecord, RateSettings};

/// The number of the record with which a holder begins; later ones count up from it.
pub(super) const FIRST_RENEWAL: u64 = 1;
/// The head start of a node over the next one when an allocator has stepped down, in milliseconds.
const RELEASE_STEP_MS: u64 = 300;
/// The places that an allocator that stepped down leaves to others before it comes back.
const RELEASE_PLACES: u64 = 5;
/// The time without a word from any node after which an allocator reckons that it is cut off, in
/// milliseconds.
const CUT_OFF_MS: u64 = 1_500;
/// The shortest time between two such steps down, in milliseconds.
const CUT_OFF_REST_MS: u64 = 60_000;

impl RateAllocator {
    /// Returns the record by which this node keeps its lease or steps down, when one is due.
    pub(super) fn next_renewal(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        standing: SlotStanding<'_>,
        settings: &RateSettings,
    ) -> Option<LeaseRecord> {
        let state = fold.lease(&self.centre)?;
        let settled_ms = settings.longer_ms(settings.grant_ms);
        let epoch = fold.settled_epoch(now, settled_ms).max(state.record.epoch);
        let successors = self.next_successors(now, state, standing, settings);
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
        let record = if self.may_step_down(now, state, standing, settings) {
            self.step_down(now, fold, state, record, settings)
        } else if self.is_renewal_due(now, state, &record, settings) {
            record
        } else {
            return None;
        };
        self.renewals += 1;
        Some(record)
    }

    /// Returns the best candidates that promise; for want of those, the ones named last time.
    fn next_successors(
        &self,
        now: ClockTime,
        state: &LeaseState,
        standing: SlotStanding<'_>,
        settings: &RateSettings,
    ) -> Vec<VmName> {
        let named = &state.record.successors;
        let is_heard = |vm: &&VmName| {
            let is_promised = self.promises.is_promised(now, vm);
            !self.promises.is_silent(now, vm, settings) && (is_promised || named.contains(vm))
        };
        let mut next: Vec<VmName> = standing
            .candidates
            .iter()
            .filter(is_heard)
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

    /// Tells whether another node should allocate in place of this one.
    fn may_step_down(
        &self,
        now: ClockTime,
        state: &LeaseState,
        standing: SlotStanding<'_>,
        settings: &RateSettings,
    ) -> bool {
        if self.is_leaving {
            return !standing.candidates.is_empty();
        }
        let successors = &state.record.successors;
        let is_silent = |vm: &VmName| self.promises.is_silent(now, vm, settings);
        let is_rested = self
            .cut_off_at
            .is_none_or(|time| now.since_ms(time) >= CUT_OFF_REST_MS);
        !successors.is_empty()
            && now < self.leased_until
            && now.since_ms(self.heard_at) >= CUT_OFF_MS
            && standing.candidates.iter().all(is_silent)
            && is_rested
    }

    /// Turns a renewal into the record by which this node leaves its tokens to the next one.
    fn step_down(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        state: &LeaseState,
        record: LeaseRecord,
        settings: &RateSettings,
    ) -> LeaseRecord {
        if !self.is_leaving {
            self.cut_off_at = Some(now);
        }
        self.book.expire_grants(now, fold, settings);
        self.book.fill_all(now, fold, settings);
        let successors = if self.is_leaving {
            record.successors
        } else {
            state.record.successors.clone()
        };
        LeaseRecord {
            successors,
            epoch: state.record.epoch,
            released: Some(self.book.free_tokens()),
            ..record
        }
    }

    /// Returns the record by which this node begins or takes over a lease, when it may.
    pub(super) fn next_take_over(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        standing: SlotStanding<'_>,
        settings: &RateSettings,
    ) -> Option<LeaseRecord> {
        let epoch = fold.table().map(|table| table.epoch)?;
        let state = fold.lease(&self.centre);
        let held = state.filter(|state| state.record.holder.is_some());
        let may_begin = match held {
            Some(state) => self.may_take_over(now, fold, state, standing, settings),
            None => standing.begin_at.is_some_and(|time| time <= now),
        };
        if !may_begin || self.is_leaving {
            return None;
        }
        self.begin(now, fold, settings);
        let last = state.and_then(|state| state.record.holder.as_ref());
        let candidates = standing.candidates.iter();
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

    /// Starts with the tokens that the last holder left, or with empty buckets that fill from `now`
    /// when no one else's token can be alive.
    fn begin(&mut self, now: ClockTime, fold: &LeaseFold, settings: &RateSettings) {
        self.forget();
        self.renewals = FIRST_RENEWAL;
        let state = fold.lease(&self.centre);
        if let Some(state) = state.filter(|state| is_left_usable(state, fold)) {
            let left = state.record.released.as_deref().unwrap_or_default();
            let lapsed_at = state.read_at.plus_ms(settings.longer_ms(settings.grant_ms));
            self.book.take_in(left, lapsed_at.max(now), fold);
        }
        self.book.fill_all(now, fold, settings);
    }

    /// Tells whether an earlier start of this node holds the lease.
    ///
    /// That one is dead, as this start has its addresses; only its grants may live on.
    fn is_own_past(&self, state: &LeaseState) -> bool {
        let holder = state.record.holder.as_ref();
        holder.is_some_and(|holder| {
            *holder != self.vm && holder.without_start() == self.vm.without_start()
        })
    }

    /// Tells whether the lease, this node's promise and every grant under them have lapsed.
    fn may_take_over(
        &self,
        now: ClockTime,
        fold: &LeaseFold,
        state: &LeaseState,
        standing: SlotStanding<'_>,
        settings: &RateSettings,
    ) -> bool {
        let grant_ms = settings.longer_ms(settings.grant_ms);
        let place = state
            .record
            .successors
            .iter()
            .position(|vm| *vm == self.vm)
            .map(|place| place as u64);
        if state.record.released.is_some() {
            let life_ms = if is_left_usable(state, fold) {
                0
            } else {
                grant_ms
            };
            let is_own = state.record.holder.as_ref() == Some(&self.vm);
            let own_place = is_own.then_some(RELEASE_PLACES);
            let named = state.record.successors.len() as u64;
            let other = standing.rank.map(|rank| named + rank);
            let Some(place) = own_place.or(place).or(other) else {
                return false;
            };
            let free_at = state.read_at.plus_ms(life_ms + place * RELEASE_STEP_MS);
            return now >= free_at;
        }
        let life_ms = if self.is_own_past(state) {
            0
        } else if place.is_some() {
            settings.lease_ms
        } else {
            settings.abandon_ms
        };
        let lapses_at = state.read_at.plus_ms(settings.longer_ms(life_ms));
        now >= lapses_at.max(self.promised_until).plus_ms(grant_ms)
    }
}

/// Tells whether the tokens left by a holder that stepped down may be granted.
///
/// No newer table may be in force, as grants of that holder may be alive still.
fn is_left_usable(state: &LeaseState, fold: &LeaseFold) -> bool {
    state.record.released.is_some() && fold.is_only_table(state.record.epoch)
}
