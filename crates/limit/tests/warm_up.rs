//! Backend servers that are cold bear a fraction of what warm ones do.
//!
//! Cold backend servers were sent as much as warm ones, fell over, came back cold and were sent it
//! again.

use clock::ClockTime;
use lentilshift_limit::{
    AdmissionQueue, QueueAction, QueueDecision, QueueSettings, QueueTicket, RunOutcome,
    WarmUpChange, WarmUpLimits, WarmUpSettings, WarmUpSource, WarmUpStatement,
};
use model::{AttemptId, CallImportance, RefusalReason, RequestId, ShedOrder};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const COLD_RATE_PER_S: f64 = 16.0;
const SPAN_MS: u64 = 3_000;
/// The requests that a cold backend server may get in one second: 16 x 1.5 + 8.
const ALLOWED: usize = 32;
const RUN_MS: u64 = 40;
/// How much slower a cold backend server is.
const COLD_FACTOR: u64 = 2;
/// How long a backend server that fell over is down, in milliseconds.
const DOWN_MS: u64 = 1_500;
/// The time until a question is answered, in milliseconds.
const ANSWER_MS: u64 = 2;
const DEADLINE_MS: u64 = 2_000;

fn settings() -> QueueSettings {
    QueueSettings {
        warm_up: WarmUpSettings {
            over: 1.5,
            slack: 8.0,
            awaits_terms: true,
        },
        ..QueueSettings::default()
    }
}

const LIMITS: WarmUpLimits = WarmUpLimits {
    span_ms: SPAN_MS,
    rate_per_s: COLD_RATE_PER_S,
    answers_questions: true,
};

fn ticket(id: u64, now_ms: u64) -> QueueTicket {
    QueueTicket {
        id: AttemptId::from_random(u128::from(id)),
        order: ShedOrder::new(
            CallImportance::Normal,
            RequestId::from_random(u128::from(id)),
        ),
        team: None,
        team_weight: 1,
        deadline: ClockTime::from_ms(now_ms + DEADLINE_MS),
        depth: 0,
        call: None,
        expected_ms: RUN_MS,
    }
}

/// A backend server behind the queue of its node, in virtual time.
struct ColdBackend {
    queue: AdmissionQueue,
    is_paced: bool,
    answers_questions: bool,
    now_ms: u64,
    cold_until_ms: u64,
    down_until_ms: u64,
    running: Vec<(u64, AttemptId)>,
    /// When each request arrived at the backend server, and whether it was cold.
    arrivals: Vec<(u64, bool)>,
    /// When the current question is answered.
    asked: Option<u64>,
    questions: usize,
    falls: usize,
    served: usize,
    refusals: Vec<RefusalReason>,
}

impl ColdBackend {
    fn new(is_paced: bool, cold_ms: u64) -> Self {
        let mut backend = Self {
            queue: AdmissionQueue::new(settings(), 7),
            is_paced,
            answers_questions: true,
            now_ms: 0,
            cold_until_ms: cold_ms,
            down_until_ms: 0,
            running: Vec::new(),
            arrivals: Vec::new(),
            asked: None,
            questions: 0,
            falls: 0,
            served: 0,
            refusals: Vec::new(),
        };
        backend.start_node(0);
        backend
    }

    /// Starts the node, which reads the terms of the service.
    fn start_node(&mut self, seed: u64) {
        self.queue = AdmissionQueue::new(settings(), seed);
        self.queue.set_slots(100);
        self.running.clear();
        self.asked = None;
        self.read_terms();
    }

    fn read_terms(&mut self) {
        let limits = self.is_paced.then_some(LIMITS);
        let mut actions = Vec::new();
        self.queue.set_warm_up(self.now(), limits, &mut actions);
        self.execute(actions);
    }

    const fn now(&self) -> ClockTime {
        ClockTime::from_ms(self.now_ms)
    }

    const fn is_up(&self) -> bool {
        self.now_ms >= self.down_until_ms
    }

    const fn is_cold(&self) -> bool {
        self.now_ms < self.cold_until_ms
    }

