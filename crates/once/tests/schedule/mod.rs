//! A seeded simulation in virtual time: nodes, one log, callers, and a record of what the backend
//! servers ran.

pub mod decider;
mod findings;
mod plan;

use std::collections::BTreeMap;

use clock::ClockTime;
use decider::{Actions, Decider};
pub use findings::Findings;
use lentilshift_once::{
    CallFingerprint, ClaimAction, ClaimOutcome, ClaimRecord, HolderReply, KeyDigest, OnceRequest,
    StoredAnswer,
};
use model::{AttemptId, RecordId, RefusalReason, RunVerdict, VmName};
pub use plan::{Faults, Plan, seed_count};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[derive(Clone, Debug)]
enum Event {
    Arrival(usize, OnceRequest),
    Poll(usize),
    Append(usize, ClaimRecord),
    AppendFailed(usize, RecordId),
    Dequeue(usize, AttemptId),
    Finish(usize, AttemptId, ClaimOutcome),
    Disconnect(usize, AttemptId),
    Query(usize, VmName, AttemptId, AttemptId),
    Reply(usize, AttemptId, AttemptId, HolderReply),
    Restart(usize),
    Outage(bool),
}

struct Node<D> {
    vm: VmName,
    starts: u64,
    table: Option<D>,
    paused_until: u64,
}

/// The outcome reported to a caller.
#[derive(Clone, Debug)]
enum Reported {
    Refused(RunVerdict, RefusalReason),
    Answered(StoredAnswer),
}

pub struct Simulation<D> {
    plan: Plan,
    random: SmallRng,
    now: u64,
    next_event: u64,
    events: BTreeMap<(u64, u64), (u64, Event)>,
    nodes: Vec<Node<D>>,
    log: Vec<(u64, ClaimRecord)>,
    log_first: u64,
    log_is_up: bool,
    keys: BTreeMap<AttemptId, KeyDigest>,
    reported: BTreeMap<AttemptId, Reported>,
    /// What the backend servers ran: time, key and attempt.
    ran: Vec<(u64, KeyDigest, AttemptId)>,
    events_at_node_0: u64,
}

impl<D: Decider> Simulation<D> {
    pub fn run(plan: Plan, seed: u64) -> Findings {
        let mut simulation = Self {
            plan,
            random: SmallRng::seed_from_u64(seed),
            now: 0,
            next_event: 0,
            events: BTreeMap::new(),
            nodes: Vec::new(),
            log: Vec::new(),
            log_first: 0,
            log_is_up: true,
            keys: BTreeMap::new(),
            reported: BTreeMap::new(),
            ran: Vec::new(),
            events_at_node_0: 0,
        };
        simulation.initialize();
        let end = plan.span_ms * 2;
        while let Some(((time, _), (start, event))) = simulation.events.pop_first() {
            if time > end {
                break;
            }
            simulation.now = time;
            simulation.step(start, event);
        }
        simulation.evaluate()
    }

    fn initialize(&mut self) {
        for index in 0..self.plan.nodes {
            self.nodes.push(Node {
                vm: VmName::new(""),
                starts: 0,
                table: None,
                paused_until: 0,
            });
            self.restart(index);
        }
        for key in 0..self.plan.keys {
            self.schedule_calls(key);
        }
        if self.plan.faults.outage_ms > 0 {
            let from = self.random.random_range(0..self.plan.span_ms);
            let span = self.random.random_range(0..self.plan.faults.outage_ms);
            self.schedule_global(from, Event::Outage(true));
            self.schedule_global(from + span, Event::Outage(false));
        }
    }

    fn schedule_calls(&mut self, key: u64) {
        let digest = KeyDigest::new(&"team".into(), &key.to_be_bytes());
        let first = self.random.random_range(0..self.plan.span_ms);
        let mut time = first;
        for _ in 0..self.plan.duplicates {
            let attempt = AttemptId::from_random(self.random.random());
            let node = self.random.random_range(0..self.plan.nodes);
            let wait_ms = self.random.random_range(200..4_000);
            let request = OnceRequest {
                attempt,
                key: digest,
                fingerprint: CallFingerprint::new(&"file".into(), &key.to_be_bytes()),
                deadline: ClockTime::from_ms(time + wait_ms),
                key_age_ms: None,
            };
            self.keys.insert(attempt, digest);
            self.schedule_global(time, Event::Arrival(node, request));
            time += match self.random.random_range(0..3) {
                0 => self.random.random_range(0..5),
                1 => self.random.random_range(0..500),
                _ => self.random.random_range(0..self.plan.span_ms / 2),
            };
        }
    }

    fn schedule_global(&mut self, time: u64, event: Event) {
        self.events.insert((time, self.next_event), (0, event));
        self.next_event += 1;
    }

