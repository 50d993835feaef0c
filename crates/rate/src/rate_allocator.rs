mod lease_steps;

use std::collections::BTreeSet;

use clock::ClockTime;
use model::{CentreName, VmName};

use self::lease_steps::FIRST_RENEWAL;
use crate::grant_book::GrantBook;
use crate::lease_fold::{LeaseFold, LeaseState};
use crate::promise_book::PromiseBook;
use crate::rate_message::GrantClose;
use crate::slot_standing::SlotStanding;
use crate::{LeaseRecord, RateAction, RateMessage, RateRecord, RateSettings, TeamWant};

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