    /// Sends a request and returns whether it was refused for the pace.
    fn offer(&mut self, ticket: QueueTicket) -> bool {
        let id = ticket.id;
        match self.queue.offer(self.now(), ticket) {
            QueueDecision::Start => self.start(id),
            QueueDecision::Wait => {}
            QueueDecision::Refuse(refusal) => {
                self.refusals.push(refusal.reason);
                return refusal.reason == RefusalReason::BackendLimited;
            }
        }
        false
    }

    fn start(&mut self, id: AttemptId) {
        if !self.is_up() {
            let _ = self.queue.doubt_warmth(self.now());
            self.finish(id, RunOutcome::Failed);
            return;
        }
        self.arrivals.push((self.now_ms, self.is_cold()));
        if self.is_cold() && self.cold_in_second() > ALLOWED {
            self.fall_over(id);
            return;
        }
        let factor = if self.is_cold() { COLD_FACTOR } else { 1 };
        self.running.push((self.now_ms + RUN_MS * factor, id));
    }

    /// Returns the requests that arrived within the last second while the backend server was cold.
    fn cold_in_second(&self) -> usize {
        let recent = self.arrivals.iter().rev();
        let recent = recent.take_while(|(at, _)| at + 1_000 > self.now_ms);
        recent.filter(|(_, is_cold)| *is_cold).count()
    }

    fn fall_over(&mut self, last: AttemptId) {
        self.falls += 1;
        self.down_until_ms = self.now_ms + DOWN_MS;
        self.cold_until_ms = self.down_until_ms + SPAN_MS;
        let _ = self.queue.doubt_warmth(self.now());
        let failed: Vec<_> = self.running.drain(..).map(|(_, id)| id).collect();
        for id in failed.into_iter().chain([last]) {
            self.finish(id, RunOutcome::Failed);
        }
    }

    fn finish(&mut self, id: AttemptId, outcome: RunOutcome) {
        let mut actions = Vec::new();
        self.queue.finish(self.now(), id, outcome, &mut actions);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<QueueAction>) {
        for action in actions {
            match action {
                QueueAction::Start(id) => self.start(id),
                QueueAction::Refuse(_, refusal) => self.refusals.push(refusal.reason),
            }
        }
    }

    /// Advances by one millisecond.
    fn advance(&mut self) {
        self.now_ms += 1;
        let now = self.now();
        let now_ms = self.now_ms;
        let ended = self.running.extract_if(.., |(end, _)| *end <= now_ms);
        for (_, id) in ended.collect::<Vec<_>>() {
            self.served += 1;
            let own_ms = RUN_MS;
            self.finish(id, RunOutcome::Completed { own_ms });
        }
        self.answer_question();
        let _ = self.queue.check_silence(now);
        let is_due = self.queue.next_question(now).is_some_and(|due| due <= now);
        if is_due && self.asked.is_none() {
            self.queue.begin_question(now);
            self.questions += 1;
            self.asked = Some(now_ms + ANSWER_MS);
        }
        if self.queue.next_tick().is_some_and(|due| due <= now) {
            let mut actions = Vec::new();
            self.queue.tick(now, &mut actions);
            self.execute(actions);
        }
    }

    fn answer_question(&mut self) {
        let now_ms = self.now_ms;
        if self.asked.take_if(|at| *at <= now_ms).is_none() {
            return;
        }
        let cold_ms = self.cold_until_ms.saturating_sub(now_ms);
        let is_answered = self.is_up() && self.answers_questions;
        let mut actions = Vec::new();
        let answer = is_answered.then_some(cold_ms);
        let now = self.now();
        let _ = self.queue.finish_question(now, answer, &mut actions);
        self.execute(actions);
    }

    /// Sends requests at a rate for a time.
    fn load(&mut self, rate_per_s: u64, time_ms: u64) {
        let until_ms = self.now_ms + time_ms;
        let mut sent = 0;
        let from_ms = self.now_ms;
        while self.now_ms < until_ms {
            while sent * 1_000 < (self.now_ms - from_ms) * rate_per_s {
                let id = self.now_ms * 10_000 + sent;
                self.offer(ticket(id, self.now_ms));
                sent += 1;
            }
            self.advance();
        }
    }

