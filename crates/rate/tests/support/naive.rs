use std::collections::BTreeMap;

use clock::ClockTime;
use lentilshift_rate::{RateDecision, TeamRate};
use model::{CentreName, TeamName, VmName};

use super::{Contract, ExactBucket, Members, SimAction, SimNode};

const REFUSE: RateDecision = RateDecision::Refuse {
    retry_after_ms: 100,
};

type Buckets = BTreeMap<TeamName, ExactBucket>;

fn buckets(contract: &Contract, shares: u32) -> Buckets {
    let share = |rate: &TeamRate| TeamRate {
        rate_per_s: rate.rate_per_s / shares,
        burst: rate.burst / shares,
    };
    let bucket = |rate| ExactBucket::new(share(rate));
    contract
        .iter()
        .map(|(team, rate)| (team.clone(), bucket(rate)))
        .collect()
}

fn take(buckets: &mut Buckets, now: ClockTime, team: &TeamName) -> RateDecision {
    let has_token = buckets
        .get_mut(team)
        .is_some_and(|bucket| bucket.take(now.as_ms()));
    if has_token {
        RateDecision::Admit
    } else {
        REFUSE
    }
}

/// A naive limiter that gives every node a fixed, equal share of each rate.
pub struct FixedNode {
    contract: Contract,
    buckets: Buckets,
}

impl FixedNode {
    pub fn new(_vm: VmName, _centre: CentreName) -> Self {
        Self {
            contract: Contract::new(),
            buckets: Buckets::new(),
        }
    }
}

impl SimNode for FixedNode {
    type Message = ();

    fn admit(&mut self, now: ClockTime, team: &TeamName, _is_first: bool) -> RateDecision {
        take(&mut self.buckets, now, team)
    }
    fn next_poll(&self) -> ClockTime {
        ClockTime::from_ms(u64::MAX)
    }
    fn poll(&mut self, _now: ClockTime, _actions: &mut Vec<SimAction<()>>) {}
    fn receive(&mut self, _: ClockTime, _: &VmName, (): (), _: &mut Vec<SimAction<()>>) {}
    fn set_members(&mut self, _now: ClockTime, members: &Members) {
        self.buckets = buckets(&self.contract, u32::try_from(members.len()).unwrap());
    }
    fn set_contract(&mut self, _now: ClockTime, contract: &Contract, _version: u64) {
        self.contract = contract.clone();
    }
}

/// A naive limiter that sends its admissions to all others, each of which takes them from its own
/// bucket.
pub struct GossipNode {
    vm: VmName,
    members: Members,
    buckets: Buckets,
    admissions: Vec<TeamName>,
    polled_at: ClockTime,
}

impl GossipNode {
    pub fn new(vm: VmName, _centre: CentreName) -> Self {
        Self {
            vm,
            members: Members::new(),
            buckets: Buckets::new(),
            admissions: Vec::new(),
            polled_at: ClockTime::ZERO,
        }
    }
}

impl SimNode for GossipNode {
    type Message = Vec<TeamName>;

    fn admit(&mut self, now: ClockTime, team: &TeamName, _is_first: bool) -> RateDecision {
        let decision = take(&mut self.buckets, now, team);
        if decision == RateDecision::Admit {
            self.admissions.push(team.clone());
        }
        decision
    }
    fn next_poll(&self) -> ClockTime {
        self.polled_at.plus_ms(10)
    }
    fn poll(&mut self, now: ClockTime, actions: &mut Vec<SimAction<Self::Message>>) {
        self.polled_at = now;
        let admissions = std::mem::take(&mut self.admissions);
        let others = self
            .members
            .keys()
            .filter(|vm| **vm != self.vm && !admissions.is_empty());
        actions.extend(others.map(|vm| SimAction::Send(vm.clone(), admissions.clone())));
    }
    fn receive(
        &mut self,
        now: ClockTime,
        _from: &VmName,
        admissions: Self::Message,
        _actions: &mut Vec<SimAction<Self::Message>>,
    ) {
        for team in admissions {
            take(&mut self.buckets, now, &team);
        }
    }
    fn set_members(&mut self, _now: ClockTime, members: &Members) {
        self.members = members.clone();
    }
    fn set_contract(&mut self, _now: ClockTime, contract: &Contract, _version: u64) {
        self.buckets = buckets(contract, 1);
    }
}

