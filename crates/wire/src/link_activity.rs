use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

/// Counts the calls and control messages in flight on a link: sent, and not yet fully answered.
#[derive(Clone, Debug)]
pub(crate) struct LinkActivity(Rc<ActivityState>);

#[derive(Debug)]
struct ActivityState {
    in_flight: Cell<usize>,
    /// When the last call or control message ended.
    last_ended: Cell<Instant>,
    wake: RefCell<Option<oneshot::Sender<()>>>,
}

impl LinkActivity {
    pub(crate) fn new() -> Self {
        Self(Rc::new(ActivityState {
            in_flight: Cell::new(0),
            last_ended: Cell::new(Instant::now()),
            wake: RefCell::new(None),
        }))
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.0.in_flight.get()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight() == 0
    }

    /// Returns the time since the last call or control message ended; zero while one is in flight.
    pub(crate) fn idle_duration(&self) -> Duration {
        if self.is_idle() {
            self.0.last_ended.get().elapsed()
        } else {
            Duration::ZERO
        }
    }

    /// Counts a call or control message as in flight until the guard is dropped.
    pub(crate) fn begin(&self) -> InFlightGuard {
        self.0.in_flight.set(self.in_flight() + 1);
        self.0.wake.borrow_mut().take();
        InFlightGuard(self.clone())
    }

    /// Waits until the next call or control message begins.
    pub(crate) async fn wait_for_begin(&self) {
        let (sender, receiver) = oneshot::channel();
        self.0.wake.replace(Some(sender));
        let _ = receiver.await;
    }
}

/// Counts a call or control message as in flight until dropped.
pub(crate) struct InFlightGuard(LinkActivity);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let state = &self.0.0;
        state.in_flight.set(state.in_flight.get() - 1);
        state.last_ended.set(Instant::now());
    }
}
