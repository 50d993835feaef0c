use std::collections::BTreeMap;

use clock::ClockTime;
use model::VmName;

use crate::{RateAction, RateMessage, RateSettings};

/// The promises not to take over that an allocator has from its successors.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromiseLedger {
    promises: BTreeMap<VmName, ClockTime>,
    requests: BTreeMap<u64, ClockTime>,
    first_requested_at: BTreeMap<VmName, ClockTime>,
    seq: u64,
    next_request_at: ClockTime,
}

impl PromiseLedger {
    /// Drops all promises and requests.
    pub(crate) fn clear(&mut self) {
        self.promises.clear();
        self.requests.clear();
        self.first_requested_at.clear();
    }

    /// Requests promises from `successors` four times per promise lifetime.
    pub(crate) fn request(
        &mut self,
        now: ClockTime,
        slot: u16,
        successors: impl IntoIterator<Item = VmName>,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        if now < self.next_request_at {
            return;
        }
        self.next_request_at = now.plus_ms(settings.promise_ms / 4);
        self.seq += 1;
        self.requests.insert(self.seq, now);
        let oldest = now.minus_ms(settings.promise_ms);
        self.requests
            .retain(|_, requested_at| *requested_at >= oldest);
        for vm in successors {
            self.first_requested_at.entry(vm.clone()).or_insert(now);
            let seq = self.seq;
            actions.push(RateAction::Send(
                vm,
                RateMessage::RequestPromise { slot, seq },
            ));
        }
    }

    /// Records a promise, whose lifetime counts from when it was requested.
    pub(crate) fn receive(&mut self, by: VmName, seq: u64, settings: &RateSettings) {
        let Some(requested_at) = self.requests.get(&seq) else {
            return;
        };
        let until = requested_at.plus_ms(settings.shorter_ms(settings.promise_ms));
        let promise = self.promises.entry(by).or_insert(until);
        *promise = until.max(*promise);
    }

    /// Returns whether the promise of `vm` is valid at `now`.
    pub(crate) fn is_promised(&self, now: ClockTime, vm: &VmName) -> bool {
        self.promises.get(vm).is_some_and(|until| now < *until)
    }

    /// Returns whether `vm` hasn't answered for half a promise lifetime since it was first queried,
    /// and its promise is missing or about to expire.
    pub(crate) fn is_silent(&self, now: ClockTime, vm: &VmName, settings: &RateSettings) -> bool {
        let until = self.promises.get(vm);
        let is_expiring = |until: &ClockTime| now.until_ms(*until) < settings.promise_ms / 3;
        let first_requested_at = self.first_requested_at.get(vm);
        let is_overdue = |since: &ClockTime| now.since_ms(*since) >= settings.promise_ms / 2;
        until.is_none_or(is_expiring) && first_requested_at.is_some_and(is_overdue)
    }
}