    /// Returns the most requests that arrived within one second while the backend server was cold.
    fn most_cold_in_second(&self) -> usize {
        let cold: Vec<u64> = self
            .arrivals
            .iter()
            .filter(|(_, is_cold)| *is_cold)
            .map(|(at, _)| *at)
            .collect();
        let in_second = |start: &u64| {
            let rest = cold.iter().filter(|at| *at >= start);
            rest.filter(|at| **at < start + 1_000).count()
        };
        cold.iter().map(in_second).max().unwrap_or(0)
    }

    /// Returns the requests that arrived within the last second.
    fn arrived_in_last_second(&self) -> usize {
        let recent = self.arrivals.iter().rev();
        recent
            .take_while(|(at, _)| at + 1_000 > self.now_ms)
            .count()
    }
}

proptest! {
    /// A fleet that pushes many times what a cold backend server bears, also past restarts of the
    /// node, which then knows neither the terms nor the state.
    #[test]
    fn no_second_has_more_than_a_cold_backend_server_may_get(
        rate_per_s in 20_u64..1_500,
        restart_ms in proptest::option::of(100_u64..2_900),
        terms_delay_ms in 0_u64..900,
    ) {
        let mut backend = ColdBackend::new(true, SPAN_MS);
        match restart_ms {
            Some(restart_ms) => {
                backend.load(rate_per_s, restart_ms);
                backend.queue = AdmissionQueue::new(settings(), 3);
                backend.queue.set_slots(100);
                backend.running.clear();
                backend.asked = None;
                backend.load(rate_per_s, terms_delay_ms);
                backend.read_terms();
                backend.load(rate_per_s, 5_000 - restart_ms);
            }
            None => backend.load(rate_per_s, 5_000),
        }
        let most = backend.most_cold_in_second();
        prop_assert!(most <= ALLOWED, "{most} of {ALLOWED}");
        prop_assert_eq!(backend.falls, 0);
        // Cold backend servers do work, and warm ones get everything.
        prop_assert!(most >= 8, "{most}");
        let last = backend.arrived_in_last_second();
        let usual = usize::try_from(rate_per_s).unwrap();
        prop_assert!(last * 100 >= usual * 90, "{last} of {usual}");
    }

    /// A backend server turns cold under full load without a start, and nothing tells of it.
    #[test]
    fn backend_server_that_turns_cold_unnoticed_is_not_overrun(
        rate_per_s in 20_u64..1_200,
        moments_ms in proptest::collection::vec(3_500_u64..7_000, 1..4),
    ) {
        let mut backend = ColdBackend::new(true, 0);
        backend.load(rate_per_s, 500);
        for moment_ms in moments_ms {
            backend.load(rate_per_s, moment_ms);
            backend.cold_until_ms = backend.now_ms + SPAN_MS;
        }
        backend.load(rate_per_s, 5_000);
        let most = backend.most_cold_in_second();
        prop_assert!(most <= ALLOWED, "{most} of {ALLOWED}");
        prop_assert_eq!(backend.falls, 0);
        let last = backend.arrived_in_last_second();
        let usual = usize::try_from(rate_per_s).unwrap();
        prop_assert!(last * 100 >= usual * 90, "{last} of {usual}");
    }

    /// A backend server that was idle turns cold, and then gets a burst.
    #[test]
    fn burst_after_a_pause_finds_a_cold_backend_server(
        rate_per_s in 40_u64..3_000,
        pause_ms in 0_u64..4_000,
    ) {
        let mut backend = ColdBackend::new(true, 0);
        backend.load(rate_per_s, 2_000);
        for _ in 0..pause_ms {
            backend.advance();
        }
        backend.cold_until_ms = backend.now_ms + SPAN_MS;
        backend.load(rate_per_s, 1_500);
        let most = backend.most_cold_in_second();
        prop_assert!(most <= ALLOWED, "{most} of {ALLOWED}");
        prop_assert_eq!(backend.falls, 0);
    }
}

/// What callers got of a service whose backend servers were all cold at once.
struct ServiceTrial {
    falls: usize,
    falls_at_end: usize,
    /// The fraction of the demand that was served in the last second.
    served_at_end: f64,
}

