use std::cell::{Cell, RefCell};

use clock::ClockTime;
use limit::{
    AdmissionQueue, BackendLoad, CompletionBatches, LoadReport, PaceChange, QueueAction,
    QueueDecision, QueueRefusal, QueueSettings, QueueTicket, RateStatement, RunOutcome,
    WarmUpChange, WarmUpLimits, WarmUpStatement,
};
use model::AttemptId;

use crate::change_notifier::ChangeNotifier;
use crate::decision_waiters::DecisionWaiters;
use crate::task_loop::loop_rounds;

/// The time for which a stated load holds, in milliseconds.
const STATED_LOAD_MS: u64 = 400;
/// The slowness of a host whose backend server has stated none of late, in percent.
const USUAL_SLOWNESS: u16 = 100;

/// The admission queue in front of the backend server, with the waiting calls.
pub(crate) struct IngressGate {
    queue: RefCell<AdmissionQueue>,
    batches: Cell<CompletionBatches>,
    /// The last load that the backend server stated with the slowness of its host.
    stated: Cell<Option<(ClockTime, BackendLoad)>>,
    waiting: DecisionWaiters<Result<(), QueueRefusal>>,
    /// Notified when the backend server has to be asked whether it is cold.
    pub(crate) question_due: ChangeNotifier,
}

impl IngressGate {
    pub(crate) fn new(settings: QueueSettings, seed: u64) -> Self {
        Self {
            queue: RefCell::new(AdmissionQueue::new(settings, seed)),
            batches: Cell::default(),
            stated: Cell::default(),
            waiting: DecisionWaiters::default(),
            question_due: ChangeNotifier::default(),
        }
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        self.queue.borrow_mut().set_slots(slots);
    }

    /// Discards the measurements after a crash of the backend server.
    pub(crate) fn reset(&self) {
        self.queue.borrow_mut().reset();
    }

    /// Sets what the contract states of cold backend servers.
    pub(crate) fn set_warm_up(&self, now: ClockTime, limits: Option<WarmUpLimits>) {
        let mut actions = Vec::new();
        let mut queue = self.queue.borrow_mut();
        queue.set_warm_up(now, limits, &mut actions);
        drop(queue);
        self.execute(actions);
    }

    /// Paces requests until a statement says that the backend server is warm.
    pub(crate) fn doubt_warmth(&self, now: ClockTime) -> WarmUpChange {
        let change = self.queue.borrow_mut().doubt_warmth(now);
        self.notify_question(now);
        change
    }

    /// Paces requests if the backend server has fallen silent.
    pub(crate) fn check_silence(&self, now: ClockTime) -> WarmUpChange {
        self.queue.borrow_mut().check_silence(now)
    }

    /// Asks the backend server soon whether it is cold, without pacing requests.
    pub(crate) fn suspect_cold(&self, now: ClockTime) {
        self.queue.borrow_mut().suspect_cold();
        self.notify_question(now);
    }

    /// Records how long the backend server stays cold.
    pub(crate) fn record_warm_up(
        &self,
        now: ClockTime,
        statement: WarmUpStatement,
    ) -> WarmUpChange {
        let mut actions = Vec::new();
        let mut queue = self.queue.borrow_mut();
        let change = queue.record_warm_up(now, statement, &mut actions);
        drop(queue);
        self.execute(actions);
        change
    }

    /// Returns the rate at which requests are sent to a backend server that is or may be cold.
    pub(crate) fn warm_up_rate_per_s(&self) -> Option<f64> {
        self.queue.borrow().warm_up_rate_per_s()
    }

    /// Returns when the backend server has to be asked whether it is cold, if it has to be.
    pub(crate) fn next_question(&self, now: ClockTime) -> Option<ClockTime> {
        self.queue.borrow_mut().next_question(now)
    }

    /// Records that the backend server is asked.
    pub(crate) fn begin_question(&self, now: ClockTime) {
        self.queue.borrow_mut().begin_question(now);
    }

    /// Records the answer to the question, how many milliseconds the backend server stays cold.
    pub(crate) fn finish_question(&self, now: ClockTime, cold_ms: Option<u64>) -> WarmUpChange {
        let mut actions = Vec::new();
        let mut queue = self.queue.borrow_mut();
        let change = queue.finish_question(now, cold_ms, &mut actions);
        drop(queue);
        self.execute(actions);
        change
    }

    /// Wakes the task that asks the backend server, if a question is due.
    fn notify_question(&self, now: ClockTime) {
        if self.next_question(now).is_some_and(|due| due <= now) {
            self.question_due.notify();
        }
    }

