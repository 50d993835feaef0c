use std::rc::Rc;

use model::TeamName;
use retry::{AllowanceShare, ResendDecision};
use wire::CallHead;
use xxhash_rust::xxh3::Xxh3Default;

use crate::call_headers::idempotency_key;
use crate::node_core::NodeCore;

/// The retries that a request without an idempotency key may spend over its whole chain.
const KEYLESS_ALLOWANCE: u32 = 3;

/// The retries of a caller's request, which its resends under one idempotency key share.
pub(crate) struct ResendCharge {
    core: Rc<NodeCore>,
    key: Option<u128>,
    allowance: u32,
}

impl ResendCharge {
    /// Opens the charge of a request, or returns `None` when its retries are spent.
    ///
    /// A call that must run once goes on without retries: its duplicates don't run, and their
    /// caller may be waiting for the answer of the first.
    pub(crate) fn open(core: &Rc<NodeCore>, head: &CallHead) -> Option<Self> {
        let key = resend_key(head);
        let allowance = match key {
            None => KEYLESS_ALLOWANCE,
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
