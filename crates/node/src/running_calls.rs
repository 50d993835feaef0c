use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use clock::ClockTime;
use graph::{CallTarget, guess_parent};
use model::{AttemptId, CallImportance, RequestId, TeamName};
use retry::{AllowanceShare, CallRepeats, RetryAllowance};
use wire::{AnswerHead, CallHead};

use crate::change_notifier::ChangeNotifier;

/// The largest number of distinct calls that are remembered for one running call.
const MAX_REMEMBERED_CALLS: usize = 1_000;

/// A call that the local backend server is running.
pub(crate) struct RunningCall {
    pub(crate) request: RequestId,
    pub(crate) team: Option<TeamName>,
    pub(crate) team_weight: u32,
    pub(crate) importance: CallImportance,
    pub(crate) call_importance: CallImportance,
    pub(crate) depth: u8,
    pub(crate) started: ClockTime,
    pub(crate) deadline: ClockTime,
    pub(crate) allowance: RefCell<RetryAllowance>,
    pub(crate) repeats: RefCell<CallRepeats>,
    pub(crate) downstream_calls: RefCell<BTreeSet<CallTarget>>,
    /// The time spent waiting for downstream calls, in milliseconds.
    pub(crate) downstream_ms: Cell<u64>,
    /// Whether a downstream call failed because of overload.
    pub(crate) has_overload_failure: Cell<bool>,
    is_abandoned: Cell<bool>,
    abandoned: ChangeNotifier,
}

impl RunningCall {
    pub(crate) fn new(head: &CallHead, started: ClockTime, deadline: ClockTime) -> Self {
        let share = AllowanceShare::new(head.allowance);
        Self {
            request: head.request,
            team: head.team.clone(),
            team_weight: head.team_weight,
            importance: head.importance,
            call_importance: head.call_importance,
            depth: head.depth,
            started,
            deadline,
            allowance: RefCell::new(RetryAllowance::new(share)),
            repeats: RefCell::new(CallRepeats::new(MAX_REMEMBERED_CALLS)),
            downstream_calls: RefCell::default(),
            downstream_ms: Cell::new(0),
            has_overload_failure: Cell::new(false),
            is_abandoned: Cell::new(false),
            abandoned: ChangeNotifier::default(),
        }
    }

    /// Records whether a downstream call failed because of overload.
    pub(crate) fn record_overload_failure(&self, answer: &AnswerHead) {
        if answer.is_overload_failure {
            self.has_overload_failure.set(true);
        }
    }

    /// Stops the downstream calls, as no caller waits for this call any more.
    pub(crate) fn abandon(&self) {
        self.is_abandoned.set(true);
        self.abandoned.notify();
    }

    /// Waits until no caller waits for this call any more.
    pub(crate) async fn wait_abandoned(&self) {
        if !self.is_abandoned.get() {
            self.abandoned.wait().await;
        }
    }
}

/// The calls that the local backend server is running, by attempt.
#[derive(Default)]
pub(crate) struct RunningCalls(RefCell<BTreeMap<AttemptId, Rc<RunningCall>>>);

impl RunningCalls {
    pub(crate) fn insert(&self, attempt: AttemptId, call: Rc<RunningCall>) {
        self.0.borrow_mut().insert(attempt, call);
    }

    pub(crate) fn remove(&self, attempt: AttemptId) {
        self.0.borrow_mut().remove(&attempt);
    }

    pub(crate) fn get(&self, attempt: AttemptId) -> Option<Rc<RunningCall>> {
        self.0.borrow().get(&attempt).cloned()
    }

    /// Returns the running call that most likely sent a call with this deadline, which may last
    /// `allowed_ms` milliseconds at most.
    pub(crate) fn infer_parent(
        &self,
        deadline: ClockTime,
        allowed_ms: u64,
    ) -> Option<Rc<RunningCall>> {
        let running = self.0.borrow();
        let running = running.values().map(|call| {
            let longest = call.started.plus_ms(allowed_ms);
            (call, call.deadline.min(longest))
        });
        guess_parent(running, deadline).cloned()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.borrow().len()
    }
}
