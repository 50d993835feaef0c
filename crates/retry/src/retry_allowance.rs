use std::collections::BTreeMap;

use model::AttemptId;

use crate::AllowanceShare;

/// The retries that one node may spend or delegate for one request.
///
/// # Examples
///
/// ```
/// use model::AttemptId;
/// use lentilshift_retry::{AllowanceShare, RetryAllowance};
///
/// let mut allowance = RetryAllowance::new(AllowanceShare::new(4));
/// let attempt = AttemptId::from_random(1);
/// let share = allowance.delegate(attempt, 1);
/// assert_eq!(share.retries(), 2);
/// assert!(allowance.spend());
/// allowance.reclaim(attempt, share);
/// assert_eq!(allowance.left(), 3);
/// ```
#[derive(Debug, Default)]
pub struct RetryAllowance {
    left: AllowanceShare,
    delegated: BTreeMap<AttemptId, u32>,
}

impl RetryAllowance {
    /// Creates the allowance of a request from the share that arrived with it.
    #[must_use]
    pub const fn new(share: AllowanceShare) -> Self {
        Self {
            left: share,
            delegated: BTreeMap::new(),
        }
    }

    /// Returns the retries left at this node.
    #[must_use]
    pub const fn left(&self) -> u32 {
        self.left.retries()
    }

    /// Spends one retry, or returns `false` when none is left.
    pub fn spend(&mut self) -> bool {
        self.left.split(1).retries() == 1
    }

    /// Splits off the share of one attempt, so that equal shares remain for this node and for
    /// `more_calls - 1` further calls.
    pub fn delegate(&mut self, attempt: AttemptId, more_calls: u32) -> AllowanceShare {
        let retries = self.left() / more_calls.saturating_add(1);
        let share = self.left.split(retries);
        self.delegated.insert(attempt, share.retries());
        share
    }

    /// Adds back the retries that an attempt didn't spend, at most as many as were delegated to it.
    /// A second answer to the same attempt adds nothing.
    pub fn reclaim(&mut self, attempt: AttemptId, unspent: AllowanceShare) {
        let Some(delegated) = self.delegated.remove(&attempt) else {
            return;
        };
        let mut unspent = unspent;
        self.left.merge(unspent.split(delegated));
    }

    /// Returns the unspent retries, to be sent back with the answer to the caller.
    #[must_use]
    pub fn close(self) -> AllowanceShare {
        self.left
    }
}