/// Messages of [`FailoverNode`].
#[derive(Clone)]
pub enum FailoverMessage {
    Heartbeat,
    Take(TeamName),
    Token(TeamName),
}

/// A naive limiter that requests each token from a leader; the next node in order becomes leader
/// after a second without a heartbeat.
pub struct FailoverNode {
    vm: VmName,
    members: Members,
    buckets: Buckets,
    tokens: BTreeMap<TeamName, u32>,
    pending_requests: Vec<TeamName>,
    last_heartbeats: BTreeMap<VmName, ClockTime>,
    started_at: Option<ClockTime>,
    polled_at: ClockTime,
}

impl FailoverNode {
    pub fn new(vm: VmName, _centre: CentreName) -> Self {
        Self {
            vm,
            members: Members::new(),
            buckets: Buckets::new(),
            tokens: BTreeMap::new(),
            pending_requests: Vec::new(),
            last_heartbeats: BTreeMap::new(),
            started_at: None,
            polled_at: ClockTime::ZERO,
        }
    }

    fn leader(&self, now: ClockTime) -> VmName {
        let start = self.started_at.unwrap_or(now);
        let is_live = |vm: &&VmName| {
            let last_heartbeat = self.last_heartbeats.get(*vm).copied().unwrap_or(start);
            **vm == self.vm || now.since_ms(last_heartbeat) < 1_000
        };
        self.members
            .keys()
            .find(is_live)
            .unwrap_or(&self.vm)
            .clone()
    }
}

impl SimNode for FailoverNode {
    type Message = FailoverMessage;

    fn admit(&mut self, now: ClockTime, team: &TeamName, is_first: bool) -> RateDecision {
        if self.leader(now) == self.vm {
            return take(&mut self.buckets, now, team);
        }
        let tokens = self.tokens.entry(team.clone()).or_default();
        if *tokens > 0 {
            *tokens -= 1;
            return RateDecision::Admit;
        }
        if is_first {
            self.pending_requests.push(team.clone());
        }
        RateDecision::Wait { wait_ms: 20 }
    }
    fn next_poll(&self) -> ClockTime {
        self.polled_at.plus_ms(1)
    }
    fn poll(&mut self, now: ClockTime, actions: &mut Vec<SimAction<FailoverMessage>>) {
        self.started_at.get_or_insert(now);
        self.polled_at = now;
        let leader = self.leader(now);
        for team in std::mem::take(&mut self.pending_requests) {
            actions.push(SimAction::Send(leader.clone(), FailoverMessage::Take(team)));
        }
        if now.as_ms().is_multiple_of(200) {
            let others = self.members.keys().filter(|vm| **vm != self.vm);
            actions
                .extend(others.map(|vm| SimAction::Send(vm.clone(), FailoverMessage::Heartbeat)));
        }
    }
    fn receive(
        &mut self,
        now: ClockTime,
        from: &VmName,
        message: FailoverMessage,
        actions: &mut Vec<SimAction<FailoverMessage>>,
    ) {
        match message {
            FailoverMessage::Heartbeat => {
                self.last_heartbeats.insert(from.clone(), now);
            }
            FailoverMessage::Token(team) => *self.tokens.entry(team).or_default() += 1,
            FailoverMessage::Take(team) => {
                if take(&mut self.buckets, now, &team) == RateDecision::Admit {
                    actions.push(SimAction::Send(from.clone(), FailoverMessage::Token(team)));
                }
            }
        }
    }
    fn set_members(&mut self, _now: ClockTime, members: &Members) {
        self.members = members.clone();
    }
    fn set_contract(&mut self, _now: ClockTime, contract: &Contract, _version: u64) {
        self.buckets = buckets(contract, 1);
    }
}
