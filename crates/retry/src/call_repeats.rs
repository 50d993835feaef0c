use std::collections::BTreeSet;

use crate::RetryAllowance;

/// Whether a call made by a backend server may be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatDecision {
    /// The call differs from all earlier ones for the request.
    First,
    /// The call repeats an earlier one; a retry was spent on it.
    Repeat,
    /// The call repeats an earlier one and no retry is left, so it must not be forwarded.
    Exhausted,
}

/// The calls that the local backend server has made while it handles one parent request.
///
/// A repeated call counts as a retry by the backend server and is charged to the allowance.
#[derive(Clone, Debug, Default)]
pub struct CallRepeats {
    seen: BTreeSet<u64>,
    max_calls: usize,
}

impl CallRepeats {
    /// Creates an empty set of at most `max_calls` different calls; further ones count as repeats.
    #[must_use]
    pub const fn new(max_calls: usize) -> Self {
        Self {
            seen: BTreeSet::new(),
            max_calls,
        }
    }

    /// Classifies a call by the digest of its service, method, path and body.
    pub fn classify(&mut self, digest: u64, allowance: &mut RetryAllowance) -> RepeatDecision {
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
