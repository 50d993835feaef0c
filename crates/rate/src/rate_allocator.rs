use std::collections::BTreeSet;

use clock::ClockTime;
use model::{CentreName, VmName};

use crate::grant_book::GrantBook;
use crate::lease_fold::{LeaseFold, LeaseState};
use crate::promise_book::PromiseBook;
use crate::rate_message::GrantClose;
use crate::slot_standing::SlotStanding;
use crate::{LeaseRecord, RateAction, RateMessage, RateRecord, RateSettings, TeamWant};

/// The number of the record with which a holder begins; later ones count up from it.
const FIRST_RENEWAL: u64 = 1;
/// The head start of a node over the next one when an allocator has stepped down, in milliseconds.
const RELEASE_STEP_MS: u64 = 300;
/// The places that an allocator that stepped down leaves to others before it comes back.
const RELEASE_PLACES: u64 = 5;
/// The time without a word from any node after which an allocator reckons that it is cut off, in
/// milliseconds.
const CUT_OFF_MS: u64 = 1_500;
/// The shortest time between two such steps down, in milliseconds.
const CUT_OFF_REST_MS: u64 = 60_000;

/// A lease record that was appended and whose fate is not known yet.
#[derive(Clone, Debug)]
struct PendingLease {
    record: LeaseRecord,
    asked_at: ClockTime,
    sent_at: Option<ClockTime>,
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
    leased_at: ClockTime,
    heard_at: ClockTime,
    cut_off_at: Option<ClockTime>,
    is_leaving: bool,
    promises: PromiseBook,
    promised_until: ClockTime,
    book: GrantBook,
}

impl RateAllocator {
    pub(crate) fn new(slot: u16, vm: VmName, centre: CentreName) -> Self {
        Self {
            book: GrantBook::new(slot, centre.clone()),
            slot,
            vm,
            centre,
            pending: None,
            observed: None,
            renewals: 0,
            leased_until: ClockTime::ZERO,
            stops_at: ClockTime::ZERO,
            leased_at: ClockTime::ZERO,
            heard_at: ClockTime::ZERO,
            cut_off_at: None,
            is_leaving: false,
            promises: PromiseBook::default(),
            promised_until: ClockTime::ZERO,
        }
    }

    /// Tells whether this node is the allocator by the newest lease.
    pub(crate) fn is_holder(&self, fold: &LeaseFold) -> bool {
        fold.holder(&self.centre) == Some(&self.vm)
    }

    /// Tells whether this node may grant tokens at `now`.
    pub(crate) fn may_grant(&self, now: ClockTime, fold: &LeaseFold) -> bool {
        if !self.is_holder(fold) || self.is_stepping_down() {
            return false;
        }
        if now < self.leased_until {
            return true;
        }
        let is_promised = |vm: &VmName| self.promises.is_promised(now, vm);
        now < self.stops_at && self.successors(fold).iter().all(is_promised)
    }

