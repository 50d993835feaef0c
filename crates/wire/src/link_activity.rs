use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_channel::oneshot;

/// Counts the calls and messages of a link that wait for an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkActivity(Rc<ActivityState>);

#[derive(Debug, Default)]
struct ActivityState {
    waiting: Cell<usize>,
    wake: RefCell<Option<oneshot::Sender<()>>>,
}

impl LinkActivity {
    pub(crate) fn waiting(&self) -> usize {
        self.0.waiting.get()
    }

    /// Returns whether nothing waits for an answer.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting() == 0
    }

    /// Counts a call or message for as long as the guard lives.
    pub(crate) fn begin(&self) -> WaitGuard {
        self.0.waiting.set(self.waiting() + 1);
        self.0.wake.borrow_mut().take();
        WaitGuard(self.clone())
    }

    /// Waits until the next call or message begins.
    pub(crate) async fn begins(&self) {
        let (sender, receiver) = oneshot::channel();
        self.0.wake.replace(Some(sender));
        let _ = receiver.await;
    }
}

/// Counts a waiting call or message until it is dropped.
pub(crate) struct WaitGuard(LinkActivity);

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let waiting = &self.0.0.waiting;
        waiting.set(waiting.get() - 1);
    }
}
