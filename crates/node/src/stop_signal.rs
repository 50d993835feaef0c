use std::cell::{Cell, RefCell};

use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared};

/// A signal that is given once and seen by all who wait for it.
pub(crate) struct StopSignal {
    sender: RefCell<Option<oneshot::Sender<()>>>,
    receiver: Shared<oneshot::Receiver<()>>,
    is_given: Cell<bool>,
}

impl StopSignal {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            sender: RefCell::new(Some(sender)),
            receiver: receiver.shared(),
            is_given: Cell::new(false),
        }
    }

    pub(crate) fn give(&self) {
        self.is_given.set(true);
        self.sender.borrow_mut().take();
    }

    pub(crate) fn is_given(&self) -> bool {
        self.is_given.get()
    }

    pub(crate) async fn wait(&self) {
        let _ = self.receiver.clone().await;
    }
}
