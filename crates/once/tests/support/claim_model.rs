//! Two nodes that receive calls with the same key, and a log that comes back without its last
//! records, as a model whose states can be searched.

use std::collections::BTreeMap;

use clock::ClockTime;
use lentilshift_once::{
    CallFingerprint, ClaimAction, ClaimOutcome, ClaimRecord, ClaimTable, KeyDigest, OnceRequest,
    OnceSettings,
};
use model::{AttemptId, VmName};
use search::SearchModel;

/// The length of a step, in milliseconds.
const STEP_MS: u64 = 500;
/// The time in which calls arrive and faults happen, in milliseconds.
const EVENTS_MS: u64 = 3_500;
/// The time after which a sequence ends, in milliseconds.
const END_MS: u64 = 9_000;
/// How much of the log is lost, in milliseconds: the records of the last steps, and all.
const LOST_MS: [u64; 2] = [1_000, 60_000];
/// By how many steps a node may notice later than others that the log has gone back.
const LATE_STEPS: u64 = 2;
/// How many steps a running call takes.
const RUN_STEPS: u64 = 1;

/// What happens in one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// Nothing special.
    Step,
    /// A call with the key arrives at a node.
    Begin(VmName),
    /// A node reads nothing in this step.
    LateRead(VmName),
    /// The appends of a node arrive one step later than others.
    LateAppend(VmName),
    /// The log comes back without the records of the last milliseconds, and a node notices that
    /// [`LATE_STEPS`] later than others.
    LogWentBack(u64, Option<VmName>),
}

/// The model of one key.
#[derive(Clone, Copy, Debug)]
pub struct ClaimModel {
    /// The most calls in a sequence.
    pub calls: u64,
    /// The most faults in a sequence, besides the return of the log.
    pub faults: u64,
    /// Whether nodes notice that the log has gone back.
    pub notices_return: bool,
    /// How long keys without a known claim can't be claimed after that, in milliseconds.
    pub guard_ms: u64,
}

/// A node in a state of the model.
#[derive(Clone, Debug)]
struct ClaimNode {
    table: ClaimTable,
    read: usize,
    era: u64,
    reads_from_ms: u64,
    running: Vec<(AttemptId, u64)>,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct ClaimState {
    now_ms: u64,
    nodes: BTreeMap<VmName, ClaimNode>,
    /// The records and when they were appended.
    log: Vec<(u64, ClaimRecord)>,
    /// The appends on their way, and when they arrive.
    sent: Vec<(u64, ClaimRecord)>,
    era: u64,
    calls: u64,
    faults: u64,
    /// How often a call with the key was started.
    pub runs: u64,
}

impl ClaimState {
    const fn now(&self) -> ClockTime {
        ClockTime::from_ms(self.now_ms)
    }

    fn step(&mut self, event: &ClaimEvent, notices_return: bool) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.sent = later;
        self.log.extend::<Vec<_>>(due);
        let vms: Vec<VmName> = self.nodes.keys().cloned().collect();
        for vm in vms {
            let mut actions = Vec::new();
            if *event == ClaimEvent::Begin(vm.clone()) {
                self.begin(&vm, &mut actions);
            }
            if *event != ClaimEvent::LateRead(vm.clone()) {
                self.read_log(&vm, notices_return, &mut actions);
            }
            let now = self.now();
            let node = self.nodes.get_mut(&vm).unwrap();
            let (done, running) = std::mem::take(&mut node.running)
                .into_iter()
                .partition::<Vec<_>, _>(|(_, until_ms)| *until_ms <= now_ms);
            node.running = running;
            for (attempt, _) in done {
                let outcome = ClaimOutcome::MayHaveRun;
                node.table.finish(now, attempt, outcome, &mut actions);
            }
            node.table.poll(now, &mut actions);
            let is_late = *event == ClaimEvent::LateAppend(vm.clone());
            self.execute(&vm, actions, is_late);
        }
    }

    fn begin(&mut self, vm: &VmName, actions: &mut Vec<ClaimAction>) {
        self.calls += 1;
        let now = self.now();
        let request = OnceRequest {
            attempt: AttemptId::from_random(u128::from(self.calls)),
            key: KeyDigest::new(&"team".into(), b"key"),
            fingerprint: CallFingerprint::new(&"file".into(), b"body"),
            deadline: now.plus_ms(3_000),
            key_age_ms: None,
        };
        let node = self.nodes.get_mut(vm).unwrap();
        node.table.begin(now, request, actions);
    }

