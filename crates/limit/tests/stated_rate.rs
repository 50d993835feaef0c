//! A backend server in need that states the rate it accepts, while the fleet sends as before.

use clock::ClockTime;
use lentilshift_limit::{
    AdmissionQueue, PaceChange, QueueAction, QueueDecision, QueueSettings, QueueTicket,
    RateStatement, RunOutcome,
};
use model::{AttemptId, CallImportance, RefusalReason, RequestId, ShedOrder};
use proptest::prelude::*;
use rstest::rstest;

const RUN_MS: u64 = 20;
const DEADLINE_MS: u64 = 2_000;
/// The window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn ticket(id: u64, now_ms: u64, importance: CallImportance, depth: u8) -> QueueTicket {
    QueueTicket {
        id: AttemptId::from_random(u128::from(id)),
        order: ShedOrder::new(importance, RequestId::from_random(u128::from(id))),
        team: None,
        team_weight: 1,
        deadline: ClockTime::from_ms(now_ms + DEADLINE_MS),
        depth,
        call: None,
        expected_ms: RUN_MS,
    }
}

/// A backend server behind its queue, in virtual time.
struct LimitedBackend {
    queue: AdmissionQueue,
    statement: RateStatement,
    running: Vec<(u64, AttemptId)>,
    /// When each request started.
    started: Vec<u64>,
    starts: Vec<AttemptId>,
    refusals: Vec<(AttemptId, RefusalReason)>,
    now_ms: u64,
}

impl LimitedBackend {
    fn new(settings: QueueSettings, statement: RateStatement) -> Self {
        let mut queue = AdmissionQueue::new(settings, 7);
        queue.set_slots(100);
        Self {
            queue,
            statement,
            running: Vec::new(),
            started: Vec::new(),
            starts: Vec::new(),
            refusals: Vec::new(),
            now_ms: 0,
        }
    }

    fn now(&self) -> ClockTime {
        ClockTime::from_ms(self.now_ms)
    }

    fn offer(&mut self, ticket: QueueTicket) {
        let id = ticket.id;
        match self.queue.offer(self.now(), ticket) {
            QueueDecision::Start => self.start(id),
            QueueDecision::Wait => {}
            QueueDecision::Refuse(refusal) => self.refusals.push((id, refusal.reason)),
        }
    }

    fn start(&mut self, id: AttemptId) {
        self.started.push(self.now_ms);
        self.starts.push(id);
        self.running.push((self.now_ms + RUN_MS, id));
    }

    fn execute(&mut self, actions: Vec<QueueAction>) {
        for action in actions {
            match action {
                QueueAction::Start(id) => self.start(id),
                QueueAction::Refuse(id, refusal) => self.refusals.push((id, refusal.reason)),
            }
        }
    }

    /// Advances by one millisecond: requests end, and each answer makes the statement.
    fn advance(&mut self) {
        self.now_ms += 1;
        let now = self.now();
        let now_ms = self.now_ms;
        let ended: Vec<_> = self
            .running
            .extract_if(.., |(end, _)| *end <= now_ms)
            .collect();
        for (_, id) in ended {
            let mut actions = Vec::new();
            let _ = self
                .queue
                .record_statement(now, self.statement, &mut actions);
            let outcome = RunOutcome::Completed { own_ms: RUN_MS };
            self.queue.finish(now, id, outcome, &mut actions);
            self.execute(actions);
        }
        if self.queue.next_tick().is_some_and(|due| due <= now) {
            let mut actions = Vec::new();
            self.queue.tick(now, &mut actions);
            self.execute(actions);
        }
    }

