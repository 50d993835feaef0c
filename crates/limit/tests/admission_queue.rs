//! The admission queue, compared with a simple first-in-first-out queue.

use std::collections::{BTreeMap, VecDeque};

use clock::ClockTime;
use lentilshift_limit::{
    AdmissionQueue, QueueAction, QueueDecision, QueueSettings, QueueTicket, RunOutcome,
};
use model::{
    AttemptId, CallImportance, CallName, RefusalReason, RequestId, ShedOrder, TeamName,
    TeamThreshold,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const RUN_MS: u64 = 20;

fn ticket(id: u64, importance: CallImportance, deadline_ms: u64, depth: u8) -> QueueTicket {
    QueueTicket {
        id: AttemptId::from_random(u128::from(id)),
        order: ShedOrder::new(importance, RequestId::from_random(u128::from(id))),
        team: None,
        team_weight: 1,
        deadline: ClockTime::from_ms(deadline_ms),
        depth,
        call: None,
        expected_ms: RUN_MS,
    }
}

fn queue(slots: u32) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(QueueSettings::default(), 7);
    queue.set_slots(slots);
    queue
}

/// A queue under test: returns the requests that start when one is offered or ends.
trait StartOrder {
    fn offer(&mut self, now: ClockTime, ticket: QueueTicket) -> Option<AttemptId>;
    fn finish(&mut self, now: ClockTime, id: AttemptId) -> Vec<AttemptId>;
}

/// A first-in-first-out queue without limits.
#[derive(Default)]
struct NaiveQueue {
    running: bool,
    waiting: VecDeque<AttemptId>,
}

impl StartOrder for NaiveQueue {
    fn offer(&mut self, _now: ClockTime, ticket: QueueTicket) -> Option<AttemptId> {
        if !self.running {
            self.running = true;
            return Some(ticket.id);
        }
        self.waiting.push_back(ticket.id);
        None
    }

    fn finish(&mut self, _now: ClockTime, _id: AttemptId) -> Vec<AttemptId> {
        let next = self.waiting.pop_front();
        self.running = next.is_some();
        next.into_iter().collect()
    }
}

impl StartOrder for AdmissionQueue {
    fn offer(&mut self, now: ClockTime, ticket: QueueTicket) -> Option<AttemptId> {
        let id = ticket.id;
        (AdmissionQueue::offer(self, now, ticket) == QueueDecision::Start).then_some(id)
    }

    fn finish(&mut self, now: ClockTime, id: AttemptId) -> Vec<AttemptId> {
        let mut actions = Vec::new();
        let outcome = RunOutcome::Completed { own_ms: RUN_MS };
        AdmissionQueue::finish(self, now, id, outcome, &mut actions);
        let started = |action: &QueueAction| match action {
            QueueAction::Start(id) => Some(*id),
            QueueAction::Refuse(..) => None,
        };
        actions.iter().filter_map(started).collect()
    }
}

/// The wrong decisions of a queue with one slot that is offered twice its capacity.
#[derive(Default)]
struct Faults {
    less_important_first: u32,
    too_late: u32,
}

fn overload(queue: &mut impl StartOrder, seed: u64) -> Faults {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut faults = Faults::default();
    let mut waiting: BTreeMap<AttemptId, QueueTicket> = BTreeMap::new();
    let mut running: Option<(AttemptId, ClockTime)> = None;
    for step in 0..4_000_u64 {
        let now = ClockTime::from_ms(step * 5);
        let mut started = Vec::new();
        if let Some((id, end)) = running
            && end <= now
        {
            running = None;
            started = queue.finish(now, id);
        }
        for id in started {
            let ticket = waiting.remove(&id).expect("only waiting requests start");
            let class = ticket.order.class();
            let is_less_important = waiting
                .values()
                .any(|other| other.meets_deadline(now) && other.order.class() > class);
            faults.less_important_first += u32::from(is_less_important);
            faults.too_late += u32::from(!ticket.meets_deadline(now));
            running = Some((id, now.plus_ms(RUN_MS)));
        }
        if random.random::<f64>() < 0.5 {
            let class = CallImportance::ALL[random.random_range(0..4)];
            let offered = ticket(step, class, now.as_ms() + 200, 1);
            match queue.offer(now, offered.clone()) {
                Some(id) => running = Some((id, now.plus_ms(RUN_MS))),
                None => {
                    waiting.insert(offered.id, offered);
                }
            }
        }
    }
    faults
}

#[rstest]
fn more_important_calls_start_first_and_none_starts_too_late(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let naive = overload(&mut NaiveQueue::default(), seed);
    assert!(naive.less_important_first > 0 && naive.too_late > 0);
    let ours = overload(&mut queue(1), seed);
    assert_eq!((ours.less_important_first, ours.too_late), (0, 0));
}