    /// Schedules an event of a node, which is dropped if the node is killed before.
    fn at(&mut self, delay_ms: u64, index: usize, event: Event) {
        let start = self.nodes[index].starts;
        let time = self.now + delay_ms;
        self.events.insert((time, self.next_event), (start, event));
        self.next_event += 1;
    }

    fn step(&mut self, start: u64, event: Event) {
        let index = match &event {
            Event::Outage(is_out) => return self.log_is_up = !is_out,
            Event::Append(index, record) => {
                let (index, record) = (*index, record.clone());
                return self.append(index, start, record);
            }
            Event::Restart(index) => return self.restart(*index),
            Event::Query(from, vm, attempt, owner) => {
                return self.ask(*from, &vm.clone(), *attempt, *owner);
            }
            Event::Arrival(index, _)
            | Event::Poll(index)
            | Event::AppendFailed(index, _)
            | Event::Dequeue(index, _)
            | Event::Finish(index, ..)
            | Event::Disconnect(index, _)
            | Event::Reply(index, ..) => *index,
        };
        if start != 0 && start != self.nodes[index].starts {
            return;
        }
        if self.inject_fault(index) {
            return;
        }
        let paused_until = self.nodes[index].paused_until;
        if paused_until > self.now {
            let time = paused_until + self.random.random_range(0..3);
            self.events.insert((time, self.next_event), (start, event));
            self.next_event += 1;
            return;
        }
        if let Some(mut table) = self.nodes[index].table.take() {
            let mut actions = Vec::new();
            self.handle_event(index, &mut table, event, &mut actions);
            self.nodes[index].table = Some(table);
            for action in actions {
                self.execute(index, action);
            }
        }
    }

    /// Kills or pauses a node at random, and returns whether it was killed.
    fn inject_fault(&mut self, index: usize) -> bool {
        let faults = self.plan.faults;
        self.events_at_node_0 += u64::from(index == 0);
        let is_chosen = index == 0 && faults.kill_at_event == Some(self.events_at_node_0);
        if is_chosen || self.random.random_ratio(faults.kill, 10_000) {
            self.nodes[index].table = None;
            self.nodes[index].starts += 1;
            let delay = self.random.random_range(1..2_000);
            self.at(delay, index, Event::Restart(index));
            return true;
        }
        if self.random.random_ratio(faults.pause, 10_000) {
            let span = self.random.random_range(1..=faults.pause_ms);
            self.nodes[index].paused_until = self.now + span;
        }
        false
    }

    fn restart(&mut self, index: usize) {
        let seed = self.random.random();
        let now = ClockTime::from_ms(self.now);
        let node = &mut self.nodes[index];
        node.starts += 1;
        node.vm = VmName::new(format!("vm-{index}-{}", node.starts));
        node.paused_until = 0;
        let vm = node.vm.clone();
        let table = D::create(self.plan.settings, vm, now, self.log_first, seed);
        node.table = Some(table);
        self.at(0, index, Event::Poll(index));
    }

    fn handle_event(&mut self, index: usize, table: &mut D, event: Event, actions: &mut Actions) {
        let now = ClockTime::from_ms(self.now);
        match event {
            Event::Arrival(_, request) => {
                table.begin(now, request, actions);
                if self.gives_up(30) {
                    let delay = self.random.random_range(0..300);
                    self.at(delay, index, Event::Disconnect(index, request.attempt));
                }
            }
            Event::Poll(_) => self.poll_and_read(index, table, actions),
            Event::AppendFailed(_, id) => table.failed(now, id, actions),
            Event::Dequeue(_, attempt) => self.dequeue(index, table, attempt, actions),
            Event::Finish(_, attempt, outcome) => {
                self.report_outcome(attempt, &outcome);
                table.finish(now, attempt, outcome, actions);
            }
            Event::Disconnect(_, attempt) => self.give_up(table, attempt, actions),
            Event::Reply(_, attempt, owner, reply) => {
                table.reply(now, attempt, owner, reply, actions);
            }
            _ => {}
        }
    }

    fn poll_and_read(&mut self, index: usize, table: &mut D, actions: &mut Actions) {
        let now = ClockTime::from_ms(self.now);
        table.poll(now, actions);
        if self.log_is_up {
            self.apply_retention();
            table.gap(now, self.log_first, actions);
            let count = self.random.random_range(1..40);
            let next = table.next_offset().max(self.log_first);
            let next = usize::try_from(next).unwrap_or(usize::MAX);
            for (offset, (_, record)) in self.log.iter().enumerate().skip(next).take(count) {
                table.read(now, offset as u64, record, actions);
            }
        }
        let delay = self.random.random_range(1..30);
        self.at(delay, index, Event::Poll(index));
    }

    fn give_up(&mut self, table: &mut D, attempt: AttemptId, actions: &mut Actions) {
        if table.give_up(ClockTime::from_ms(self.now), attempt, actions) {
            self.report(attempt, Reported::Refused(RunVerdict::NotRun, GIVEN_UP));
        }
    }

