use std::cell::{Cell, RefCell};

use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared};

/// A signal that is triggered once and then stays triggered for all tasks that wait for it.
pub(crate) struct StopSignal {
    sender: RefCell<Option<oneshot::Sender<()>>>,
    receiver: Shared<oneshot::Receiver<()>>,
    is_triggered: Cell<bool>,
}

impl StopSignal {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            sender: RefCell::new(Some(sender)),
            receiver: receiver.shared(),
            is_triggered: Cell::new(false),
        }
    }

    pub(crate) fn trigger(&self) {
        self.is_triggered.set(true);
        self.sender.borrow_mut().take();
    }

    pub(crate) fn is_triggered(&self) -> bool {
        self.is_triggered.get()
    }

    pub(crate) async fn wait(&self) {
        let _ = self.receiver.clone().await;
    }
}
