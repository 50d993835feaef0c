use std::collections::{BTreeMap, VecDeque};

use model::AttemptId;

use crate::StoredAnswer;

/// The answers stored by a node, up to a total size; the oldest are evicted first.
#[derive(Clone, Debug, Default)]
pub struct AnswerStore {
    answers: BTreeMap<AttemptId, StoredAnswer>,
    order: VecDeque<AttemptId>,
    bytes: usize,
    max_bytes: usize,
}

impl AnswerStore {
    /// Creates a store of at most `max_bytes` bytes.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            ..Self::default()
        }
    }

    /// Stores the answer to an attempt, unless it is larger than the whole store.
    pub fn insert(&mut self, attempt: AttemptId, answer: StoredAnswer) {
        if answer.len() > self.max_bytes || self.answers.contains_key(&attempt) {
            return;
        }
        self.bytes += answer.len();
        self.answers.insert(attempt, answer);
        self.order.push_back(attempt);
        while self.bytes > self.max_bytes {
            self.evict_oldest();
        }
    }

    /// Returns the answer to an attempt, if it is still stored.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<&StoredAnswer> {
        self.answers.get(&attempt)
    }

    /// Returns the size of all stored answers, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn evict_oldest(&mut self) {
        let Some(attempt) = self.order.pop_front() else {
            return;
        };
        if let Some(answer) = self.answers.remove(&attempt) {
            self.bytes -= answer.len();
        }
    }
}
