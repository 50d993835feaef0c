use std::collections::BTreeMap;

use clock::ClockTime;
use model::{AttemptId, CallName, RefusalReason};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::rate_pacer::RatePacer;
use crate::run_times::RunTimes;
use crate::shed_control::QueueState;
use crate::wait_queue::WaitQueue;
use crate::warm_up_pacer::WarmUpPacer;
use crate::{
    ConcurrencyLimit, LoadReport, PaceChange, QueueAction, QueueDecision, QueueRefusal,
    QueueSettings, QueueTicket, RateStatement, RunOutcome, ShedControl, ShedThresholds,
    WarmUpChange, WarmUpLimits, WarmUpStatement,
};

/// The limit divided by this is the most requests sent beyond the limit.
const OVERCOMMIT_DIVISOR: u32 = 4;
/// The slots assumed until the backend server announces its own.
const DEFAULT_SLOTS: u32 = 16;
/// The weight of one run in the moving averages of measured and expected run times.
const RUN_GAIN: f64 = 0.02;
/// The shortest retry delay given to a refused caller, in milliseconds.
const MIN_RETRY_MS: f64 = 100.0;
/// The longest retry delay given to a refused caller, in milliseconds.
const MAX_RETRY_MS: f64 = 10_000.0;
/// The longest that a request waits for a stated rate, in milliseconds. Another VM of the service may
/// have room for it at once.
const MAX_PACED_WAIT_MS: u64 = 150;
/// The retry delay per unit of overload (demand over capacity), in milliseconds.
const OVERLOAD_RETRY_MS: f64 = 500.0;

/// A run in progress.
#[derive(Clone, Debug)]
struct ActiveRun {
    started: ClockTime,
    work_ms: f64,
    call: Option<CallName>,
}

