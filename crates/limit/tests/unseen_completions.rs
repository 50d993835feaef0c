//! A node that handles the ends of runs in batches, against slots that stand idle meanwhile.

use std::collections::BTreeMap;

use clock::ClockTime;
use lentilshift_limit::{
    AdmissionQueue, CompletionBatches, QueueAction, QueueDecision, QueueSettings, QueueTicket,
    RunOutcome,
};
use model::{AttemptId, CallImportance, RequestId, ShedOrder};
use rstest::rstest;

const SLOTS: u32 = 40;
/// The mean time of a run, in milliseconds.
const RUN_MS: u32 = 31;
/// The times of runs lie this far at most from the mean, in milliseconds.
const SPREAD_MS: u64 = 6;
/// The time between two looks of a node that is short of processor time, in milliseconds.
const LOOK_MS: u64 = 10;
/// The time that is simulated, in milliseconds.
const SPAN_MS: u32 = 3_000;
/// The part of what the slots can do that must be done.
const LEAST_SHARE: f64 = 0.95;

/// A backend server with slots and a short queue of its own.
#[derive(Default)]
struct BackendFake {
    /// When each running request ends.
    running: BTreeMap<AttemptId, u64>,
    waiting: Vec<AttemptId>,
    ended: Vec<AttemptId>,
    most_waiting: usize,
    started: u64,
}

impl BackendFake {
    fn send(&mut self, id: AttemptId) {
        self.waiting.push(id);
    }

    fn pass(&mut self, now_ms: u64) {
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
        self.most_waiting = self.most_waiting.max(self.waiting.len());
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

/// Returns the part of what the slots can do that is done, and the most that waits at the backend
/// server, for a node that looks every `look_ms`.
fn run(look_ms: u64) -> (f64, usize) {
    let mut queue = AdmissionQueue::new(QueueSettings::default(), 7);
    queue.set_slots(SLOTS);
    let mut backend = BackendFake::default();
    let mut batches = CompletionBatches::default();
    let (mut sent, mut ended) = (0, 0_u32);
    for now_ms in 0..u64::from(SPAN_MS) {
        backend.pass(now_ms);
        if now_ms % look_ms != 0 {
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
        for _ in 0..2 * look_ms {
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
        backend.pass(now_ms);
    }
    let possible = f64::from(SPAN_MS) / f64::from(RUN_MS) * f64::from(SLOTS);
    (f64::from(ended) / possible, backend.most_waiting)
}

/// Slots stood idle beside a node that was short of processor time, and calls were refused as too
/// late.
#[rstest]
#[case::at_once(1)]
#[case::in_batches(LOOK_MS)]
fn slots_work_while_a_busy_node_does_not_look(#[case] look_ms: u64) {
    let (share, most_waiting) = run(look_ms);
    assert!(share >= LEAST_SHARE, "{share} of what the slots can do");
    assert!(most_waiting <= SLOTS as usize / 2, "{most_waiting} wait");
}
