use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{CentreName, VmName};

use crate::grant_book::GrantBook;
use crate::lease_fold::{LeaseFold, LeaseState};
use crate::rate_message::GrantClose;
use crate::{LeaseRecord, RateAction, RateMessage, RateRecord, RateSettings, TeamWant};

/// The number of the record with which a holder begins; later ones count up from it.
const FIRST_RENEWAL: u64 = 1;

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
    renew_at: ClockTime,
    promises: BTreeMap<VmName, ClockTime>,
    promise_asks: BTreeMap<u64, ClockTime>,
    promise_seq: u64,
    ask_promise_at: ClockTime,
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
            renew_at: ClockTime::ZERO,
            promises: BTreeMap::new(),
            promise_asks: BTreeMap::new(),
            promise_seq: 0,
            ask_promise_at: ClockTime::ZERO,
            promised_until: ClockTime::ZERO,
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
            self.book.fill_up(fold);
        }
    }

    /// Drops all buckets, grants and promises.
    fn forget(&mut self) {
        self.book.forget();
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
            self.book.expire_grants(now, fold, settings);
            self.book.fill_all(now, fold, settings);
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
        self.book.fill_all(now, fold, settings);
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