    /// Returns the most requests that started within one window from `from_ms` on.
    fn most_in_window(&self, from_ms: u64) -> usize {
        let started: Vec<u64> = self
            .started
            .iter()
            .copied()
            .filter(|at| *at >= from_ms)
            .collect();
        let in_window = |start: &u64| {
            let rest = started.iter().filter(|at| *at >= start);
            rest.filter(|at| **at < start + WINDOW_MS).count()
        };
        started.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Returns the most requests that the backend server may get in one window.
fn allowed(rate_per_s: f64) -> usize {
    let requests = 1.5 * rate_per_s * 4.0 + 5.0;
    format!("{:.0}", requests.floor()).parse().unwrap()
}

fn cautious() -> QueueSettings {
    QueueSettings {
        awaits_first_answer: true,
        ..QueueSettings::default()
    }
}

proptest! {
    /// 221 requests in 4 s were sent to a backend server that accepted 17.3 a second.
    #[test]
    fn no_window_has_more_than_the_stated_rate(
        rate_per_s in prop_oneof![0.0..3.0, 3.0..60.0],
        gap_ms in 1_u64..20,
        nested_share in 0_u64..4,
        restart_ms in proptest::option::of(4_000_u64..8_000),
    ) {
        let mut backend = LimitedBackend::new(cautious(), RateStatement::Limited(rate_per_s));
        for id in 0..12_000 / gap_ms {
            let depth = u8::from(id % 4 < nested_share);
            let ticket = ticket(id, backend.now_ms, CallImportance::Normal, depth);
            backend.offer(ticket);
            for _ in 0..gap_ms {
                backend.advance();
            }
            if restart_ms.is_some_and(|at| at / gap_ms == id) {
                backend.queue.reset();
            }
        }
        let most = backend.most_in_window(0);
        prop_assert!(most <= allowed(rate_per_s), "{most} of {}", allowed(rate_per_s));
        prop_assert!(most > 0);
        for (_, reason) in &backend.refusals {
            prop_assert_eq!(*reason, RefusalReason::BackendLimited);
        }
    }
}

/// Under twice the stated rate the important half is served, and no request is dropped in silence.
#[test]
fn least_important_requests_are_refused_first() {
    let mut backend = LimitedBackend::new(cautious(), RateStatement::Limited(20.0));
    let mut important = Vec::new();
    for id in 0..400 {
        let importance = if id % 2 == 0 {
            CallImportance::Critical
        } else {
            CallImportance::Background
        };
        let ticket = ticket(id, backend.now_ms, importance, 0);
        if id % 2 == 0 && id >= 100 {
            important.push(ticket.id);
        }
        backend.offer(ticket);
        for _ in 0..25 {
            backend.advance();
        }
    }
    let served = important.iter().filter(|id| backend.starts.contains(id));
    let served = served.count();
    assert!(
        served * 10 >= important.len() * 9,
        "{served} of {}",
        important.len()
    );
    let waiting = backend.queue.load(backend.now()).queued as usize;
    assert_eq!(backend.starts.len() + backend.refusals.len() + waiting, 400);
}

/// A rate that is used up applies to one VM, so entry nodes don't refuse requests for the service.
#[test]
fn refusals_at_a_stated_rate_raise_no_reported_thresholds() {
    let mut backend = LimitedBackend::new(cautious(), RateStatement::Limited(2.0));
    for id in 0..1_000 {
        let ticket = ticket(id, backend.now_ms, CallImportance::Normal, 0);
        backend.offer(ticket);
        for _ in 0..5 {
            backend.advance();
        }
        assert!(backend.queue.load(backend.now()).thresholds.is_open());
    }
    assert!(!backend.refusals.is_empty());
}

/// A backend server without free slots states a rate far above what it can run: requests are shed
/// by importance, and entry nodes learn of it, as without a rate.
#[test]
fn rate_above_the_capacity_of_the_slots_leaves_shedding_as_it_is() {
    let mut backend = LimitedBackend::new(cautious(), RateStatement::Limited(10_000.0));
    backend.queue.set_slots(2);
    for id in 0..4_000 {
        let ticket = ticket(id, backend.now_ms, CallImportance::Normal, 0);
        backend.offer(ticket);
        backend.advance();
    }
    assert!(!backend.queue.load(backend.now()).thresholds.is_open());
    let last = backend.refusals.last().map(|(_, reason)| *reason);
    assert_ne!(last, Some(RefusalReason::BackendLimited));
}

/// Sends a request every 10 ms, and returns how many started in the last second.
fn starts_in_last_second(backend: &mut LimitedBackend, time_ms: u64) -> usize {
    let until_ms = backend.now_ms + time_ms;
    while backend.now_ms < until_ms {
        let ticket = ticket(backend.now_ms, backend.now_ms, CallImportance::Normal, 0);
        backend.offer(ticket);
        for _ in 0..10 {
            backend.advance();
        }
    }
    let from_ms = until_ms - 1_000;
    backend.started.iter().filter(|at| **at >= from_ms).count()
}

#[test]
fn changed_and_ended_rates_take_effect() {
    let mut backend = LimitedBackend::new(cautious(), RateStatement::Unlimited);
    assert_eq!(starts_in_last_second(&mut backend, 2_000), 100);
    for (stated, low, high) in [(10.0, 9, 13), (40.0, 38, 50), (5.0, 4, 7)] {
        backend.statement = RateStatement::Limited(stated);
        let started = starts_in_last_second(&mut backend, 3_000);
        assert!((low..=high).contains(&started), "{started} at {stated}");
    }
    backend.statement = RateStatement::Unlimited;
    assert_eq!(starts_in_last_second(&mut backend, 3_000), 100);
}

/// Callers came back at once after a pause, as when a node wakes from a freeze.
#[test]
fn pause_saves_up_no_more_than_the_rule_allows() {
    for rate_per_s in [0.0, 2.0, 17.3] {
        let mut backend = LimitedBackend::new(cautious(), RateStatement::Limited(rate_per_s));
        starts_in_last_second(&mut backend, 5_000);
        for _ in 0..20_000 {
            backend.advance();
        }
        starts_in_last_second(&mut backend, 5_000);
        let most = backend.most_in_window(0);
        assert!(most <= allowed(rate_per_s), "{most} at {rate_per_s}");
    }
}

#[test]
fn end_of_a_rate_of_zero_is_noticed() {
    let mut backend = LimitedBackend::new(cautious(), RateStatement::Limited(0.0));
    starts_in_last_second(&mut backend, 5_000);
    backend.statement = RateStatement::Unlimited;
    assert_eq!(starts_in_last_second(&mut backend, 10_000), 100);
}

/// A single answer without the rate, such as a refusal, was taken for the end of the limit.
#[test]
fn answer_without_the_rate_beside_others_with_it_ends_nothing() {
    let mut backend = LimitedBackend::new(cautious(), RateStatement::Limited(10.0));
    starts_in_last_second(&mut backend, 2_000);
    let mut actions = Vec::new();
    let now = backend.now();
    let change = backend
        .queue
        .record_statement(now, RateStatement::Unlimited, &mut actions);
    assert_eq!(change, PaceChange::Unchanged);
    assert_eq!(backend.queue.stated_rate_per_s(), Some(10.0));
}

#[rstest]
#[case::none(&[], RateStatement::Unlimited)]
#[case::fraction(&["17.3"], RateStatement::Limited(17.3))]
#[case::zero(&["0"], RateStatement::Limited(0.0))]
#[case::spaces(&[" 4 "], RateStatement::Limited(4.0))]
#[case::lowest_of_several(&["9", "4", "many"], RateStatement::Limited(4.0))]
#[case::text(&["many"], RateStatement::Unreadable)]
#[case::empty(&[""], RateStatement::Unreadable)]
#[case::point(&["."], RateStatement::Unreadable)]
#[case::negative(&["-1"], RateStatement::Unreadable)]
#[case::infinite(&["inf"], RateStatement::Unreadable)]
#[case::not_a_number(&["NaN"], RateStatement::Unreadable)]
#[case::exponent(&["1e3"], RateStatement::Unreadable)]
fn statements_are_read(#[case] values: &[&str], #[case] statement: RateStatement) {
    assert_eq!(RateStatement::parse(values.iter().copied()), statement);
}

/// A rate that can't be read neither limits nor ends a limit.
#[test]
fn unreadable_rate_changes_nothing() {
    let mut backend = LimitedBackend::new(cautious(), RateStatement::Unreadable);
    assert_eq!(starts_in_last_second(&mut backend, 2_000), 100);
    backend.statement = RateStatement::Limited(10.0);
    starts_in_last_second(&mut backend, 2_000);
    backend.statement = RateStatement::Unreadable;
    let started = starts_in_last_second(&mut backend, 3_000);
    assert!(started <= 13, "{started}");
}