/// Sends requests to a service whose backend servers are all cold: a sender tries four VMs, passing
/// on those that refuse for the pace.
fn run_service(is_paced: bool, seed: u64) -> ServiceTrial {
    const BACKENDS: usize = 6;
    const REQUESTS_PER_MS: f64 = 0.6;
    const TIME_MS: u64 = 20_000;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut backends: Vec<_> = (0..BACKENDS)
        .map(|_| ColdBackend::new(is_paced, SPAN_MS))
        .collect();
    let (mut id, mut demand, mut served_before, mut falls_before) = (0, 0, 0, 0);
    for now_ms in 0..TIME_MS {
        if now_ms + 1_000 == TIME_MS {
            served_before = backends.iter().map(|backend| backend.served).sum();
            falls_before = backends.iter().map(|backend| backend.falls).sum();
            demand = 0;
        }
        if random.random_bool(REQUESTS_PER_MS) {
            demand += 1;
            for _ in 0..4 {
                id += 1;
                let chosen = random.random_range(0..BACKENDS);
                if !backends[chosen].offer(ticket(id, now_ms)) {
                    break;
                }
            }
        }
        for backend in &mut backends {
            backend.advance();
        }
    }
    let falls: usize = backends.iter().map(|backend| backend.falls).sum();
    let served: usize = backends.iter().map(|backend| backend.served).sum();
    let served = u32::try_from(served - served_before).unwrap();
    ServiceTrial {
        falls,
        falls_at_end: falls - falls_before,
        served_at_end: f64::from(served) / f64::from(demand),
    }
}

/// All backend servers of a service cold at once fell over together, and again when they were back.
#[test]
fn service_whose_backend_servers_are_all_cold_recovers() {
    for seed in 0..8 {
        let unpaced = run_service(false, seed);
        assert!(unpaced.falls > 12, "{}", unpaced.falls);
        assert!(unpaced.served_at_end < 0.5, "{}", unpaced.served_at_end);
        let paced = run_service(true, seed);
        assert_eq!(paced.falls, 0, "seed {seed}");
        assert_eq!(paced.falls_at_end, 0);
        assert!(paced.served_at_end > 0.9, "{}", paced.served_at_end);
    }
}

/// While a backend server is cold, senders see a small limit, and requests beyond the pace are
/// refused so that another VM gets them.
#[test]
fn cold_backend_server_reports_the_load_it_bears() {
    let mut backend = ColdBackend::new(true, SPAN_MS);
    backend.load(500, 1_000);
    let load = backend.queue.load(backend.now());
    assert!(load.limit <= 4, "{}", load.limit);
    assert!(load.thresholds.is_open());
    assert!(backend.refusals.len() > 400, "{}", backend.refusals.len());
    let limited = RefusalReason::BackendLimited;
    assert!(backend.refusals.iter().all(|reason| *reason == limited));
    backend.load(500, 4_000);
    assert!(backend.queue.load(backend.now()).limit >= 50);
}

/// A health path that never answers leaves a backend server paced for its cold time and no longer.
#[test]
fn doubt_ends_without_answers_after_the_cold_time() {
    let mut backend = ColdBackend::new(true, 0);
    backend.answers_questions = false;
    backend.load(200, SPAN_MS);
    assert!(backend.arrivals.len() < 60, "{}", backend.arrivals.len());
    backend.load(200, 2_000);
    let last = backend.arrived_in_last_second();
    assert!(last >= 180, "{last}");
}

/// A backend server that answers nothing any more may be cold when it is back, without a start that
/// anything tells of. One whose health path alone is broken keeps its load.
#[test]
fn silent_backend_server_is_doubted() {
    let mut backend = ColdBackend::new(true, 0);
    backend.load(400, 1_000);
    backend.answers_questions = false;
    backend.load(400, 2_000);
    assert_eq!(backend.arrived_in_last_second(), 400);
    // Requests hang from now on.
    let until_ms = backend.now_ms + 300;
    while backend.now_ms < until_ms {
        backend.running.clear();
        backend.load(400, 1);
    }
    assert!(backend.queue.warm_up_rate_per_s().is_some());
}

