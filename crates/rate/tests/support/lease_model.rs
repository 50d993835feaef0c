//! A few nodes of one data centre that share a slot, in steps of virtual time, as a model whose
//! states can be searched.

use std::collections::{BTreeMap, VecDeque};

use clock::ClockTime;
use lentilshift_rate::{
    RateAction, RateDecision, RateMessage, RateRecord, RateSettings, TeamLimiter, TeamRate,
};
use model::{CentreName, TeamName, VmName};
use search::SearchModel;

use super::{ExactBucket, platform_settings};

/// The length of a step, in milliseconds.
const STEP_MS: u64 = 250;
/// The time between two reads of the log by a node, in milliseconds.
const READ_INTERVAL_MS: u64 = 1_000;
/// The time until the other nodes learn of a start or a loss, in milliseconds.
const MEMBERS_DELAY_MS: u64 = 1_000;
/// How long a frozen node doesn't run, in milliseconds.
const FREEZE_MS: u64 = 3_000;
/// The time for nodes to claim the lease before the search starts, in milliseconds.
const WARM_UP_MS: u64 = 8_000;
/// The time from the start of the search in which faults happen, in milliseconds.
const FAULTS_MS: u64 = 2_000;
/// The time after the last fault by which tokens have to be granted again, in milliseconds.
const RESUME_MS: u64 = 15_000;
/// The time for which grants are checked after [`RESUME_MS`], in milliseconds.
const RESUMED_MS: u64 = 3_000;
/// The time from the start of the search in which the log goes back, in milliseconds.
const RETURNS_MS: u64 = 5_000;
/// The time from the start of the search in which other faults happen when the log also goes back,
/// in milliseconds.
const FAULTS_BESIDE_RETURN_MS: u64 = 500;
/// The longest time for which no node may grant tokens while all run, in milliseconds.
const MAX_GAP_MS: u64 = 1_000;
/// How much of the log is lost when it goes back, in milliseconds: less than a take-over takes, more
/// than that, and all.
const LOST_MS: [u64; 3] = [1_000, 4_000, 60_000];
/// The rate and burst of the only team.
const RATE: TeamRate = TeamRate {
    rate_per_s: 40,
    burst: 20,
};
/// The requests that arrive at each node in one step, far more than the rate.
const REQUESTS: usize = 8;

fn centre() -> CentreName {
    CentreName::new("dc-0")
}

fn team() -> TeamName {
    TeamName::new("team")
}

/// The property to be searched for violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseProperty {
    /// At most one node may grant tokens.
    OneAllocator,
    /// No window admits more than rate and burst.
    WithinRate,
    /// Some node grants tokens from [`RESUME_MS`] after the last fault on.
    GrantsResume,
    /// Some node may grant tokens at any time, but for [`MAX_GAP_MS`].
    GrantsGoOn,
}

/// What happens in one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// No fault.
    Step,
    /// A node is lost for good.
    Lose(VmName),
    /// A node ends and is started anew.
    Restart(VmName),
    /// A node doesn't run for a while.
    Freeze(VmName),
    /// A node reads the log one interval late.
    LateRead(VmName),
    /// The log refuses the records of a node.
    RefuseAppends(VmName),
    /// Messages from one node to another are lost.
    LoseMessages(VmName, VmName),
    /// Messages from one node to another arrive in the next step, after newer ones.
    DelayMessages(VmName, VmName),
    /// Messages from one node to another arrive again in the next step.
    RepeatMessages(VmName, VmName),
    /// The log comes back without the records of the last milliseconds.
    LogWentBack(u64),
}

/// The model of a slot's lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseModel {
    /// The number of nodes.
    pub nodes: usize,
    /// The largest number of faults in a sequence.
    pub faults: u64,
    /// The property that is checked.
    pub property: LeaseProperty,
    /// The drift of the clocks from the start of the search on, in parts per million; every other
    /// clock is fast, the rest are slow.
    pub drift_ppm: u64,
    /// How often the log goes back in a sequence.
    pub returns: u64,
    /// Whether nodes notice that the log has gone back, and read it again.
    pub notices_return: bool,
}

impl Default for LeaseModel {
    fn default() -> Self {
        Self {
            nodes: 3,
            faults: 1,
            property: LeaseProperty::OneAllocator,
            drift_ppm: RateSettings::default().drift_ppm,
            returns: 0,
            notices_return: true,
        }
    }
}

