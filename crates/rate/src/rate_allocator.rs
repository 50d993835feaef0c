mod lease_steps;

use std::collections::BTreeSet;

use clock::ClockTime;
use model::{CentreName, VmName};

use self::lease_steps::FIRST_RENEWAL;
use crate::grant_ledger::GrantLedger;
use crate::lease_fold::{LeaseFold, LeaseState};
use crate::promise_ledger::PromiseLedger;
use crate::rate_message::GrantClose;
use crate::slot_standby::SlotStandby;
use crate::{LeaseRecord, RateAction, RateMessage, RateRecord, RateSettings, TeamDemand};

/// A proposed lease record that hasn't been read back from the log yet.
#[derive(Clone, Debug)]
struct PendingLease {
    record: LeaseRecord,
    proposed_at: ClockTime,
    sent_at: Option<ClockTime>,
}

/// Allocates the tokens of one slot in one data centre while this node holds the lease, and takes
/// the lease over when its holder fails.
#[derive(Clone, Debug)]
pub(crate) struct RateAllocator {
    slot: u16,
    vm: VmName,
    centre: CentreName,
    pending: Option<PendingLease>,
    observed_offset: Option<u64>,
    renewals: u64,
    leased_until: ClockTime,
    grants_until: ClockTime,
    leased_at: ClockTime,
    last_message_at: ClockTime,
    isolated_at: Option<ClockTime>,
    is_leaving: bool,
    promises: PromiseLedger,
    promised_until: ClockTime,
    /// The right to grant from before the log came back, until the lease is on the log again.
    carried: Option<CarriedLease>,
    /// The holder known before the log came back, to which promises are still given for a while.
    known_holder: Option<(VmName, ClockTime)>,
    /// Until when this node proposes no lease, unless it has a right to carry on.
    blocked_until: ClockTime,
    ledger: GrantLedger,
}

/// The lease of an allocator that goes on granting tokens after the log has come back without its
/// last records, which may have included that lease.
#[derive(Clone, Debug)]
struct CarriedLease {
    successors: Vec<VmName>,
    until: ClockTime,
}

impl RateAllocator {
    pub(crate) fn new(slot: u16, vm: VmName, centre: CentreName) -> Self {
        Self {
            ledger: GrantLedger::new(slot, centre.clone()),
            slot,
            vm,
            centre,
            pending: None,
            observed_offset: None,
            renewals: 0,
            leased_until: ClockTime::ZERO,
            grants_until: ClockTime::ZERO,
            leased_at: ClockTime::ZERO,
            last_message_at: ClockTime::ZERO,
            isolated_at: None,
            is_leaving: false,
            promises: PromiseLedger::default(),
            promised_until: ClockTime::ZERO,
            carried: None,
            known_holder: None,
            blocked_until: ClockTime::ZERO,
        }
    }

    /// Returns whether this node is the allocator according to the newest lease.
    pub(crate) fn is_holder(&self, fold: &LeaseFold) -> bool {
        fold.holder(&self.centre) == Some(&self.vm)
    }

    /// Returns whether this node may grant tokens at `now`.
    ///
    /// It may for a short time after its lease record, and later only while every node that could
    /// take over promises not to.
    pub(crate) fn may_grant(&self, now: ClockTime, fold: &LeaseFold) -> bool {
        if !self.is_holder_or_carries(fold) || self.is_stepping_down() {
            return false;
        }
        if self
            .carried
            .as_ref()
            .is_some_and(|lease| now >= lease.until)
        {
            return false;
        }
        if now < self.leased_until {
            return true;
        }
        let is_promised = |vm: &VmName| self.promises.is_promised(now, vm);
        now < self.grants_until && self.successors(fold).iter().all(is_promised)
    }

    fn is_holder_or_carries(&self, fold: &LeaseFold) -> bool {
        self.carried.is_some() || self.is_holder(fold)
    }

    /// Handles a log that has come back without its last records, before `fold` starts again.
    ///
    /// Records read or proposed so far give no right from now on: they may be lost, and an append in
    /// flight may follow others than expected. Only a node that may grant at this moment carries on,
    /// for a short time, and writes its lease again. All others wait until no grant from before can
    /// be valid.
    pub(crate) fn go_back(&mut self, now: ClockTime, fold: &LeaseFold, settings: &RateSettings) {
        let until = now.plus_ms(settings.shorter_ms(settings.return_carry_ms));
        let carried = self.may_grant(now, fold).then(|| CarriedLease {
            successors: self.successors(fold).into_iter().collect(),
            until,
        });
        if let Some(holder) = fold.holder(&self.centre) {
            self.known_holder = Some((holder.clone(), until));
        }
        self.blocked_until = now.plus_ms(settings.return_wait_ms());
        self.pending = None;
        self.observed_offset = None;
        self.carried = carried;
        if self.carried.is_none() {
            self.forget_lease();
        }
    }

    /// Ends the right to carry on that has expired before the lease was on the log again.
    fn end_carrying(&mut self, now: ClockTime) {
        if self.carried.take_if(|lease| now >= lease.until).is_some() {
            self.pending = None;
            self.forget_lease();
        }
    }

    /// Returns whether this node goes on granting tokens though its lease isn't on the log again.
    pub(crate) const fn is_carrying(&self) -> bool {
        self.carried.is_some()
    }

    /// Returns until when this node proposes no lease after the log has come back.
    pub(crate) const fn blocked_until(&self) -> ClockTime {
        self.blocked_until
    }

