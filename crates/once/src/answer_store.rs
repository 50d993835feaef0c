use std::collections::{BTreeMap, VecDeque};

use model::AttemptId;

use crate::StoredAnswer;

/// The answers a node keeps, the oldest dropped first when their bytes exceed a bound.
#[derive(Clone, Debug, Default)]
pub struct AnswerStore {
    answers: BTreeMap<AttemptId, StoredAnswer>,
    order: VecDeque<AttemptId>,
    bytes: usize,
    max_bytes: usize,
}

impl AnswerStore {
    /// Creates a store that keeps at most `max_bytes` bytes.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            ..Self::default()
        }
    }

    /// Keeps the answer to an attempt, unless it is larger than the whole store.
    pub fn insert(&mut self, attempt: AttemptId, answer: StoredAnswer) {
        if answer.len() > self.max_bytes || self.answers.contains_key(&attempt) {
            return;
        }
        self.bytes += answer.len();
        self.answers.insert(attempt, answer);
        self.order.push_back(attempt);
        while self.bytes > self.max_bytes {
            self.drop_oldest();
        }
    }

    /// Returns the answer to an attempt, when it is still kept.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<&StoredAnswer> {
        self.answers.get(&attempt)
    }

    /// Returns the bytes of all kept answers.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn drop_oldest(&mut self) {
        let Some(attempt) = self.order.pop_front() else {
            return;
        };
        if let Some(answer) = self.answers.remove(&attempt) {
            self.bytes -= answer.len();
        }
    }
}
