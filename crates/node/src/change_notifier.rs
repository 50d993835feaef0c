use std::cell::RefCell;

use futures_channel::oneshot;

/// Wakes all tasks that wait for a change.
#[derive(Default)]
pub(crate) struct ChangeNotifier(RefCell<Vec<oneshot::Sender<()>>>);

impl ChangeNotifier {
    /// Waits until the next notification.
    pub(crate) async fn wait(&self) {
        let (sender, receiver) = oneshot::channel();
        self.add(sender);
        let _ = receiver.await;
    }

    fn add(&self, sender: oneshot::Sender<()>) {
        let mut senders = self.0.borrow_mut();
        senders.retain(|sender| !sender.is_canceled());
        senders.push(sender);
    }

    /// Wakes all waiting tasks.
    pub(crate) fn notify(&self) {
        self.0.borrow_mut().clear();
    }
}
