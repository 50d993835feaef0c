//! Throughput of a backend server whose node processes the ends of runs in batches.

use std::collections::BTreeMap;

use clock::ClockTime;
use lentilshift_limit::{
    AdmissionQueue, CompletionBatches, QueueAction, QueueDecision, QueueSettings, QueueTicket,
    RunOutcome,
};
use model::{AttemptId, CallImportance, RequestId, ShedOrder};
use rstest::rstest;

const SLOTS: u32 = 40;
/// The mean run time, in milliseconds.
const RUN_MS: u32 = 31;
/// The largest deviation of a run time from the mean, in milliseconds.
const SPREAD_MS: u64 = 6;
/// The interval between two event loop rounds of a node that is short of processor time, in
/// milliseconds.
const ROUND_MS: u64 = 10;
/// The simulated time, in milliseconds.
const SPAN_MS: u32 = 3_000;
/// The lowest accepted throughput, as a fraction of what the slots can run.
const MIN_THROUGHPUT: f64 = 0.95;

/// A backend server with a fixed number of slots and a short queue of its own.
#[derive(Default)]
struct FakeBackend {
    /// The end time of each running request.
    running: BTreeMap<AttemptId, u64>,
    waiting: Vec<AttemptId>,
    ended: Vec<AttemptId>,
    max_waiting: usize,
    started: u64,
}

impl FakeBackend {
    fn send(&mut self, id: AttemptId) {
        self.waiting.push(id);
    }

    fn advance(&mut self, now_ms: u64) {
        let done: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, end)| **end <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in done {
            self.running.remove(&id);
            self.ended.push(id);
        }
        while self.running.len() < SLOTS as usize && !self.waiting.is_empty() {
            let id = self.waiting.remove(0);
            self.started += 1;
            let spread = self.started * 5 % (2 * SPREAD_MS + 1);
            self.running
                .insert(id, now_ms + u64::from(RUN_MS) - SPREAD_MS + spread);
        }
        self.max_waiting = self.max_waiting.max(self.waiting.len());
    }
}

fn ticket(id: u64, now_ms: u64) -> QueueTicket {
    QueueTicket {
        id: AttemptId::from_random(u128::from(id)),
        order: ShedOrder::new(
            CallImportance::Normal,
            RequestId::from_random(u128::from(id)),
        ),
        team: None,
        team_weight: 1,
        deadline: ClockTime::from_ms(now_ms + 700),
        depth: 2,
        call: Some("stock".into()),
        expected_ms: u64::from(RUN_MS),
    }
}

/// Simulates a node whose event loop runs every `round_ms`, and returns its throughput as a
/// fraction of what the slots can run, and the most requests that waited at the backend server.
fn simulate(round_ms: u64) -> (f64, usize) {
    let mut queue = AdmissionQueue::new(QueueSettings::default(), 7);
    queue.set_slots(SLOTS);
    let mut backend = FakeBackend::default();
    let mut batches = CompletionBatches::default();
    let (mut sent, mut ended) = (0, 0_u32);
    for now_ms in 0..u64::from(SPAN_MS) {
        backend.advance(now_ms);
        if now_ms % round_ms != 0 {
            continue;
        }
        let now = ClockTime::from_ms(now_ms);
        let mut actions = Vec::new();
        for id in std::mem::take(&mut backend.ended) {
            ended += 1;
            batches.record_completion(now_ms);
            queue.set_overcommit(batches.mean_excess());
            let outcome = RunOutcome::Completed {
                own_ms: u64::from(RUN_MS),
            };
            queue.finish(now, id, outcome, &mut actions);
        }
        for _ in 0..2 * round_ms {
            sent += 1;
            let ticket = ticket(sent, now_ms);
            let id = ticket.id;
            if queue.offer(now, ticket) == QueueDecision::Start {
                backend.send(id);
            }
        }
        for action in actions {
            if let QueueAction::Start(id) = action {
                backend.send(id);
            }
        }
        backend.advance(now_ms);
    }
    let max_runs = f64::from(SPAN_MS) / f64::from(RUN_MS) * f64::from(SLOTS);
    (f64::from(ended) / max_runs, backend.max_waiting)
}

/// Guards against idle slots: a node short of processor time saw the ends of runs late, left the
/// freed slots unused, and refused calls as too late.
#[rstest]
#[case::at_once(1)]
#[case::in_batches(ROUND_MS)]
fn slots_stay_busy_between_rounds_of_a_slow_node(#[case] round_ms: u64) {
    let (share, max_waiting) = simulate(round_ms);
    assert!(share >= MIN_THROUGHPUT, "{share} of what the slots can run");
    assert!(max_waiting <= SLOTS as usize / 2, "{max_waiting} wait");
}