#[rstest]
fn request_that_cannot_finish_in_time_is_refused_at_once() {
    let mut queue = queue(1);
    let offered = ticket(1, CallImportance::Critical, RUN_MS - 1, 0);
    let QueueDecision::Refuse(refusal) = queue.offer(ClockTime::ZERO, offered) else {
        panic!("the request was admitted");
    };
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert!(refusal.retry_after_ms > 0);
}

proptest! {
    #[test]
    fn each_waiting_request_starts_or_is_refused_once(
        offers in prop::collection::vec((0_usize..4, 20_u64..600, 0_u8..3), 1..300),
        slots in 1_u32..5,
    ) {
        let mut queue = queue(slots);
        let mut outcomes: BTreeMap<AttemptId, u32> = BTreeMap::new();
        let mut running = VecDeque::new();
        let mut actions = Vec::new();
        for (step, offer) in (0_u64..).zip(offers.iter().map(Some).chain([None; 200])) {
            let now = ClockTime::from_ms(step * 10);
            if let Some((class, left_ms, depth)) = offer {
                let class = CallImportance::ALL[*class];
                let offered = ticket(step, class, now.as_ms() + left_ms, *depth);
                let id = offered.id;
                match queue.offer(now, offered) {
                    QueueDecision::Start => running.push_back(id),
                    QueueDecision::Wait => {
                        outcomes.insert(id, 0);
                    }
                    QueueDecision::Refuse(_) => {}
                }
            }
            if let Some(id) = running.pop_front() {
                let outcome = RunOutcome::Completed { own_ms: 10 };
                queue.finish(now, id, outcome, &mut actions);
            }
            queue.tick(now, &mut actions);
            for action in actions.drain(..) {
                let id = match action {
                    QueueAction::Start(id) => {
                        running.push_back(id);
                        id
                    }
                    QueueAction::Refuse(id, _) => id,
                };
                *outcomes.get_mut(&id).expect("only waiting requests have actions") += 1;
            }
            prop_assert!(queue.load(now).in_flight <= slots.max(2));
        }
        prop_assert!(outcomes.values().all(|count| *count == 1));
    }
}

#[rstest]
#[case::unnamed(None, None)]
#[case::named(Some("report".into()), Some(RefusalReason::TooLate))]
fn call_that_takes_longer_than_the_time_left_is_refused(
    #[case] call: Option<CallName>,
    #[case] reason: Option<RefusalReason>,
) {
    let mut queue = queue(4);
    let ticket = |id, deadline_ms| QueueTicket {
        call: call.clone(),
        expected_ms: 1,
        ..ticket(id, CallImportance::Normal, deadline_ms, 0)
    };
    for id in 0..20 {
        let started = ClockTime::from_ms(id * 100);
        queue.offer(started, ticket(id, id * 100 + 1_000));
        let outcome = RunOutcome::Completed { own_ms: 100 };
        let id = AttemptId::from_random(u128::from(id));
        queue.finish(started.plus_ms(100), id, outcome, &mut Vec::new());
    }
    let mut refused =
        |now_ms| match queue.offer(ClockTime::from_ms(now_ms), ticket(now_ms, now_ms + 50)) {
            QueueDecision::Refuse(refusal) => Some(refusal.reason),
            QueueDecision::Start | QueueDecision::Wait => None,
        };
    assert_eq!(refused(2_010), reason);
    assert_eq!(
        refused(4_000),
        None,
        "an old estimate must not refuse for good"
    );
}

#[rstest]
fn reports_list_the_teams_with_the_highest_demand() {
    let mut queue = queue(1);
    let mut actions = Vec::new();
    for now_ms in 0..1_000 {
        for team in 0..if now_ms % 5 == 0 { 40 } else { 10 } {
            let ticket = QueueTicket {
                team: Some(TeamName::new(format!("team-{team}"))),
                ..ticket(now_ms * 100 + team, CallImportance::Normal, now_ms + 300, 0)
            };
            queue.offer(ClockTime::from_ms(now_ms), ticket);
        }
        queue.tick(ClockTime::from_ms(now_ms), &mut actions);
    }
    let listed = queue.load(ClockTime::from_ms(1_000)).thresholds.over_share;
    let large = |cut: &&TeamThreshold| {
        let name = cut.team.as_ref().map_or("", TeamName::as_str);
        name.len() == "team-0".len()
    };
    assert_eq!(listed.len(), 16);
    assert_eq!(listed.iter().filter(large).count(), 10, "{listed:?}");
}