/// A node in a state of the model.
#[derive(Clone, Debug)]
pub struct LeaseNode {
    limiter: TeamLimiter,
    is_fast: bool,
    drift_ppm: u64,
    read: usize,
    read_at_ms: u64,
    era: u64,
    frozen_until_ms: u64,
}

impl LeaseNode {
    fn time(&self, now_ms: u64) -> ClockTime {
        let drift_ms = now_ms.saturating_sub(WARM_UP_MS) * self.drift_ppm / 1_000_000;
        ClockTime::from_ms(if self.is_fast {
            now_ms + drift_ms
        } else {
            now_ms - drift_ms
        })
    }
}

/// A message on its way.
#[derive(Clone, Debug)]
struct ModelMessage {
    from: VmName,
    to: VmName,
    message: RateMessage,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct LeaseState {
    now_ms: u64,
    nodes: BTreeMap<VmName, LeaseNode>,
    /// The records and when they were appended.
    log: Vec<(u64, RateRecord)>,
    /// How often the log has gone back.
    era: u64,
    notices_return: bool,
    late: Vec<ModelMessage>,
    /// When the nodes learn of the current members.
    members_at_ms: Option<u64>,
    bucket: ExactBucket,
    is_exceeded: bool,
    /// When some node last might grant tokens.
    granted_at_ms: u64,
    faults: u64,
    fault_at_ms: u64,
    starts: u64,
}

impl LeaseState {
    fn start(&mut self, name: &str, drift_ppm: u64) {
        self.starts += 1;
        let vm = VmName::new(format!("{name}.{}", self.starts));
        let mut limiter = TeamLimiter::new(vm.clone(), centre(), platform_settings());
        limiter.set_contract([(team(), RATE)], 1);
        let node = LeaseNode {
            limiter,
            is_fast: self.starts.is_multiple_of(2),
            drift_ppm,
            read: 0,
            read_at_ms: self.now_ms,
            era: self.era,
            frozen_until_ms: 0,
        };
        self.nodes.insert(vm.clone(), node);
        let members = self.members();
        let node = self.nodes.get_mut(&vm);
        node.unwrap().limiter.set_members(members);
        self.members_at_ms = Some(self.now_ms + MEMBERS_DELAY_MS);
    }

    fn lose(&mut self, vm: &VmName) {
        self.nodes.remove(vm);
        self.members_at_ms = Some(self.now_ms + MEMBERS_DELAY_MS);
    }

    fn members(&self) -> Vec<(VmName, CentreName)> {
        self.nodes.keys().map(|vm| (vm.clone(), centre())).collect()
    }

    /// Returns the nodes that run.
    fn running(&self) -> Vec<VmName> {
        let running = self
            .nodes
            .iter()
            .filter(|(_, node)| node.frozen_until_ms <= self.now_ms);
        running.map(|(vm, _)| vm.clone()).collect()
    }

    /// Counts the nodes that may grant tokens by their own clocks.
    fn granting<'a>(&self, vms: impl IntoIterator<Item = &'a VmName>) -> usize {
        let nodes = vms.into_iter().filter_map(|vm| self.nodes.get(vm));
        nodes
            .filter(|node| node.limiter.allocated_slots(node.time(self.now_ms)) > 0)
            .count()
    }

    fn step(&mut self, event: &LeaseEvent) {
        if self
            .members_at_ms
            .take_if(|at_ms| *at_ms <= self.now_ms)
            .is_some()
        {
            let members = self.members();
            for node in self.nodes.values_mut() {
                node.limiter.set_members(members.clone());
            }
        }
        let mut messages: VecDeque<ModelMessage> = std::mem::take(&mut self.late).into();
        let running = self.running();
        self.deliver(&mut messages, &LeaseEvent::Step);
        for vm in &running {
            self.read_log(vm);
            self.poll(vm, event, &mut messages);
        }
        self.deliver(&mut messages, event);
        self.send_requests(&running, event);
    }

