use std::collections::BTreeMap;

use model::AttemptId;

use crate::AllowanceShare;

/// The retries that one node may spend or hand down for one request.
///
/// # Examples
///
/// ```
/// use lentilshift_model::AttemptId;
/// use lentilshift_retry::{AllowanceShare, RetryAllowance};
///
/// let mut allowance = RetryAllowance::new(AllowanceShare::new(4));
/// let attempt = AttemptId::from_random(1);
/// let share = allowance.hand_down(attempt, 1);
/// assert_eq!(share.retries(), 2);
/// assert!(allowance.spend());
/// allowance.take_back(attempt, share);
/// assert_eq!(allowance.left(), 3);
/// ```
#[derive(Debug, Default)]
pub struct RetryAllowance {
    left: AllowanceShare,
    handed: BTreeMap<AttemptId, u32>,
}

impl RetryAllowance {
    /// Creates the allowance of a request from the share that came with it.
    #[must_use]
    pub const fn new(share: AllowanceShare) -> Self {
        Self {
            left: share,
            handed: BTreeMap::new(),
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

    /// Splits off the share of one attempt, leaving parts as large for this node and for
    /// `more_calls - 1` calls that are still to come.
    pub fn hand_down(&mut self, attempt: AttemptId, more_calls: u32) -> AllowanceShare {
        let retries = self.left() / more_calls.saturating_add(1);
        let share = self.left.split(retries);
        self.handed.insert(attempt, share.retries());
        share
    }

    /// Takes back what an attempt didn't spend; a second answer to the attempt adds nothing.
    pub fn take_back(&mut self, attempt: AttemptId, unspent: AllowanceShare) {
        let Some(handed) = self.handed.remove(&attempt) else {
            return;
        };
        let mut unspent = unspent;
        self.left.merge(unspent.split(handed));
    }

    /// Gives what is left to the answer of this node's own caller.
    #[must_use]
    pub fn close(self) -> AllowanceShare {
        self.left
    }
}
