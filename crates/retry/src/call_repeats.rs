use std::collections::BTreeSet;

use crate::RetryAllowance;

/// Whether a call of a backend server may be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatDecision {
    /// The call is the first of its kind for the request.
    First,
    /// The call repeats an earlier one and has spent a retry.
    Repeat,
    /// The call repeats an earlier one and no retry is left: it is not run.
    Exhausted,
}

/// The calls that the local backend server has made for one parent request.
///
/// A repeated call is a retry made by the backend server, and is spent from the allowance.
#[derive(Clone, Debug, Default)]
pub struct CallRepeats {
    seen: BTreeSet<u64>,
    max_calls: usize,
}

impl CallRepeats {
    /// Creates a memory of at most `max_calls` different calls; further ones count as repeats.
    #[must_use]
    pub const fn new(max_calls: usize) -> Self {
        Self {
            seen: BTreeSet::new(),
            max_calls,
        }
    }

    /// Judges a call by the digest of its service, call and body or idempotency key.
    pub fn judge(&mut self, digest: u64, allowance: &mut RetryAllowance) -> RepeatDecision {
        let has_room = self.seen.len() < self.max_calls;
        if has_room && self.seen.insert(digest) {
            return RepeatDecision::First;
        }
        if allowance.spend() {
            RepeatDecision::Repeat
        } else {
            RepeatDecision::Exhausted
        }
    }
}