    fn read_log(&mut self, vm: &VmName) {
        let now_ms = self.now_ms;
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if node.read_at_ms > now_ms {
            return;
        }
        let now = node.time(now_ms);
        if node.era != self.era && self.notices_return {
            node.limiter.go_back(now);
            node.read = 0;
        }
        node.era = self.era;
        for (offset, (_, record)) in self.log.iter().enumerate().skip(node.read) {
            node.limiter.receive_record(now, offset as u64, record);
        }
        node.read = node.read.max(self.log.len());
        node.read_at_ms = now_ms + READ_INTERVAL_MS;
        node.limiter.log_caught_up(now);
    }

    fn poll(&mut self, vm: &VmName, event: &LeaseEvent, messages: &mut VecDeque<ModelMessage>) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        let now = node.time(self.now_ms);
        let mut actions = Vec::new();
        if node.limiter.next_poll() <= now {
            node.limiter.poll(now, &mut actions);
        }
        self.execute(vm, actions, event, messages);
    }

    fn execute(
        &mut self,
        vm: &VmName,
        actions: Vec<RateAction>,
        event: &LeaseEvent,
        messages: &mut VecDeque<ModelMessage>,
    ) {
        for action in actions {
            match action {
                RateAction::Send(to, message) => messages.push_back(ModelMessage {
                    from: vm.clone(),
                    to,
                    message,
                }),
                RateAction::Append(_) if *event == LeaseEvent::RefuseAppends(vm.clone()) => {}
                RateAction::Append(record) => self.log.push((self.now_ms, record)),
            }
        }
    }

    /// Delivers messages and their answers, but for those that the event loses or delays.
    fn deliver(&mut self, messages: &mut VecDeque<ModelMessage>, event: &LeaseEvent) {
        while let Some(sent) = messages.pop_front() {
            let is_between = |from: &VmName, to: &VmName| (from, to) == (&sent.from, &sent.to);
            match event {
                LeaseEvent::LoseMessages(from, to) if is_between(from, to) => continue,
                LeaseEvent::DelayMessages(from, to) if is_between(from, to) => {
                    self.late.push(sent);
                    continue;
                }
                LeaseEvent::RepeatMessages(from, to) if is_between(from, to) => {
                    self.late.push(sent.clone());
                }
                _ => {}
            }
            let Some(node) = self.nodes.get_mut(&sent.to) else {
                continue;
            };
            if node.frozen_until_ms > self.now_ms {
                self.late.push(sent);
                continue;
            }
            let now = node.time(self.now_ms);
            let mut actions = Vec::new();
            node.limiter
                .receive(now, &sent.from, sent.message, &mut actions);
            self.execute(&sent.to, actions, event, messages);
        }
    }

    /// Sends requests to all nodes; those that wait for tokens are given up at the end of the step.
    fn send_requests(&mut self, running: &[VmName], event: &LeaseEvent) {
        let mut messages = VecDeque::new();
        let mut waiting = Vec::new();
        for vm in running {
            for _ in 0..REQUESTS {
                if self.admit(vm, TeamLimiter::admit) {
                    waiting.push(vm.clone());
                }
            }
            self.poll(vm, event, &mut messages);
        }
        self.deliver(&mut messages, event);
        for vm in waiting {
            if self.admit(&vm, TeamLimiter::admit_again) {
                let node = self.nodes.get_mut(&vm).unwrap();
                node.limiter.stop_waiting(&team());
            }
        }
    }

    /// Decides on a request and returns whether it waits.
    fn admit(
        &mut self,
        vm: &VmName,
        decide: fn(&mut TeamLimiter, ClockTime, &TeamName) -> RateDecision,
    ) -> bool {
        let node = self.nodes.get_mut(vm).unwrap();
        let now = node.time(self.now_ms);
        match decide(&mut node.limiter, now, &team()) {
            RateDecision::Admit => {
                self.is_exceeded |= !self.bucket.take(self.now_ms);
                false
            }
            RateDecision::Wait { .. } => true,
            RateDecision::Refuse { .. } => false,
        }
    }
}

impl SearchModel for LeaseModel {
    type State = LeaseState;
    type Event = LeaseEvent;

