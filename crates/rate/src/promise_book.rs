use std::collections::BTreeMap;

use clock::ClockTime;
use model::VmName;

use crate::{RateAction, RateMessage, RateSettings};

/// The promises that an allocator has from its successors.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromiseBook {
    promises: BTreeMap<VmName, ClockTime>,
    asks: BTreeMap<u64, ClockTime>,
    asked_since: BTreeMap<VmName, ClockTime>,
    seq: u64,
    ask_at: ClockTime,
}

impl PromiseBook {
    /// Drops all promises.
    pub(crate) fn forget(&mut self) {
        self.promises.clear();
        self.asks.clear();
        self.asked_since.clear();
    }

    /// Asks `successors` for promises when that is due.
    pub(crate) fn ask(
        &mut self,
        now: ClockTime,
        slot: u16,
        successors: impl IntoIterator<Item = VmName>,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        if now < self.ask_at {
            return;
        }
        self.ask_at = now.plus_ms(settings.promise_ms / 4);
        self.seq += 1;
        self.asks.insert(self.seq, now);
        let oldest = now.minus_ms(settings.promise_ms);
        self.asks.retain(|_, asked_at| *asked_at >= oldest);
        for vm in successors {
            self.asked_since.entry(vm.clone()).or_insert(now);
            let seq = self.seq;
            actions.push(RateAction::Send(vm, RateMessage::AskPromise { slot, seq }));
        }
    }

    /// Takes in a promise, whose life counts from when it was asked for.
    pub(crate) fn receive(&mut self, by: VmName, seq: u64, settings: &RateSettings) {
        let Some(asked_at) = self.asks.get(&seq) else {
            return;
        };
        let until = asked_at.plus_ms(settings.shorter_ms(settings.promise_ms));
        let promise = self.promises.entry(by).or_insert(until);
        *promise = until.max(*promise);
    }

    /// Tells whether the promise of `vm` holds at `now`.
    pub(crate) fn is_promised(&self, now: ClockTime, vm: &VmName) -> bool {
        self.promises.get(vm).is_some_and(|until| now < *until)
    }

    /// Tells whether `vm` was asked and its promise is missing or about to lapse.
    pub(crate) fn is_silent(&self, now: ClockTime, vm: &VmName, settings: &RateSettings) -> bool {
        let until = self.promises.get(vm);
        let is_ending = |until: &ClockTime| now.until_ms(*until) < settings.promise_ms / 3;
        let asked_since = self.asked_since.get(vm);
        let is_overdue = |since: &ClockTime| now.since_ms(*since) >= settings.promise_ms / 2;
        until.is_none_or(is_ending) && asked_since.is_some_and(is_overdue)
    }
}