    fn read_log(&mut self, vm: &VmName, notices_return: bool, actions: &mut Vec<ClaimAction>) {
        let now = self.now();
        let node = self.nodes.get_mut(vm).unwrap();
        if self.now_ms < node.reads_from_ms {
            return;
        }
        if node.era != self.era && notices_return {
            node.table.go_back(now, actions);
            node.read = 0;
        }
        node.era = self.era;
        for (offset, (_, record)) in self.log.iter().enumerate().skip(node.read) {
            node.table
                .receive_record(now, offset as u64, record, actions);
        }
        node.read = node.read.max(self.log.len());
        node.table.log_caught_up(now, actions);
    }

    fn execute(&mut self, vm: &VmName, actions: Vec<ClaimAction>, is_late: bool) {
        let now = self.now();
        let mut queue = actions;
        while !queue.is_empty() {
            let mut next = Vec::new();
            for action in queue {
                match action {
                    ClaimAction::Append(record) => {
                        let steps = 1 + u64::from(is_late);
                        self.sent.push((self.now_ms + steps * STEP_MS, record));
                    }
                    ClaimAction::Run(attempt) => {
                        let until_ms = self.now_ms + RUN_STEPS * STEP_MS;
                        let node = self.nodes.get_mut(vm).unwrap();
                        if node.table.start(now, attempt, &mut next) {
                            node.running.push((attempt, until_ms));
                            self.runs += 1;
                        }
                    }
                    ClaimAction::QueryHolder {
                        attempt,
                        vm: holder,
                        owner,
                        ..
                    } => {
                        let holder = self.nodes.get(&holder);
                        if let Some(reply) = holder.map(|node| node.table.reply_for(owner)) {
                            let node = self.nodes.get_mut(vm).unwrap();
                            node.table
                                .receive_reply(now, attempt, owner, reply, &mut next);
                        }
                    }
                    ClaimAction::Answer(..) | ClaimAction::Refuse(..) => {}
                }
            }
            queue = next;
        }
    }
}

impl SearchModel for ClaimModel {
    type State = ClaimState;
    type Event = ClaimEvent;

    fn initial(&self) -> ClaimState {
        let settings = OnceSettings {
            batch_delay_ms: 0,
            resend_ms: 2_000,
            outage_after_ms: 4_000,
            start_within_ms: 5_000,
            return_guard_ms: self.guard_ms,
            rewrite_ms: 500,
            ..OnceSettings::default()
        };
        let node = |number: u64| {
            let vm = VmName::new(format!("vm-{number}"));
            let now = ClockTime::ZERO;
            let node = ClaimNode {
                table: ClaimTable::new(settings, "filings".into(), vm.clone(), now, 0, number),
                read: 0,
                era: 0,
                reads_from_ms: 0,
                running: Vec::new(),
            };
            (vm, node)
        };
        ClaimState {
            now_ms: 0,
            nodes: (1..=2).map(node).collect(),
            log: Vec::new(),
            sent: Vec::new(),
            era: 0,
            calls: 0,
            faults: 0,
            runs: 0,
        }
    }

    fn events(&self, state: &ClaimState) -> Vec<ClaimEvent> {
        if state.now_ms >= END_MS {
            return Vec::new();
        }
        let mut events = vec![ClaimEvent::Step];
        let has_events = state.now_ms < EVENTS_MS;
        if state.era == 0 && state.calls > 0 && has_events {
            let vms = state.nodes.keys().cloned().map(Some);
            for late in vms.chain([None]) {
                events.extend(LOST_MS.map(|ms| ClaimEvent::LogWentBack(ms, late.clone())));
            }
        }
        for vm in state.nodes.keys() {
            if state.calls < self.calls {
                events.push(ClaimEvent::Begin(vm.clone()));
            }
            if state.faults < self.faults && has_events {
                events.push(ClaimEvent::LateRead(vm.clone()));
                events.push(ClaimEvent::LateAppend(vm.clone()));
            }
        }
        events
    }

    fn apply(&self, state: &mut ClaimState, event: &ClaimEvent) {
        state.now_ms += STEP_MS;
        match event {
            ClaimEvent::Step | ClaimEvent::Begin(_) => {}
            ClaimEvent::LateRead(_) | ClaimEvent::LateAppend(_) => state.faults += 1,
            ClaimEvent::LogWentBack(lost_ms, late) => {
                let until_ms = state.now_ms.saturating_sub(*lost_ms);
                state.log.retain(|(at_ms, _)| *at_ms <= until_ms);
                state.era += 1;
                let late = late.as_ref().and_then(|vm| state.nodes.get_mut(vm));
                if let Some(node) = late {
                    node.reads_from_ms = state.now_ms + LATE_STEPS * STEP_MS;
                }
            }
        }
        state.step(event, self.notices_return);
    }

    fn violation(&self, state: &ClaimState) -> Option<String> {
        (state.runs > 1).then(|| format!("the key has run {} times", state.runs))
    }
}
