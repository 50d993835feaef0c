use std::rc::Rc;

use model::{RefusalReason, RequestId, RunVerdict, TeamName};
use retry::{AllowanceShare, CountDecision, ResendDecision};
use wire::CallHead;
use xxhash_rust::xxh3::Xxh3Default;

use crate::call_answer::CallRefusal;
use crate::call_headers::idempotency_key;
use crate::node_core::NodeCore;

/// The retry delay for the caller of a request whose retries are exhausted, in milliseconds.
const RESENDS_EXHAUSTED_RETRY_AFTER_MS: u64 = 60_000;

/// Returns the refusal of a request whose retries are exhausted.
pub(crate) const fn resends_exhausted() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::Overloaded)
        .with_retry_after_ms(RESENDS_EXHAUSTED_RETRY_AFTER_MS)
}

/// Counts a caller's request at the VM to which all its copies are routed, and uncounts it if it
/// didn't run.
pub(crate) struct ResendCount {
    core: Rc<NodeCore>,
    /// The key under which this attempt counted the request, unless another attempt counted it.
    key: Option<u128>,
    request: RequestId,
}

impl ResendCount {
    /// Counts a request, or returns `None` when its copies have exhausted its retries.
    ///
    /// A once call isn't counted, since claims prevent its duplicates from running.
    pub(crate) fn open(core: &Rc<NodeCore>, head: &CallHead) -> Option<Self> {
        let is_counted = head.depth == 0 && !head.once;
        let mut count = Self {
            core: Rc::clone(core),
            key: is_counted.then(|| resend_key(head)).flatten(),
            request: head.request,
        };
        if let Some(key) = count.key {
            let mut counts = core.resend_counts.borrow_mut();
            match counts.admit(core.now(), key, head.request) {
                CountDecision::Counted => {}
                CountDecision::Known => count.key = None,
                CountDecision::Exhausted => return None,
            }
        }
        Some(count)
    }

    /// Uncounts the request if it didn't run.
    pub(crate) fn close(self, verdict: RunVerdict) {
        if let (Some(key), RunVerdict::NotRun) = (self.key, verdict) {
            let mut counts = self.core.resend_counts.borrow_mut();
            counts.uncount(key, self.request);
        }
    }
}

/// The retry allowance of a caller's request, shared with its resends under one idempotency key.
pub(crate) struct ResendAllowance {
    core: Rc<NodeCore>,
    key: Option<u128>,
    allowance: u32,
}

impl ResendAllowance {
    /// Reserves the retries of a request, or returns `None` when they are exhausted. A request
    /// without an idempotency key gets the allowance in its head.
    ///
    /// A once call continues without retries instead. Its duplicates don't run, and their caller
    /// may be waiting for the answer of the first.
    pub(crate) fn open(core: &Rc<NodeCore>, head: &CallHead) -> Option<Self> {
        let key = resend_key(head);
        let allowance = match key {
            None => head.allowance,
            Some(key) => match core.resends.borrow_mut().open(core.now(), key) {
                ResendDecision::First(share) | ResendDecision::Resend(share) => share.retries(),
                ResendDecision::Exhausted if head.once => 0,
                ResendDecision::Exhausted => return None,
            },
        };
        Some(Self {
            core: Rc::clone(core),
            key,
            allowance,
        })
    }

    pub(crate) const fn allowance(&self) -> u32 {
        self.allowance
    }

    /// Returns the unspent retries to the allowance of the key.
    pub(crate) fn close(self, unspent: u32) {
        if let Some(key) = self.key {
            let unspent = AllowanceShare::new(unspent.min(self.allowance));
            self.core.resends.borrow_mut().close(key, unspent);
        }
    }
}

/// Returns a digest of the team, the call and its idempotency key, or `None` without a key.
fn resend_key(head: &CallHead) -> Option<u128> {
    let key = idempotency_key(head)?;
    let team = head.team.as_ref().map_or("", TeamName::as_str);
    let mut hasher = Xxh3Default::new();
    for text in [team, head.call.as_str()] {
        hasher.update(text.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&key);
    Some(hasher.digest128())
}
