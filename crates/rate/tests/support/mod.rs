//! A simulated fleet in virtual time with seeded faults, and the exact token bucket that it is
//! checked against.
#![allow(dead_code, reason = "each test file uses only some items")]

pub mod lease_model;
pub mod naive;
pub mod simulation;

use std::collections::BTreeMap;

use clock::ClockTime;
use lentilshift_rate::{
    RateAction, RateDecision, RateMessage, RateRecord, RateSettings, TeamLimiter, TeamRate,
};
use model::{CentreName, TeamName, VmName};

pub type Contract = BTreeMap<TeamName, TeamRate>;
pub type Members = BTreeMap<VmName, CentreName>;

/// An action that a node under test requests from the simulation.
pub enum SimAction<M> {
    Send(VmName, M),
    Append(RateRecord),
}

/// A limiter that the simulation can run: the real one or a naive one.
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
    /// Returns whether waiting requests should be decided again.
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

/// A single token bucket for the whole fleet, full at the start.
#[derive(Clone, Debug)]
pub struct ExactBucket {
    rate: TeamRate,
    thousandths: u64,
    refilled_at: u64,
}

impl ExactBucket {
    pub fn new(rate: TeamRate) -> Self {
        Self {
            rate,
            thousandths: u64::from(rate.burst) * 1_000,
            refilled_at: 0,
        }
    }

    /// Takes one token at `now_ms`, or returns `false` if there is none.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let refilled = (now_ms - self.refilled_at) * u64::from(self.rate.rate_per_s);
        self.thousandths = (self.thousandths + refilled).min(u64::from(self.rate.burst) * 1_000);
        self.refilled_at = now_ms;
        let has_token = self.thousandths >= 1_000;
        self.thousandths -= if has_token { 1_000 } else { 0 };
        has_token
    }
}

/// Counts the admissions at `times_ms` that exceed rate and burst in some window.
pub fn excess(rate: TeamRate, times_ms: &[u64]) -> usize {
    let mut bucket = ExactBucket::new(rate);
    times_ms.iter().filter(|time| !bucket.take(**time)).count()
}

/// Returns the settings of a node on the users' platform, whose log retains records for 20 s.
pub fn platform_settings() -> RateSettings {
    RateSettings {
        abandon_ms: 4_500,
        snapshot_ms: 5_000,
        wait_ms: 250,
        ..RateSettings::default()
    }
}

/// Returns the number of seeds to run: `LENTILSHIFT_SEEDS` or else `default`.
pub fn seeds(default: u64) -> u64 {
    number_from_env("LENTILSHIFT_SEEDS", default)
}

/// Returns the number in an environment variable, or else `default`.
pub fn number_from_env(name: &str, default: u64) -> u64 {
    let raised = std::env::var(name).ok();
    raised.and_then(|text| text.parse().ok()).unwrap_or(default)
}
