use std::rc::Rc;

use clock::ClockTime;
use graph::CallTarget;
use model::{RefusalReason, RunVerdict, ShedClass};
use wire::{AnswerHead, CallHead};

use crate::call_answer::CallRefusal;
use crate::chain_admission::{call_target, chain_retry_after_ms};
use crate::node_core::NodeCore;

/// The latency recorded for a request that failed under overload, as a multiple of its allowed
/// latency. The work of its whole chain is wasted, so a few such requests close the window.
const OVERLOAD_LATENCY_FACTOR: u64 = 3;
/// The lowest HTTP status that reports a failure of the backend server.
const MIN_FAILURE_STATUS: u16 = 500;

/// Holds a place in an entry window for a request until it is answered.
///
/// The window limits the requests in flight that entered at this node.
pub(crate) struct EntryPermit {
    core: Rc<NodeCore>,
    /// The class and kind of call whose requests share a window.
    key: (ShedClass, CallTarget),
    started: ClockTime,
    allowed_ms: u64,
    /// Whether the request ran and didn't fail.
    is_served: bool,
    /// Whether the request was started and then failed under overload.
    is_overload_failure: bool,
}

impl EntryPermit {
    /// Admits a request that should be answered within `allowed_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns a refusal with a retry delay when the window is full.
    pub(crate) fn acquire(
        core: &Rc<NodeCore>,
        head: &CallHead,
        allowed_ms: u64,
    ) -> Result<Self, CallRefusal> {
        let key = (head.shed_order().class(), call_target(head));
        if !core.windows.borrow_mut().enter(&key) {
            let refusal = CallRefusal::not_run(RefusalReason::Overloaded);
            let after_ms = chain_retry_after_ms(core, head, &head.service);
            return Err(refusal
                .with_retry_after_ms(after_ms)
                .with_service(&head.service));
        }
        Ok(Self {
            core: Rc::clone(core),
            key,
            started: core.now(),
            allowed_ms,
            is_served: false,
            is_overload_failure: false,
        })
    }

    /// Releases the permit of an answered request.
    pub(crate) fn release(mut self, answer: &AnswerHead) {
        self.is_served = answer.verdict == RunVerdict::Ran && answer.status < MIN_FAILURE_STATUS;
        self.is_overload_failure =
            answer.verdict != RunVerdict::NotRun && answer.is_overload_failure;
    }
}

impl Drop for EntryPermit {
    /// Removes the request from its window, with the latency to record.
    ///
    /// A request that failed under overload is recorded with a multiple of the allowed latency. No
    /// latency is recorded for one that ended early because it was refused, failed for another
    /// reason or was abandoned by its caller, as it doesn't show how long others take.
    fn drop(&mut self) {
        let now = self.core.now();
        let latency_ms = now.since_ms(self.started);
        let is_late = latency_ms >= self.allowed_ms;
        let latency_ms = if self.is_overload_failure {
            Some(self.allowed_ms * OVERLOAD_LATENCY_FACTOR)
        } else {
            (self.is_served || is_late).then_some(latency_ms)
        };
        let chain = self.core.chain.borrow();
        let mut windows = self.core.windows.borrow_mut();
        windows.leave(now, &self.key, latency_ms, self.allowed_ms, |kind| {
            chain.share_service(&self.key.1, kind)
        });
    }
}
