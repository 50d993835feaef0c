use std::cell::Cell;
use std::rc::Rc;

use clock::ClockTime;
use limit::RunOutcome;
use model::AttemptId;
use wire::CallHead;

use crate::node_core::NodeCore;
use crate::running_calls::RunningCall;

/// Holds the slot of a running call until the last byte of its answer has been sent.
pub(crate) struct RunGuard {
    core: Rc<NodeCore>,
    pub(crate) call: Rc<RunningCall>,
    attempt: AttemptId,
    started: ClockTime,
    answered_ms: Cell<Option<u64>>,
}

impl RunGuard {
    pub(crate) fn start(core: &Rc<NodeCore>, head: &CallHead, deadline: ClockTime) -> Self {
        let started = core.now();
        let call = Rc::new(RunningCall::new(head, started, deadline));
        core.running.insert(head.attempt, Rc::clone(&call));
        Self {
            core: Rc::clone(core),
            call,
            attempt: head.attempt,
            started,
            answered_ms: Cell::new(None),
        }
    }

    pub(crate) fn now(&self) -> ClockTime {
        self.core.now()
    }

    /// Closes the allowance of the call and returns the unspent retries, which go back with the
    /// answer.
    pub(crate) fn take_allowance(&self) -> u32 {
        self.call.allowance.take().close().retries()
    }

    /// Records that the head of the answer has arrived and returns the time since the start, in
    /// milliseconds.
    pub(crate) fn mark_answered(&self) -> u32 {
        let run_ms = self.core.now().since_ms(self.started);
        self.answered_ms.set(Some(run_ms));
        u32::try_from(run_ms).unwrap_or(u32::MAX)
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.core.running.remove(self.attempt);
        if self.answered_ms.get().is_none() {
            self.call.abandon();
        }
        let outcome = match self.answered_ms.get() {
            Some(run_ms) => RunOutcome::Completed {
                own_ms: run_ms.saturating_sub(self.call.downstream_ms.get()),
            },
            None => RunOutcome::Failed,
        };
        let now = self.core.now();
        self.core.gate.finish(now, self.attempt, outcome);
    }
}
