use std::cell::RefCell;
use std::collections::BTreeMap;

use futures_channel::oneshot;
use model::AttemptId;

/// The calls that wait for a decision, by attempt.
pub(crate) struct DecisionWaiters<T>(RefCell<BTreeMap<AttemptId, oneshot::Sender<T>>>);

impl<T> Default for DecisionWaiters<T> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<T> DecisionWaiters<T> {
    /// Lets an attempt wait for its decision; dropping the receiver forgets it.
    pub(crate) fn wait_for(&self, attempt: AttemptId) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().insert(attempt, sender);
        receiver
    }

    /// Tells an attempt its decision, if it still waits.
    pub(crate) fn tell(&self, attempt: AttemptId, decision: T) {
        if let Some(sender) = self.0.borrow_mut().remove(&attempt) {
            let _ = sender.send(decision);
        }
    }

    /// Forgets an attempt.
    pub(crate) fn forget(&self, attempt: AttemptId) {
        self.0.borrow_mut().remove(&attempt);
    }
}
