use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use clock::ClockTime;
use graph::{CallTarget, guess_parent};
use model::{AttemptId, CallImportance, RequestId, TeamName};
use retry::{AllowanceShare, CallRepeats, RetryAllowance};
use wire::{AnswerHead, CallHead};

use crate::change_notifier::ChangeNotifier;

/// The different calls that are remembered for one running call.
const MAX_REMEMBERED_CALLS: usize = 1_000;

/// A call that the local backend server runs now.
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
    pub(crate) used: RefCell<BTreeSet<CallTarget>>,
    /// The time spent waiting for calls below, in milliseconds.
    pub(crate) below_ms: Cell<u64>,
    /// Whether a call that it made was lost to load.
    pub(crate) has_lost_call: Cell<bool>,
    is_given_up: Cell<bool>,
    given_up: ChangeNotifier,
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
            used: RefCell::default(),
            below_ms: Cell::new(0),
            has_lost_call: Cell::new(false),
            is_given_up: Cell::new(false),
            given_up: ChangeNotifier::default(),
        }
    }

    /// Notes whether a call that this one made was lost to load.
    pub(crate) fn note_loss(&self, answer: &AnswerHead) {
        if answer.is_overload_failure {
            self.has_lost_call.set(true);
        }
    }

    /// Stops the calls below, as nobody waits for this one any more.
    pub(crate) fn give_up(&self) {
        self.is_given_up.set(true);
        self.given_up.notify();
    }

    /// Waits until nobody waits for this call any more.
    pub(crate) async fn wait_given_up(&self) {
        if !self.is_given_up.get() {
            self.given_up.wait().await;
        }
    }
}

/// The calls that the local backend server runs now, by attempt.
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

    /// Returns the call that is likely to be served by one that ends at a moment, and may last
    /// `allowed_ms` milliseconds at most.
    pub(crate) fn guess(&self, end: ClockTime, allowed_ms: u64) -> Option<Rc<RunningCall>> {
        let running = self.0.borrow();
        let running = running.values().map(|call| {
            let longest = call.started.plus_ms(allowed_ms);
            (call, call.deadline.min(longest))
        });
        guess_parent(running, end).cloned()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.borrow().len()
    }
}
