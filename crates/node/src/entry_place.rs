use std::rc::Rc;

use clock::ClockTime;
use graph::CallTarget;
use model::{RefusalReason, RunVerdict, ShedClass};
use wire::{AnswerHead, CallHead};

use crate::call_answer::CallRefusal;
use crate::chain_watch::{return_after_ms, target_of};
use crate::node_core::NodeCore;

/// How many times its whole time a request counts for that was lost to load: the work of its whole
/// chain is wasted, so a few such requests close the window.
const LOST_TIMES: u64 = 3;
/// The first status by which a backend server tells that it failed.
const FIRST_FAILURE: u16 = 500;

/// The place that a request holds among those that entered here and aren't answered yet.
pub(crate) struct EntryPlace {
    core: Rc<NodeCore>,
    /// The class and kind of request that share a window.
    key: (ShedClass, CallTarget),
    started: ClockTime,
    allowed_ms: u64,
    /// Whether the request was served.
    is_served: bool,
    /// Whether the request was begun and then lost to load.
    is_lost: bool,
}

impl EntryPlace {
    /// Takes a place for a request that should be answered within `allowed_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the time to come back when all places are taken.
    pub(crate) fn take(
        core: &Rc<NodeCore>,
        head: &CallHead,
        allowed_ms: u64,
    ) -> Result<Self, CallRefusal> {
        let key = (head.shed_order().class(), target_of(head));
        if !core.windows.borrow_mut().enter(&key) {
            let refusal = CallRefusal::not_run(RefusalReason::Overloaded);
            let after_ms = return_after_ms(core, head, &head.service);
            return Err(refusal.after_ms(after_ms).by(&head.service));
        }
        Ok(Self {
            core: Rc::clone(core),
            key,
            started: core.now(),
            allowed_ms,
            is_served: false,
            is_lost: false,
        })
    }

    /// Gives the place back once the request is answered.
    pub(crate) fn close(mut self, answer: &AnswerHead) {
        self.is_served = answer.verdict == RunVerdict::Ran && answer.status < FIRST_FAILURE;
        self.is_lost = answer.verdict != RunVerdict::NotRun && answer.is_overload_failure;
    }
}

impl Drop for EntryPlace {
    /// Gives the place back.
    ///
    /// A request lost to load counts as one that took far too long. One that was refused, failed
    /// for another reason or was left by its caller says nothing of the time that others take.
    fn drop(&mut self) {
        let now = self.core.now();
        let latency_ms = now.since_ms(self.started);
        let is_late = latency_ms >= self.allowed_ms;
        let latency_ms = if self.is_lost {
            Some(self.allowed_ms * LOST_TIMES)
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