/// Decides which requests run on a backend server, which wait and which are refused.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_limit::{AdmissionQueue, QueueDecision, QueueSettings, QueueTicket};
/// use model::{AttemptId, CallImportance, RequestId, ShedOrder};
///
/// let mut queue = AdmissionQueue::new(QueueSettings::default(), 1);
/// queue.set_slots(25);
/// let ticket = QueueTicket {
///     id: AttemptId::from_random(1),
///     order: ShedOrder::new(CallImportance::Normal, RequestId::from_random(2)),
///     team: None,
///     team_weight: 1,
///     deadline: ClockTime::from_ms(1_000),
///     depth: 0,
///     call: Some("look-up".into()),
///     expected_ms: 50,
/// };
/// assert_eq!(queue.offer(ClockTime::ZERO, ticket), QueueDecision::Start);
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: QueueSettings,
    limit: ConcurrencyLimit,
    pacer: RatePacer,
    warm_up: WarmUpPacer,
    /// The requests sent beyond the limit, because about as many runs have ended unnoticed.
    overcommit: u32,
    shed: ShedControl,
    waiting: WaitQueue,
    times: RunTimes,
    running: BTreeMap<AttemptId, ActiveRun>,
    run_ms: f64,
    work_ms: f64,
    /// The nested calls dropped since the last update of the thresholds.
    nested_losses: u32,
    random: SmallRng,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings, seed: u64) -> Self {
        let mut queue = Self {
            settings,
            limit: ConcurrencyLimit::new(settings.limit, DEFAULT_SLOTS),
            pacer: RatePacer::default(),
            warm_up: WarmUpPacer::new(settings.warm_up),
            overcommit: 0,
            shed: ShedControl::new(settings.shed),
            waiting: WaitQueue::default(),
            times: RunTimes::default(),
            running: BTreeMap::new(),
            run_ms: 1.0,
            work_ms: 1.0,
            nested_losses: 0,
            random: SmallRng::seed_from_u64(seed),
        };
        queue.reset();
        queue
    }

    /// Sets the slots that the backend server announces.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit.set_slots(slots);
    }

    /// Sets the mean number of runs that have ended at the backend server but that the node has not
    /// processed yet. As many extra requests are sent, up to a quarter of the limit.
    ///
    /// The node processes the ends of runs in batches, and the freed slots of the backend server
    /// are idle until then. If too many extra requests are sent, they wait for a slot at the
    /// backend server.
    pub const fn set_overcommit(&mut self, unseen_completions: u32) {
        self.overcommit = unseen_completions;
    }

    /// Discards all measurements, for a backend server that has restarted.
    ///
    /// Waiting requests stay queued, and runs in progress stay counted.
    pub fn reset(&mut self) {
        self.limit.reset();
        self.shed = ShedControl::new(self.settings.shed);
        self.times = RunTimes::default();
        self.run_ms = 1.0;
        self.work_ms = 1.0;
        self.pacer = RatePacer::default();
        self.warm_up.expect_answers();
        if self.settings.awaits_first_answer {
            self.pacer.await_answer();
        }
    }

    /// Records what an answer of the backend server says about the request rate that it accepts,
    /// and starts the requests that may run now.
    pub fn record_statement(
        &mut self,
        now: ClockTime,
        statement: RateStatement,
        actions: &mut Vec<QueueAction>,
    ) -> PaceChange {
        let was_pacing = self.pacer.is_pacing();
        let change = self.pacer.record(now, statement);
        if was_pacing && !self.pacer.is_pacing() {
            self.advance(now, actions);
        }
        change
    }

    /// Sets what the operators state of cold backend servers of the service, if they do.
    pub fn set_warm_up(
        &mut self,
        now: ClockTime,
        limits: Option<WarmUpLimits>,
        actions: &mut Vec<QueueAction>,
    ) {
        self.warm_up.set_limits(now, limits);
        self.advance(now, actions);
    }

    /// Paces requests as on a cold backend server until a statement says that it is warm, since it
    /// may have started anew.
    pub fn doubt_warmth(&mut self, now: ClockTime) -> WarmUpChange {
        self.warm_up.doubt(now)
    }

    /// Paces requests if the backend server has answered neither a question nor any request for some
    /// time.
    pub fn check_silence(&mut self, now: ClockTime) -> WarmUpChange {
        self.warm_up.check_silence(now)
    }

    /// Makes a question about the state of the backend server due.
    pub const fn suspect_cold(&mut self) {
        self.warm_up.suspect();
    }

    /// Records how long the backend server stays cold, and starts the requests that may run now.
    pub fn record_warm_up(
        &mut self,
        now: ClockTime,
        statement: WarmUpStatement,
        actions: &mut Vec<QueueAction>,
    ) -> WarmUpChange {
        let change = self.warm_up.record(now, statement);
        self.advance(now, actions);
        change
    }

    /// Returns when the backend server has to be asked whether it is cold, if it has to be.
    pub fn next_question(&mut self, now: ClockTime) -> Option<ClockTime> {
        self.warm_up.next_question(now)
    }

    /// Records that the backend server is asked whether it is cold.
    pub const fn begin_question(&mut self, now: ClockTime) {
        self.warm_up.begin_question(now);
    }

    /// Records the answer to the question, how many milliseconds the backend server stays cold, or
    /// `None` if there was none, and starts the requests that may run now.
    pub fn finish_question(
        &mut self,
        now: ClockTime,
        cold_ms: Option<u64>,
        actions: &mut Vec<QueueAction>,
    ) -> WarmUpChange {
        let change = self.warm_up.finish_question(now, cold_ms);
        self.advance(now, actions);
        change
    }

    /// Returns the rate at which requests are sent to a backend server that is or may be cold, in
    /// requests per second.
    #[must_use]
    pub fn warm_up_rate_per_s(&self) -> Option<f64> {
        self.warm_up.rate_per_s()
    }

    /// Returns the request rate that the backend server states, in requests per second.
    #[must_use]
    pub const fn stated_rate_per_s(&self) -> Option<f64> {
        self.pacer.rate_per_s()
    }

    /// Starts, queues or refuses a request.
    pub fn offer(&mut self, now: ClockTime, ticket: QueueTicket) -> QueueDecision {
        self.warm_up.record_demand(now);
        let ticket = self.times.estimate(now, ticket);
        let is_admitted = self.shed.record_arrival(&ticket);
        let is_exempt = self.settings.prioritizes_nested && ticket.is_nested();
        if !is_admitted && !is_exempt && !self.is_rate_bound() {
            return QueueDecision::Refuse(self.refuse_shed(&ticket));
        }
        if self.settings.checks_deadlines && !ticket.meets_deadline(now) {
            self.record_loss(&ticket);
            return QueueDecision::Refuse(self.refusal(RefusalReason::TooLate));
        }
        if self.can_start(now) && self.waiting.len() == 0 {
            self.start(now, &ticket);
            self.shed.charge(&ticket);
            self.waiting.charge(&ticket);
            return QueueDecision::Start;
        }
        let (ahead, work_ms) = self.waiting.before(&ticket, &self.settings);
        if self.exceeds_pace(&ticket, now, ahead) {
            self.record_loss(&ticket);
            return QueueDecision::Refuse(self.refusal(RefusalReason::BackendLimited));
        }
        let wait = self.wait_behind(work_ms + ticket.work_ms());
        if self.settings.checks_deadlines && !ticket.meets_deadline(now.plus_ms(wait)) {
            self.record_loss(&ticket);
            return QueueDecision::Refuse(self.refusal(RefusalReason::TooLate));
        }
        if wait > self.settings.max_wait_ms && !is_exempt {
            return QueueDecision::Refuse(self.refusal(RefusalReason::Overloaded));
        }
        self.shed.charge(&ticket);
        self.waiting.push(ticket, now);
        QueueDecision::Wait
    }

    /// Records the end of a run and starts waiting requests in the freed slots.
    pub fn finish(
        &mut self,
        now: ClockTime,
        id: AttemptId,
        outcome: RunOutcome,
        actions: &mut Vec<QueueAction>,
    ) {
        let in_flight = self.in_flight();
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        if let RunOutcome::Completed { own_ms } = outcome {
            self.warm_up.record_answer();
            // A cold backend server is slow at any concurrency.
            if !self.warm_up.is_pacing() {
                self.limit.record(own_ms, in_flight);
            }
            if let Some(call) = &run.call {
                self.times.record(now, call, now.since_ms(run.started));
            }
            let run_ms = to_float(now.since_ms(run.started)).max(0.5);
            self.run_ms += RUN_GAIN * (run_ms - self.run_ms);
            self.work_ms += RUN_GAIN * (run.work_ms - self.work_ms);
        }
        self.advance(now, actions);
    }

    /// Removes a request whose caller has disconnected, whether it waits or runs.
    pub fn cancel(&mut self, now: ClockTime, id: AttemptId, actions: &mut Vec<QueueAction>) {
        if self.waiting.remove(id) {
            return;
        }
        if self.running.remove(&id).is_some() {
            self.advance(now, actions);
        }
    }

    /// Refuses requests that have waited too long, updates the thresholds and starts waiting
    /// requests while slots are free.
    pub fn tick(&mut self, now: ClockTime, actions: &mut Vec<QueueAction>) {
        self.advance(now, actions);
    }

    /// Returns the time by which [`tick`](Self::tick) must be called, if any.
    #[must_use]
    pub fn next_tick(&self) -> Option<ClockTime> {
        if self.is_rate_bound() {
            let expiry = self.waiting.oldest()?.plus_ms(self.max_wait_ms() + 1);
            let start = self.next_start().filter(|_| self.has_slot());
            return Some(start.map_or(expiry, |start| expiry.min(start)));
        }
        if self.waiting.len() > 0
            && let Some(start) = self.warm_up.next_start()
        {
            return Some(start.min(self.shed.next_update()));
        }
        let is_idle = self.running.is_empty() && self.waiting.len() == 0;
        let is_open = self.shed.thresholds().is_open();
        (!is_idle || !is_open).then(|| self.shed.next_update())
    }

    /// Returns the load to send back with an answer.
    #[must_use]
    pub fn load(&self, _now: ClockTime) -> LoadReport {
        LoadReport {
            in_flight: self.in_flight(),
            limit: self.usable_slots(),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            wait_ms: u32::try_from(self.wait_now()).unwrap_or(u32::MAX),
            thresholds: self.reported_thresholds(),
            ..LoadReport::default()
        }
    }

    /// Returns whether a request that arrives now waits.
    #[must_use]
    pub fn is_full(&self) -> bool {
        !self.has_slot() || self.waiting.len() > 0
    }

    /// Returns the thresholds for entry nodes, which refuse requests by the mean of a service's VMs.
    ///
    /// A VM that a stated rate binds has none: it stands for less capacity than the others, and what
    /// it refuses is sent to them.
    fn reported_thresholds(&self) -> ShedThresholds {
        if self.is_rate_bound() {
            return ShedThresholds::default();
        }
        self.shed.thresholds().clone()
    }

    fn advance(&mut self, now: ClockTime, actions: &mut Vec<QueueAction>) {
        self.refuse_expired(now, actions);
        let is_late = self.is_late(now);
        while self.can_start(now) {
            let Some(entry) = self.waiting.pop(&self.settings, is_late) else {
                break;
            };
            self.start(now, &entry.ticket);
            actions.push(QueueAction::Start(entry.ticket.id));
        }
        if self.is_rate_bound() {
            return;
        }
        let state = self.queue_state();
        if self.shed.update(now, state) {
            self.nested_losses = 0;
        }
    }

    fn refuse_expired(&mut self, now: ClockTime, actions: &mut Vec<QueueAction>) {
        let settings = self.settings;
        let is_rate_bound = self.is_rate_bound();
        let max_wait_ms = self.max_wait_ms();
        let late = self.waiting.drain_late(|entry| {
            let is_exempt =
                settings.prioritizes_nested && entry.ticket.is_nested() && !is_rate_bound;
            let has_waited = now.since_ms(entry.arrived) > max_wait_ms;
            let misses_deadline = settings.checks_deadlines && !entry.ticket.meets_deadline(now);
            misses_deadline || (has_waited && !is_exempt)
        });
        for entry in late {
            self.record_loss(&entry.ticket);
            let reason = if is_rate_bound {
                RefusalReason::BackendLimited
            } else if entry.ticket.meets_deadline(now) {
                RefusalReason::Overloaded
            } else {
                RefusalReason::TooLate
            };
            let refusal = self.refusal(reason);
            actions.push(QueueAction::Refuse(entry.ticket.id, refusal));
        }
    }

    /// Returns the longest that a new request waits, in milliseconds.
    fn max_wait_ms(&self) -> u64 {
        if self.is_rate_bound() && self.paced_rate_per_s().is_some() {
            MAX_PACED_WAIT_MS
        } else {
            self.settings.max_wait_ms
        }
    }

    /// Counts a dropped call if it is nested.
    fn record_loss(&mut self, ticket: &QueueTicket) {
        self.nested_losses += u32::from(ticket.is_nested());
    }

    fn start(&mut self, now: ClockTime, ticket: &QueueTicket) {
        let run = ActiveRun {
            started: now,
            work_ms: ticket.work_ms(),
            call: ticket.call.clone(),
        };
        self.running.insert(ticket.id, run);
        self.pacer.charge();
        self.warm_up.charge(now);
    }

    /// Returns the rate that requests are paced at, if they are, in requests per second.
    fn paced_rate_per_s(&self) -> Option<f64> {
        let rates = [self.pacer.rate_per_s(), self.warm_up.rate_per_s()];
        rates.into_iter().flatten().reduce(f64::min)
    }

    /// Returns the time until a request with `ahead` others before it may be sent, in milliseconds.
    fn paced_wait_ms(&self, ahead: usize) -> u64 {
        self.pacer.wait_ms(ahead).max(self.warm_up.wait_ms(ahead))
    }

    /// Returns when the next request may be sent, if it is kept back.
    fn next_start(&self) -> Option<ClockTime> {
        self.pacer.next_start().max(self.warm_up.next_start())
    }

    /// Returns whether the pace holds back more than the slots do.
    ///
    /// If it doesn't, requests are shed as without a stated rate.
    fn is_rate_bound(&self) -> bool {
        let slot_rate_per_s = f64::from(self.limit.current()) * 1_000.0 / self.run_ms;
        match self.paced_rate_per_s() {
            Some(rate_per_s) => rate_per_s < slot_rate_per_s,
            None => self.pacer.is_pacing(),
        }
    }

    /// Returns whether there is a slot and the pace allows another request.
    fn can_start(&mut self, now: ClockTime) -> bool {
        self.has_slot()
            && self.pacer.may_start(now, self.in_flight())
            && self.warm_up.may_start(now)
    }

    /// Returns whether the stated rate would keep a request waiting for too long.
    ///
    /// This holds for nested calls too: another VM of the service may have room for them.
    fn exceeds_pace(&self, ticket: &QueueTicket, now: ClockTime, ahead: usize) -> bool {
        let wait_ms = self.paced_wait_ms(ahead);
        wait_ms > MAX_PACED_WAIT_MS || (wait_ms > 0 && !ticket.meets_deadline(now.plus_ms(wait_ms)))
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn has_slot(&self) -> bool {
        let limit = self.limit.current();
        self.in_flight() < limit + self.overcommit.min(limit / OVERCOMMIT_DIVISOR)
    }

    fn is_late(&self, now: ClockTime) -> bool {
        let target = self.settings.shed.target_wait_ms;
        self.waiting
            .oldest()
            .is_some_and(|oldest| now.since_ms(oldest) > target)
    }

    /// Returns the work that the backend server can do, in milliseconds of expected run time per
    /// second.
    fn capacity(&self) -> f64 {
        f64::from(self.limit.current()) * 1_000.0 * self.work_ms / self.run_ms
    }

    /// Returns the requests that can run at once, at the stated rate if there is one.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the result is at most the limit"
    )]
    fn usable_slots(&self) -> u32 {
        let limit = self.limit.current();
        let at_rate = self
            .paced_rate_per_s()
            .map(|rate_per_s| (rate_per_s * self.run_ms / 1_000.0).ceil());
        at_rate.map_or(limit, |slots| slots.clamp(1.0, f64::from(limit)) as u32)
    }

    fn queue_state(&self) -> QueueState {
        let capacity = self.capacity();
        QueueState {
            waits_ms: self
                .waiting
                .class_work_ms()
                .map(|work_ms| work_ms * 1_000.0 / capacity),
            capacity,
            free_fraction: (1.0 - f64::from(self.in_flight()) / f64::from(self.limit.current()))
                .max(0.0),
            nested_losses: self.nested_losses,
        }
    }

    fn wait_now(&self) -> u64 {
        let paced = self.paced_wait_ms(self.waiting.len());
        if self.has_slot() {
            return paced;
        }
        self.wait_behind(self.waiting.work_ms()).max(paced)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "waits are small and never negative"
    )]
    fn wait_behind(&self, work_ms: f64) -> u64 {
        (work_ms * 1_000.0 / self.capacity()) as u64
    }

    fn refuse_shed(&mut self, ticket: &QueueTicket) -> QueueRefusal {
        let is_over_share = ticket.order >= self.shed.thresholds().threshold;
        self.refusal(if is_over_share {
            RefusalReason::OverShare
        } else {
            RefusalReason::Overloaded
        })
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the span is clamped"
    )]
    fn refusal(&mut self, reason: RefusalReason) -> QueueRefusal {
        let span = OVERLOAD_RETRY_MS * self.shed.overload() + to_float(self.wait_now());
        let span = span.clamp(MIN_RETRY_MS, MAX_RETRY_MS) * self.random.random_range(0.75..1.25);
        QueueRefusal {
            reason,
            retry_after_ms: span as u64,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
const fn to_float(span_ms: u64) -> f64 {
    span_ms as f64
}