    fn initial(&self) -> LeaseState {
        let mut state = LeaseState {
            now_ms: 0,
            nodes: BTreeMap::new(),
            log: Vec::new(),
            era: 0,
            notices_return: self.notices_return,
            late: Vec::new(),
            members_at_ms: None,
            bucket: ExactBucket::new(RATE),
            is_exceeded: false,
            granted_at_ms: 0,
            faults: 0,
            fault_at_ms: WARM_UP_MS,
            starts: 0,
        };
        for index in 0..self.nodes {
            state.start(&format!("vm-{index}"), self.drift_ppm);
        }
        while state.now_ms < WARM_UP_MS {
            self.apply(&mut state, &LeaseEvent::Step);
        }
        state
    }

    fn events(&self, state: &LeaseState) -> Vec<LeaseEvent> {
        let is_checked = state.now_ms < state.fault_at_ms + RESUME_MS + RESUMED_MS;
        let faults_ms = if self.returns > 0 {
            FAULTS_BESIDE_RETURN_MS
        } else {
            FAULTS_MS
        };
        let faults = state.faults - state.era;
        let has_faults = faults < self.faults && state.now_ms < WARM_UP_MS + faults_ms;
        let has_returns = state.era < self.returns && state.now_ms < WARM_UP_MS + RETURNS_MS;
        if !is_checked || (!has_faults && !has_returns && state.faults == 0) {
            return Vec::new();
        }
        let mut events = vec![LeaseEvent::Step];
        if has_returns {
            events.extend(LOST_MS.map(LeaseEvent::LogWentBack));
        }
        if !has_faults {
            return events;
        }
        for vm in state.nodes.keys() {
            if state.nodes.len() > 1 {
                events.push(LeaseEvent::Lose(vm.clone()));
            }
            events.extend([
                LeaseEvent::Restart(vm.clone()),
                LeaseEvent::Freeze(vm.clone()),
                LeaseEvent::LateRead(vm.clone()),
                LeaseEvent::RefuseAppends(vm.clone()),
            ]);
            for to in state.nodes.keys().filter(|to| *to != vm) {
                events.extend([
                    LeaseEvent::LoseMessages(vm.clone(), to.clone()),
                    LeaseEvent::DelayMessages(vm.clone(), to.clone()),
                    LeaseEvent::RepeatMessages(vm.clone(), to.clone()),
                ]);
            }
        }
        events
    }

    fn apply(&self, state: &mut LeaseState, event: &LeaseEvent) {
        state.now_ms += STEP_MS;
        if *event != LeaseEvent::Step {
            state.faults += 1;
            state.fault_at_ms = state.now_ms;
        }
        match event {
            LeaseEvent::Lose(vm) => state.lose(vm),
            LeaseEvent::Restart(vm) => {
                state.lose(vm);
                state.start(vm.without_start(), self.drift_ppm);
            }
            LeaseEvent::Freeze(vm) => {
                let node = state.nodes.get_mut(vm).unwrap();
                node.frozen_until_ms = state.now_ms + FREEZE_MS;
            }
            LeaseEvent::LateRead(vm) => {
                let node = state.nodes.get_mut(vm).unwrap();
                node.read_at_ms += READ_INTERVAL_MS;
            }
            LeaseEvent::LogWentBack(lost_ms) => {
                let until_ms = state.now_ms.saturating_sub(*lost_ms);
                state.log.retain(|(at_ms, _)| *at_ms <= until_ms);
                state.era += 1;
            }
            _ => {}
        }
        state.step(event);
        if state.granting(&state.running()) > 0 {
            state.granted_at_ms = state.now_ms;
        }
    }

    fn violation(&self, state: &LeaseState) -> Option<String> {
        let is_due = state.now_ms >= state.fault_at_ms + RESUME_MS;
        match self.property {
            LeaseProperty::OneAllocator if state.granting(state.nodes.keys()) > 1 => {
                Some("two nodes grant the same tokens".to_owned())
            }
            LeaseProperty::WithinRate if state.is_exceeded => {
                Some("more is admitted than rate and burst allow".to_owned())
            }
            LeaseProperty::GrantsResume if is_due && state.granting(&state.running()) == 0 => Some(
                format!("no node grants tokens {RESUME_MS} ms after the last fault"),
            ),
            LeaseProperty::GrantsGoOn if state.now_ms - state.granted_at_ms > MAX_GAP_MS => Some(
                format!("no node has granted tokens for more than {MAX_GAP_MS} ms"),
            ),
            _ => None,
        }
    }
}
