use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use bytes::Bytes;
use clock::ClockTime;
use http_body::{Body, Frame};

use crate::call_body::{CallBody, CallBodyError};
use crate::count_guard::CountGuard;
use crate::run_guard::RunGuard;

/// The progress of an answer.
#[expect(clippy::large_enum_variant, reason = "nearly all answers are open")]
enum HeldState {
    /// More frames may follow.
    Open(CallBody, RunGuard),
    /// The answer has ended.
    Done,
    /// The answer was aborted, as its reader stopped reading.
    Aborted,
}

/// An answer of the local backend server that is being sent and holds its slot.
pub(crate) struct HeldAnswer {
    state: RefCell<HeldState>,
    /// Counts the call as arrived until the answer is dropped or aborted.
    arrival: RefCell<Option<CountGuard>>,
    /// The time of the last frame, while the reader hasn't polled for the next one.
    unread_since: Cell<Option<ClockTime>>,
}

impl HeldAnswer {
    pub(crate) const fn new(body: CallBody, run: RunGuard) -> Self {
        Self {
            state: RefCell::new(HeldState::Open(body, run)),
            arrival: RefCell::new(None),
            unread_since: Cell::new(None),
        }
    }

    /// Counts the call as arrived until the answer is dropped or aborted.
    pub(crate) fn hold_arrival(&self, arrival: CountGuard) {
        self.arrival.replace(Some(arrival));
    }

    /// Returns the next frame, and releases the slot after the last one.
    pub(crate) fn poll_frame(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallBodyError>>> {
        let mut state = self.state.borrow_mut();
        let (body, run) = match &mut *state {
            HeldState::Open(body, run) => (body, run),
            HeldState::Done => return Poll::Ready(None),
            HeldState::Aborted => return Poll::Ready(Some(Err(CallBodyError::Stalled))),
        };
        self.unread_since.set(None);
        match Pin::new(body).poll_frame(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                self.unread_since.set(Some(run.now()));
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(end) => {
                *state = HeldState::Done;
                Poll::Ready(end)
            }
        }
    }

    /// Aborts the answer and releases the slot if the reader has stopped reading for too long.
    fn abort_unread(&self, now: ClockTime, stall_limit_ms: u64) {
        let unread = self.unread_since.get();
        if unread.is_some_and(|since| now.since_ms(since) >= stall_limit_ms) {
            self.unread_since.set(None);
            self.state.replace(HeldState::Aborted);
            self.arrival.take();
        }
    }
}

/// The answers that are being sent.
#[derive(Default)]
pub(crate) struct HeldAnswers(RefCell<Vec<Weak<HeldAnswer>>>);

impl HeldAnswers {
    pub(crate) fn add(&self, answer: &Rc<HeldAnswer>) {
        self.0.borrow_mut().push(Rc::downgrade(answer));
    }

    /// Aborts the answers whose readers have stopped reading, and removes those that were dropped.
    pub(crate) fn abort_unread(&self, now: ClockTime, stall_limit_ms: u64) {
        let mut open = self.0.take();
        open.retain(|answer| match answer.upgrade() {
            Some(answer) => {
                answer.abort_unread(now, stall_limit_ms);
                true
            }
            None => false,
        });
        self.0.borrow_mut().append(&mut open);
    }
}
