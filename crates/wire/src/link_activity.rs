use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

/// Counts the calls and messages of a link that wait for the end of an answer.
#[derive(Clone, Debug)]
pub(crate) struct LinkActivity(Rc<ActivityState>);

#[derive(Debug)]
struct ActivityState {
    waiting: Cell<usize>,
    /// When the last wait ended.
    ended: Cell<Instant>,
    wake: RefCell<Option<oneshot::Sender<()>>>,
}

impl LinkActivity {
    pub(crate) fn new() -> Self {
        Self(Rc::new(ActivityState {
            waiting: Cell::new(0),
            ended: Cell::new(Instant::now()),
            wake: RefCell::new(None),
        }))
    }

    pub(crate) fn waiting(&self) -> usize {
        self.0.waiting.get()
    }

    /// Returns whether nothing waits for an answer.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting() == 0
    }

    /// Returns the time for which nothing has waited.
    pub(crate) fn idle_span(&self) -> Duration {
        if self.is_idle() {
            self.0.ended.get().elapsed()
        } else {
            Duration::ZERO
        }
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
        let state = &self.0.0;
        state.waiting.set(state.waiting.get() - 1);
        state.ended.set(Instant::now());
    }
}