/// Questions are priced: few are asked while requests come slowly, and none without requests.
#[test]
fn questions_are_asked_only_where_a_cold_backend_server_could_be_overrun() {
    let mut backend = ColdBackend::new(true, 0);
    backend.load(15, 1_000);
    let at_first = backend.questions;
    assert!(at_first <= 2, "{at_first}");
    backend.load(15, 20_000);
    assert_eq!(backend.questions, at_first);
    for _ in 0..20_000 {
        backend.advance();
    }
    assert_eq!(backend.questions, at_first);
    backend.load(240, 1_000);
    let asked = backend.questions - at_first;
    assert!((8..=12).contains(&asked), "{asked}");
    backend.load(1_200, 1_000);
    let asked_fast = backend.questions - at_first - asked;
    assert!(asked_fast <= 1_200 / 24 + 2, "{asked_fast}");
}

/// Requests that fail one by one, as when answers are lost, cost neither capacity nor many
/// questions.
#[test]
fn failed_requests_cost_no_capacity_and_few_questions() {
    let mut backend = ColdBackend::new(true, 0);
    backend.load(15, 1_000);
    let before = backend.questions;
    for _ in 0..2_000 {
        backend.queue.suspect_cold();
        backend.advance();
    }
    assert!(backend.queue.warm_up_rate_per_s().is_none());
    assert!(backend.questions - before <= 21, "{}", backend.questions);
}

/// A service without terms gets every request at once, as before.
#[test]
fn service_without_terms_is_not_paced() {
    let mut backend = ColdBackend::new(false, 0);
    backend.load(900, 1_000);
    assert_eq!(backend.refusals.len(), 0);
    assert_eq!(backend.questions, 0);
    assert_eq!(backend.arrived_in_last_second(), 900);
}

fn state(
    queue: &mut AdmissionQueue,
    now_ms: u64,
    cold_ms: u64,
    source: WarmUpSource,
) -> WarmUpChange {
    let mut actions = Vec::new();
    let statement = WarmUpStatement { cold_ms, source };
    queue.record_warm_up(ClockTime::from_ms(now_ms), statement, &mut actions)
}

/// A report that came late, and an answer to a request sent before the doubt, say nothing of now.
#[test]
fn outdated_statements_end_no_doubt() {
    let mut backend = ColdBackend::new(true, 0);
    backend.load(10, 200);
    let queue = &mut backend.queue;
    assert_eq!(
        queue.doubt_warmth(ClockTime::from_ms(300)),
        WarmUpChange::Paced
    );
    let unchanged = WarmUpChange::Unchanged;
    assert_eq!(state(queue, 400, 0, WarmUpSource::Report), unchanged);
    let sent_at = ClockTime::from_ms(290);
    let early = WarmUpSource::Answer { sent_at };
    assert_eq!(state(queue, 401, 0, early), unchanged);
    let sent_at = ClockTime::from_ms(310);
    let answer = WarmUpSource::Answer { sent_at };
    assert_eq!(state(queue, 402, 0, answer), WarmUpChange::Ended);
    // A report of being cold is believed until an answer says otherwise.
    assert_eq!(
        state(queue, 500, 900, WarmUpSource::Report),
        WarmUpChange::Paced
    );
    assert!(queue.warm_up_rate_per_s().is_some());
}

/// Without a health path, reports and the stated cold time decide.
#[test]
fn reports_decide_where_no_question_is_answered() {
    let mut queue = AdmissionQueue::new(settings(), 7);
    let limits = WarmUpLimits {
        answers_questions: false,
        ..LIMITS
    };
    let mut actions = Vec::new();
    queue.set_warm_up(ClockTime::from_ms(10), Some(limits), &mut actions);
    assert!(queue.warm_up_rate_per_s().is_some());
    assert_eq!(
        state(&mut queue, 20, 0, WarmUpSource::Report),
        WarmUpChange::Ended
    );
    assert_eq!(
        state(&mut queue, 30, 500, WarmUpSource::Report),
        WarmUpChange::Paced
    );
    queue.tick(ClockTime::from_ms(529), &mut actions);
    assert!(queue.warm_up_rate_per_s().is_some());
    queue.tick(ClockTime::from_ms(531), &mut actions);
    let _ = queue.offer(ClockTime::from_ms(531), ticket(1, 531));
    assert!(queue.warm_up_rate_per_s().is_none());
    assert_eq!(queue.next_question(ClockTime::from_ms(600)), None);
}