    /// Returns whether a record by which this node steps down is pending.
    fn is_stepping_down(&self) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.record.released.is_some())
    }

    /// Steps down as soon as another node can take the lease over.
    pub(crate) const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Records that a message of another node arrived, as a sign that this node isn't isolated.
    pub(crate) fn note_message_from(&mut self, now: ClockTime, from: &VmName) {
        if *from != self.vm {
            self.last_message_at = now;
        }
    }

    /// Returns every node that the newest lease or the pending one names as successor.
    fn successors(&self, fold: &LeaseFold) -> BTreeSet<VmName> {
        let current = match &self.carried {
            Some(carried) => Some(&carried.successors),
            None => fold
                .lease(&self.centre)
                .map(|state| &state.record.successors),
        };
        let pending = self
            .pending
            .as_ref()
            .map(|pending| &pending.record.successors);
        current
            .into_iter()
            .chain(pending)
            .flatten()
            .cloned()
            .collect()
    }

    /// Updates this node's own state when the lease of its data centre has changed.
    pub(crate) fn observe(&mut self, now: ClockTime, fold: &LeaseFold, settings: &RateSettings) {
        let Some(state) = fold.lease(&self.centre) else {
            return;
        };
        if self.observed_offset.replace(state.offset) == Some(state.offset) {
            return;
        }
        let Some(pending) = self.pending.take() else {
            return self.forget_unless_held(state);
        };
        if pending.record != state.record {
            return self.forget_unless_held(state);
        }
        self.carried = None;
        self.blocked_until = ClockTime::ZERO;
        if state.record.released.is_some() {
            return self.forget_lease();
        }
        if pending.record.renewal == FIRST_RENEWAL {
            self.last_message_at = now;
        }
        self.leased_until = pending
            .proposed_at
            .plus_ms(settings.shorter_ms(settings.lease_ms));
        self.grants_until = pending
            .proposed_at
            .plus_ms(settings.shorter_ms(settings.abandon_ms));
        self.leased_at = pending.proposed_at;
        if fold.is_never_granted(&self.centre) {
            self.ledger.fill_to_burst(fold);
        }
    }

    /// Drops all buckets, grants and promises.
    fn forget(&mut self) {
        self.ledger.clear();
        self.promises.clear();
    }

    fn forget_lease(&mut self) {
        self.leased_until = ClockTime::ZERO;
        self.grants_until = ClockTime::ZERO;
        self.forget();
    }

    fn forget_unless_held(&mut self, state: &LeaseState) {
        if state.record.holder.as_ref() != Some(&self.vm) && self.carried.is_none() {
            self.forget_lease();
        }
    }

    /// Renews, takes over or steps down, and requests promises, as needed.
    pub(crate) fn poll(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        standby: SlotStandby<'_>,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        self.end_carrying(now);
        self.drop_outdated(fold);
        if self.pending.is_none() {
            self.propose(now, fold, standby, settings);
        }
        self.send_pending(now, settings, actions);
        if self.is_holder_or_carries(fold) {
            self.ledger.expire_grants(now, fold, settings);
            self.ledger.refill_all(now, fold, settings);
            self.request_promises(now, fold, standby, settings, actions);
        }
    }

    /// Drops a pending take-over under a table that has been replaced, as no reader accepts it.
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
        standby: SlotStandby<'_>,
        settings: &RateSettings,
    ) {
        let record = if self.carried.is_some() {
            self.next_carried(now, fold, standby, settings)
        } else if now < self.blocked_until {
            None
        } else if self.is_holder(fold) {
            self.next_renewal(now, fold, standby, settings)
        } else {
            self.next_take_over(now, fold, standby, settings)
        };
        self.pending = record.map(|record| PendingLease {
            record,
            proposed_at: now,
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

    /// Requests promises from the successors, and in advance from the nodes to be named next.
    fn request_promises(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        standby: SlotStandby<'_>,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        let mut nodes = self.successors(fold);
        let is_responsive = |vm: &&VmName| !self.promises.is_silent(now, vm, settings);
        let next = standby.candidates.iter().filter(is_responsive);
        nodes.extend(next.take(settings.successors).cloned());
        let slot = self.slot;
        self.promises.request(now, slot, nodes, settings, actions);
    }

    /// Records a successor's promise.
    pub(crate) fn receive_promise(&mut self, by: VmName, seq: u64, settings: &RateSettings) {
        self.promises.receive(by, seq, settings);
    }

    /// Promises the holder not to take over, unless this node has a take-over pending.
    pub(crate) fn promise(
        &mut self,
        now: ClockTime,
        from: VmName,
        seq: u64,
        fold: &LeaseFold,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        let is_known = |(holder, until): &(VmName, ClockTime)| *holder == from && now < *until;
        let is_holder = fold.holder(&self.centre) == Some(&from)
            || self.known_holder.as_ref().is_some_and(is_known);
        if self.pending.is_some() || !is_holder {
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

    /// Refills the buckets by the current shares, before a record is applied that may change them.
    pub(crate) fn before_record(
        &mut self,
        now: ClockTime,
        fold: &LeaseFold,
        settings: &RateSettings,
    ) {
        if !self.ledger.is_empty() {
            self.ledger.refill_all(now, fold, settings);
        }
    }

    /// Answers a node's token request, if this node may grant tokens.
    pub(crate) fn grant(
        &mut self,
        now: ClockTime,
        from: &VmName,
        request: (u64, u64),
        demands: &[TeamDemand],
        fold: &LeaseFold,
        settings: &RateSettings,
    ) -> Option<RateMessage> {
        if !self.may_grant(now, fold) {
            return None;
        }
        self.ledger
            .grant(now, from, request, demands, fold, settings)
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
        let ledger = &mut self.ledger;
        ledger.close(now, from, closes, abandoned, fold, settings);
    }

    /// Returns the number of grants that may still be spent.
    pub(crate) fn open_grants(&self) -> usize {
        self.ledger.open_grants()
    }
}