    /// Tells whether this node's wish to step down is on its way to the log.
    fn is_stepping_down(&self) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.record.released.is_some())
    }

    /// Hands the lease over as soon as another node can take it.
    pub(crate) const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Notes that another node's message came.
    pub(crate) fn hear_from(&mut self, now: ClockTime, from: &VmName) {
        if *from != self.vm {
            self.heard_at = now;
        }
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
    pub(crate) fn observe(&mut self, now: ClockTime, fold: &LeaseFold, settings: &RateSettings) {
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
        if state.record.released.is_some() {
            return self.forget_lease();
        }
        if pending.record.renewal == FIRST_RENEWAL {
            self.heard_at = now;
        }
        self.leased_until = pending
            .asked_at
            .plus_ms(settings.shorter_ms(settings.lease_ms));
        self.stops_at = pending
            .asked_at
            .plus_ms(settings.shorter_ms(settings.abandon_ms));
        self.leased_at = pending.asked_at;
        if fold.is_untouched(&self.centre) {
            self.book.fill_up(fold);
        }
    }

    /// Drops all buckets, grants and promises.
    fn forget(&mut self) {
        self.book.forget();
        self.promises.forget();
    }

    fn forget_lease(&mut self) {
        self.leased_until = ClockTime::ZERO;
        self.stops_at = ClockTime::ZERO;
        self.forget();
    }

    fn forget_unless_held(&mut self, state: &LeaseState) {
        if state.record.holder.as_ref() != Some(&self.vm) {
            self.forget_lease();
        }
    }

    /// Renews, takes over, steps down and collects promises as needed.
    pub(crate) fn poll(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        standing: SlotStanding<'_>,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        self.drop_outdated(fold);
        if self.pending.is_none() {
            self.propose(now, fold, standing, settings);
        }
        self.send_pending(now, settings, actions);
        if self.is_holder(fold) {
            self.book.expire_grants(now, fold, settings);
            self.book.fill_all(now, fold, settings);
            self.ask_promises(now, fold, standing, settings, actions);
        }
    }

    /// Gives up a take-over under a table that is not the newest any more: no reader accepts it.
    fn drop_outdated(&mut self, fold: &LeaseFold) {
        let newest = fold.table().map(|table| table.epoch);
        let is_holder = self.is_holder(fold);
        let is_outdated =
            |pending: &mut PendingLease| !is_holder && Some(pending.record.epoch) != newest;
        let _ = self.pending.take_if(is_outdated);
    }

    fn propose(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        standing: SlotStanding<'_>,
        settings: &RateSettings,
    ) {
        let record = if self.is_holder(fold) {
            self.next_renewal(now, fold, standing, settings)
        } else {
            self.next_take_over(now, fold, standing, settings)
        };
        self.pending = record.map(|record| PendingLease {
            record,
            asked_at: now,
            sent_at: None,
        });
    }

    /// Returns the record by which this node keeps its lease or steps down, when one is due.
    fn next_renewal(
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
    fn next_take_over(
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
        let life_ms = if place.is_some() {
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

    /// Asks the successors for promises, and ahead of time those that it would name next.
    fn ask_promises(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        standing: SlotStanding<'_>,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        let mut asked = self.successors(fold);
        let is_heard = |vm: &&VmName| !self.promises.is_silent(now, vm, settings);
        let next = standing.candidates.iter().filter(is_heard);
        asked.extend(next.take(settings.successors).cloned());
        let slot = self.slot;
        self.promises.ask(now, slot, asked, settings, actions);
    }

    /// Takes in a successor's promise.
    pub(crate) fn receive_promise(&mut self, by: VmName, seq: u64, settings: &RateSettings) {
        self.promises.receive(by, seq, settings);
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

    /// Fills the buckets by the present shares, before a record that may change them.
    pub(crate) fn before_record(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        settings: &RateSettings,
    ) {
        if !self.book.is_empty() {
            self.book.fill_all(now, fold, settings);
        }
    }

    /// Answers a node that asks for tokens.
    pub(crate) fn grant(
        &mut self,
        now: ClockTime,
        from: &VmName,
        ask: (u64, u64),
        wants: &[TeamWant],
        fold: &LeaseFold,
        settings: &RateSettings,
    ) -> Option<RateMessage> {
        if !self.may_grant(now, fold) {
            return None;
        }
        self.book.grant(now, from, ask, wants, fold, settings)
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
        let book = &mut self.book;
        book.close(now, from, closes, abandoned, fold, settings);
    }

    /// Counts the grants that may still be spent.
    pub(crate) fn open_grants(&self) -> usize {
        self.book.open_grants()
    }
}

/// Tells whether the tokens left by a holder that stepped down may be granted.
///
/// No newer table may be in force, as grants of that holder may be alive still.
fn is_left_usable(state: &LeaseState, fold: &LeaseFold) -> bool {
    state.record.released.is_some() && fold.is_only_table(state.record.epoch)
}
