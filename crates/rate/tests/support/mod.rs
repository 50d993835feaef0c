//! A fleet in virtual time with seeded faults, and the exact bucket that it is checked against.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod naive;
pub mod world;

use std::collections::BTreeMap;

use clock::ClockTime;
use lentilshift_rate::{RateAction, RateDecision, RateMessage, RateRecord, TeamLimiter, TeamRate};
use model::{CentreName, TeamName, VmName};

pub type Contract = BTreeMap<TeamName, TeamRate>;
pub type Members = BTreeMap<VmName, CentreName>;

/// What a node under test wants done.
pub enum SimAction<M> {
    Send(VmName, M),
    Append(RateRecord),
}

/// A limiter that the fleet can run: ours or a naive one.
pub trait SimNode {
    type Message: Clone;

    fn admit(&mut self, now: ClockTime, team: &TeamName, is_first: bool) -> RateDecision;
    fn next_poll(&self) -> ClockTime;
    fn poll(&mut self, now: ClockTime, actions: &mut Vec<SimAction<Self::Message>>);
    fn receive(
        &mut self,
        now: ClockTime,
        from: &VmName,
        message: Self::Message,
        actions: &mut Vec<SimAction<Self::Message>>,
    );
    fn set_members(&mut self, now: ClockTime, members: &Members);
    fn set_contract(&mut self, now: ClockTime, contract: &Contract, version: u64);
    fn receive_record(&mut self, _now: ClockTime, _offset: u64, _record: &RateRecord) {}
    fn lose_before(&mut self, _first: u64) {}
    fn log_caught_up(&mut self, _now: ClockTime) {}
    /// Tells whether requests that wait may get a decision.
    fn take_wake_up(&mut self) -> bool {
        true
    }
}

fn convert(actions: Vec<RateAction>) -> impl Iterator<Item = SimAction<RateMessage>> {
    actions.into_iter().map(|action| match action {
        RateAction::Send(to, message) => SimAction::Send(to, message),
        RateAction::Append(record) => SimAction::Append(record),
    })
}

impl SimNode for TeamLimiter {
    type Message = RateMessage;

    fn admit(&mut self, now: ClockTime, team: &TeamName, is_first: bool) -> RateDecision {
        if is_first {
            Self::admit(self, now, team)
        } else {
            self.admit_again(now, team)
        }
    }

    fn next_poll(&self) -> ClockTime {
        Self::next_poll(self)
    }

    fn poll(&mut self, now: ClockTime, actions: &mut Vec<SimAction<RateMessage>>) {
        let mut raised = Vec::new();
        Self::poll(self, now, &mut raised);
        actions.extend(convert(raised));
    }

    fn receive(
        &mut self,
        now: ClockTime,
        from: &VmName,
        message: RateMessage,
        actions: &mut Vec<SimAction<RateMessage>>,
    ) {
        let mut raised = Vec::new();
        Self::receive(self, now, from, message, &mut raised);
        actions.extend(convert(raised));
    }

    fn set_members(&mut self, _now: ClockTime, members: &Members) {
        Self::set_members(self, members.clone());
    }

    fn set_contract(&mut self, _now: ClockTime, contract: &Contract, version: u64) {
        Self::set_contract(self, contract.clone(), version);
    }

    fn receive_record(&mut self, now: ClockTime, offset: u64, record: &RateRecord) {
        Self::receive_record(self, now, offset, record);
    }

    fn lose_before(&mut self, first: u64) {
        Self::lose_before(self, first);
    }

    fn log_caught_up(&mut self, now: ClockTime) {
        Self::log_caught_up(self, now);
    }

    fn take_wake_up(&mut self) -> bool {
        Self::take_wake_up(self)
    }
}

/// One bucket for the whole fleet, full at the start.
#[derive(Clone, Debug)]
pub struct ExactBucket {
    rate: TeamRate,
    thousandths: u64,
    filled_at: u64,
}

impl ExactBucket {
    pub fn new(rate: TeamRate) -> Self {
        Self {
            rate,
            thousandths: u64::from(rate.burst) * 1_000,
            filled_at: 0,
        }
    }

    /// Takes one token at `now_ms`, or tells that there is none.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let income = (now_ms - self.filled_at) * u64::from(self.rate.rate_per_s);
        self.thousandths = (self.thousandths + income).min(u64::from(self.rate.burst) * 1_000);
        self.filled_at = now_ms;
        let is_there = self.thousandths >= 1_000;
        self.thousandths -= if is_there { 1_000 } else { 0 };
        is_there
    }
}

/// Counts the admissions in `times_ms` that exceed rate and burst in some window.
pub fn excess(rate: TeamRate, times_ms: &[u64]) -> usize {
    let mut bucket = ExactBucket::new(rate);
    times_ms.iter().filter(|time| !bucket.take(**time)).count()
}

/// Returns how many seeds to run.
pub fn seeds(in_ci: u64) -> u64 {
    let raised = std::env::var("LENTILSHIFT_SEEDS").ok();
    raised.and_then(|text| text.parse().ok()).unwrap_or(in_ci)
}