    pub(crate) fn load(&self, now: ClockTime) -> LoadReport {
        let mut report = self.queue.borrow().load(now);
        if let Some((at, stated)) = self.stated.get() {
            let is_fresh = now.since_ms(at) < STATED_LOAD_MS;
            report.slowness = if is_fresh {
                stated.slowness
            } else {
                USUAL_SLOWNESS
            };
            let waiting = if is_fresh { stated.waiting } else { 0 };
            report.queued = report.queued.max(waiting.min(report.limit));
        }
        report
    }

    /// Records the load that the backend server states, if it states the slowness of its host, and
    /// returns whether it is the first time.
    pub(crate) fn record_load(&self, now: ClockTime, load: BackendLoad) -> bool {
        if load.slowness == 0 {
            return false;
        }
        self.stated.replace(Some((now, load))).is_none()
    }

    /// Returns whether a call that arrives now waits.
    pub(crate) fn is_full(&self) -> bool {
        self.queue.borrow().is_full()
    }

    /// Waits until a call may run.
    ///
    /// Dropping the future while it waits removes the call from the queue.
    pub(crate) async fn enter(
        &self,
        clock: impl Fn() -> ClockTime,
        ticket: QueueTicket,
    ) -> Result<(), QueueRefusal> {
        let id = ticket.id;
        let now = clock();
        let decision = self.queue.borrow_mut().offer(now, ticket);
        self.notify_question(now);
        match decision {
            QueueDecision::Start => Ok(()),
            QueueDecision::Refuse(refusal) => Err(refusal),
            QueueDecision::Wait => {
                let waiting = self.waiting.register(id);
                let mut cancel_guard = WaitGuard {
                    gate: self,
                    clock,
                    id: Some(id),
                };
                let decision = waiting.await;
                cancel_guard.id = None;
                decision.expect("the gate keeps the sender until the queue has decided")
            }
        }
    }

    /// Frees the slot of a call that ran.
    pub(crate) fn finish(&self, now: ClockTime, id: AttemptId, outcome: RunOutcome) {
        let mut batches = self.batches.get();
        batches.record_completion(loop_rounds());
        self.batches.set(batches);
        let mut actions = Vec::new();
        let mut queue = self.queue.borrow_mut();
        queue.set_overcommit(batches.mean_excess());
        queue.finish(now, id, outcome, &mut actions);
        drop(queue);
        self.execute(actions);
    }

    /// Returns the request rate that the backend server states, in requests per second.
    pub(crate) fn stated_rate_per_s(&self) -> Option<f64> {
        self.queue.borrow().stated_rate_per_s()
    }

    /// Records what an answer says about the request rate that the backend server accepts.
    pub(crate) fn record_statement(&self, now: ClockTime, statement: RateStatement) -> PaceChange {
        let mut actions = Vec::new();
        let mut queue = self.queue.borrow_mut();
        let change = queue.record_statement(now, statement, &mut actions);
        drop(queue);
        self.execute(actions);
        change
    }

    /// Removes an abandoned call from the queue.
    pub(crate) fn cancel(&self, now: ClockTime, id: AttemptId) {
        self.waiting.remove(id);
        let mut actions = Vec::new();
        self.queue.borrow_mut().cancel(now, id, &mut actions);
        self.execute(actions);
    }

    /// Executes the queue actions that are due by `now`.
    pub(crate) fn tick(&self, now: ClockTime) {
        let mut actions = Vec::new();
        self.queue.borrow_mut().tick(now, &mut actions);
        self.execute(actions);
    }

    /// Returns the time by which [`tick`](Self::tick) must be called, if any.
    pub(crate) fn next_tick(&self) -> Option<ClockTime> {
        self.queue.borrow().next_tick()
    }

    fn execute(&self, actions: Vec<QueueAction>) {
        for action in actions {
            match action {
                QueueAction::Start(id) => self.waiting.notify(id, Ok(())),
                QueueAction::Refuse(id, refusal) => self.waiting.notify(id, Err(refusal)),
            }
        }
    }
}

/// Removes a call from the queue if its future is dropped while it waits.
struct WaitGuard<'g, C: Fn() -> ClockTime> {
    gate: &'g IngressGate,
    clock: C,
    id: Option<AttemptId>,
}

impl<C: Fn() -> ClockTime> Drop for WaitGuard<'_, C> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.gate.cancel((self.clock)(), id);
        }
    }
}
