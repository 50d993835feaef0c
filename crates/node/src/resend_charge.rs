use std::rc::Rc;

use model::{RefusalReason, RequestId, RunVerdict, TeamName};
use retry::{AllowanceShare, CountDecision, ResendDecision};
use wire::CallHead;
use xxhash_rust::xxh3::Xxh3Default;

use crate::call_answer::CallRefusal;
use crate::call_headers::idempotency_key;
use crate::node_core::NodeCore;

/// The time after which a caller may send a request again whose retries are spent, in
/// milliseconds.
const RESENDS_SPENT_MS: u64 = 60_000;

/// Returns the refusal of a request whose retries are spent.
pub(crate) const fn resends_spent() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::Overloaded).after_ms(RESENDS_SPENT_MS)
}

/// Counts a caller's request at the VM where its copies meet, until it turns out not to have run.
pub(crate) struct ResendCount {
    core: Rc<NodeCore>,
    /// The key under which this attempt counted the request.
    key: Option<u128>,
    request: RequestId,
}

impl ResendCount {
    /// Counts a request, or returns `None` when its copies have spent its retries.
    ///
    /// Claims keep duplicates of a call that must run once from running.
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

    /// Takes the count back when the request didn't run.
    pub(crate) fn close(self, verdict: RunVerdict) {
        if let (Some(key), RunVerdict::NotRun) = (self.key, verdict) {
            let mut counts = self.core.resend_counts.borrow_mut();
            counts.uncount(key, self.request);
        }
    }
}

/// The retries of a caller's request, which its resends under one idempotency key share.
pub(crate) struct ResendCharge {
    core: Rc<NodeCore>,
    key: Option<u128>,
    allowance: u32,
}

impl ResendCharge {
    /// Opens the charge of a request whose head holds its allowance, or returns `None` when its retries are spent.
    ///
    /// A call that must run once goes on without retries: its duplicates don't run, and their
    /// caller may be waiting for the answer of the first.
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

    /// Gives back what the request didn't spend.
    pub(crate) fn close(self, unspent: u32) {
        if let Some(key) = self.key {
            let unspent = AllowanceShare::new(unspent.min(self.allowance));
            self.core.resends.borrow_mut().close(key, unspent);
        }
    }
}

/// Returns a digest of the team, the call and its idempotency key.
fn resend_key(head: &CallHead) -> Option<u128> {
    let key = idempotency_key(head)?;
    let team = head.team.as_ref().map_or("", TeamName::as_str);
    let mut hasher = Xxh3Default::new();
    for part in [team, head.call.as_str()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&key);
    Some(hasher.digest128())
}
