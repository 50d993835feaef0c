use std::cell::Cell;
use std::rc::Rc;

use model::{AttemptId, RefusalReason, RunVerdict};
use once::AttemptArrival;
use wire::CallHead;

use crate::call_answer::CallRefusal;
use crate::node_core::NodeCore;

/// The time after which callers come back to a node whose table of attempts is full, in
/// milliseconds.
const TABLE_FULL_MS: u64 = 1_000;

/// Keeps an attempt of another node in the table of attempts, for senders in doubt.
pub(crate) struct AttemptGuard {
    core: Rc<NodeCore>,
    attempt: AttemptId,
    verdict: Cell<RunVerdict>,
}

impl AttemptGuard {
    /// Notes an attempt that arrives; one of this node itself carries no mark.
    pub(crate) fn arrive(core: &Rc<NodeCore>, head: &CallHead) -> Result<Self, CallRefusal> {
        let now = core.now();
        let mut table = core.attempts.borrow_mut();
        let mark = head.mark.unwrap_or_else(|| table.mark(now));
        match table.on_arrival(now, head.attempt, mark) {
            AttemptArrival::Accept => Ok(Self {
                core: Rc::clone(core),
                attempt: head.attempt,
                verdict: Cell::new(RunVerdict::MayHaveRun),
            }),
            AttemptArrival::Repeated => Err(CallRefusal::may_have_run(RefusalReason::LinkBroken)),
            AttemptArrival::ReportedNotSeen | AttemptArrival::Stale => {
                Err(CallRefusal::not_run(RefusalReason::LinkBroken))
            }
            AttemptArrival::Full => {
                Err(CallRefusal::not_run(RefusalReason::Overloaded).after_ms(TABLE_FULL_MS))
            }
        }
    }

    pub(crate) fn settle(&self, verdict: RunVerdict) {
        self.verdict.set(verdict);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.core.now();
        let mut table = self.core.attempts.borrow_mut();
        match self.verdict.get() {
            RunVerdict::NotRun => table.refuse(now, self.attempt),
            _ => table.finish(now, self.attempt, None),
        }
    }
}