    /// Starts an attempt that owns its key, or lets the queue refuse it.
    fn dequeue(&mut self, index: usize, table: &mut D, attempt: AttemptId, actions: &mut Actions) {
        let now = ClockTime::from_ms(self.now);
        if self.gives_up(80) {
            return self.give_up(table, attempt, actions);
        }
        if !table.start(now, attempt, actions) {
            return;
        }
        let delay = self.random.random_range(1..400);
        if self.gives_up(30) {
            self.at(
                delay,
                index,
                Event::Finish(index, attempt, ClaimOutcome::NotRun),
            );
            return;
        }
        self.ran.push((self.now, self.keys[&attempt], attempt));
        let outcome = if self.random.random_ratio(50, 1_000) {
            ClaimOutcome::MayHaveRun
        } else {
            let body = attempt.as_u128().to_be_bytes();
            ClaimOutcome::Answered(StoredAnswer::new(&b"200"[..], &body[..]))
        };
        self.at(delay, index, Event::Finish(index, attempt, outcome));
    }

    fn gives_up(&mut self, chance: u32) -> bool {
        self.plan.faults.gives_up && self.random.random_ratio(chance, 1_000)
    }

    fn report_outcome(&mut self, attempt: AttemptId, outcome: &ClaimOutcome) {
        let reported = match outcome {
            ClaimOutcome::Answered(answer) => Reported::Answered(answer.clone()),
            ClaimOutcome::MayHaveRun => Reported::Refused(RunVerdict::MayHaveRun, GIVEN_UP),
            ClaimOutcome::NotRun => Reported::Refused(RunVerdict::NotRun, GIVEN_UP),
        };
        self.report(attempt, reported);
    }

    fn report(&mut self, attempt: AttemptId, reported: Reported) {
        self.reported.entry(attempt).or_insert(reported);
    }

    fn execute(&mut self, index: usize, action: ClaimAction) {
        match action {
            ClaimAction::Append(record) => self.send_append(index, record),
            ClaimAction::Run(attempt) => {
                let delay = self.random.random_range(0..60);
                self.at(delay, index, Event::Dequeue(index, attempt));
            }
            ClaimAction::Answer(attempt, answer) => {
                self.report(attempt, Reported::Answered(answer));
            }
            ClaimAction::Refuse(attempt, refusal) => {
                self.report(attempt, Reported::Refused(refusal.verdict, refusal.reason));
            }
            ClaimAction::QueryHolder {
                attempt, vm, owner, ..
            } => {
                let delay = self.random.random_range(0..10);
                self.at(delay, index, Event::Query(index, vm, attempt, owner));
            }
        }
    }

    /// Sends an append, which may be lost, fail, be delayed or be applied twice.
    fn send_append(&mut self, index: usize, record: ClaimRecord) {
        let delay = self.random.random_range(1..20);
        if !self
            .random
            .random_ratio(self.plan.faults.append_fault, 10_000)
        {
            self.at(delay, index, Event::Append(index, record));
            return;
        }
        match self.random.random_range(0..4) {
            0 => {}
            1 => self.at(delay, index, Event::AppendFailed(index, record.id)),
            2 => {
                let late = self.random.random_range(0..6_000);
                self.at(late, index, Event::Append(index, record));
            }
            _ => {
                let late = self.random.random_range(0..6_000);
                self.at(delay, index, Event::Append(index, record.clone()));
                self.at(late, index, Event::Append(index, record));
            }
        }
    }

    fn append(&mut self, index: usize, start: u64, record: ClaimRecord) {
        if self.log_is_up {
            self.log.push((self.now, record));
        } else if start == self.nodes[index].starts && self.random.random_bool(0.5) {
            self.at(1, index, Event::AppendFailed(index, record.id));
        }
    }

    fn apply_retention(&mut self) {
        let kept_from = self.now.saturating_sub(self.plan.faults.retention_ms);
        let is_old = |(time, _): &&(u64, ClaimRecord)| *time < kept_from;
        self.log_first = self.log.iter().take_while(is_old).count() as u64;
    }

    fn ask(&mut self, from: usize, vm: &VmName, attempt: AttemptId, owner: AttemptId) {
        let is_running = |node: &&Node<D>| node.vm == *vm && node.paused_until <= self.now;
        let Some(node) = self.nodes.iter().find(is_running) else {
            return;
        };
        let Some(reply) = node.table.as_ref().map(|table| table.reply_for(owner)) else {
            return;
        };
        let delay = self.random.random_range(0..10);
        self.at(delay, from, Event::Reply(from, attempt, owner, reply));
    }
}

/// The reason reported when the queue refused an attempt or its caller disconnected.
const GIVEN_UP: RefusalReason = RefusalReason::Overloaded;
