use std::cell::RefCell;
use std::collections::BTreeMap;

use futures_channel::oneshot;
use model::AttemptId;

/// The senders through which waiting calls receive their decisions, by attempt.
pub(crate) struct DecisionWaiters<T>(RefCell<BTreeMap<AttemptId, oneshot::Sender<T>>>);

impl<T> Default for DecisionWaiters<T> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<T> DecisionWaiters<T> {
    /// Registers an attempt and returns the receiver of its decision.
    ///
    /// A decision for a dropped receiver is discarded.
    pub(crate) fn register(&self, attempt: AttemptId) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().insert(attempt, sender);
        receiver
    }

    /// Sends an attempt its decision, if it is still waiting.
    pub(crate) fn notify(&self, attempt: AttemptId, decision: T) {
        if let Some(sender) = self.0.borrow_mut().remove(&attempt) {
            let _ = sender.send(decision);
        }
    }

    pub(crate) fn remove(&self, attempt: AttemptId) {
        self.0.borrow_mut().remove(&attempt);
    }
}
