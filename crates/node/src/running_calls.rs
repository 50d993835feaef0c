use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use clock::ClockTime;
use model::{AttemptId, CallImportance, RequestId, TeamName};
use wire::ServiceThreshold;

/// A call that the local backend server runs now.
pub(crate) struct RunningCall {
    pub(crate) request: RequestId,
    pub(crate) team: Option<TeamName>,
    pub(crate) team_weight: u32,
    pub(crate) importance: CallImportance,
    pub(crate) depth: u8,
    pub(crate) deadline: ClockTime,
    pub(crate) allowance: Cell<u16>,
    pub(crate) below_ms: Cell<u64>,
    pub(crate) thresholds: RefCell<Vec<ServiceThreshold>>,
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

    pub(crate) fn len(&self) -> usize {
        self.0.borrow().len()
    }
}
