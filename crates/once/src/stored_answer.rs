use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The complete answer to a call, stored for its duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The status and header fields, as encoded by the node.
    pub head: Arc<[u8]>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl StoredAnswer {
    /// Creates an answer from its encoded head and its body.
    #[must_use]
    pub fn new(head: impl Into<Arc<[u8]>>, body: impl Into<Arc<[u8]>>) -> Self {
        Self {
            head: head.into(),
            body: body.into(),
        }
    }

    /// Returns the size of the answer in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Returns whether the answer has neither head nor body.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
