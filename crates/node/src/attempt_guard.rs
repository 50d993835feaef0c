use std::cell::Cell;
use std::rc::Rc;

use model::{AttemptId, RefusalReason, RunVerdict};
use once::AttemptArrival;
use wire::CallHead;

use crate::call_answer::CallRefusal;
use crate::node_core::NodeCore;

/// The retry delay for callers of a node whose attempt table is full, in milliseconds.
const TABLE_FULL_RETRY_AFTER_MS: u64 = 1_000;

/// Tracks a running attempt in the attempt table, so that its sender can query the outcome if the
/// link breaks.
pub(crate) struct AttemptGuard {
    core: Rc<NodeCore>,
    attempt: AttemptId,
    verdict: Cell<RunVerdict>,
}

impl AttemptGuard {
    /// Records an arriving attempt. One that this node sent to itself carries no mark.
    pub(crate) fn on_arrival(core: &Rc<NodeCore>, head: &CallHead) -> Result<Self, CallRefusal> {
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
            AttemptArrival::Full => Err(CallRefusal::not_run(RefusalReason::Overloaded)
                .with_retry_after_ms(TABLE_FULL_RETRY_AFTER_MS)),
        }
    }

    pub(crate) fn set_verdict(&self, verdict: RunVerdict) {
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
