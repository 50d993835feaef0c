use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use clock::ClockTime;
use compio::runtime::{JoinHandle, spawn};
use compio::time::sleep;
use model::{AttemptId, RequestId};
use wire::CallHead;

use crate::call_body::CallBodyError;
use crate::node_core::NodeCore;

/// How long an answer waits for each part after its deadline, in milliseconds. A slow reader asks for
/// the rest after the deadline, and what was sent may take a round trip to another node.
const LATE_WAIT_MS: u64 = 200;

/// The times after which an answer that has begun no longer waits for its source: the deadline of its
/// call, and the limit on silence.
///
/// Only waiting for the source counts: what the source has sent is passed on after the deadline too,
/// however slowly it is read.
pub(crate) struct AnswerDeadline {
    core: Rc<NodeCore>,
    request: RequestId,
    attempt: AttemptId,
    at: ClockTime,
    /// When the current wait for the source began.
    waits_since: Option<ClockTime>,
    timer: Option<JoinHandle<()>>,
}

impl AnswerDeadline {
    /// Creates the deadline of the answer to an attempt.
    pub(crate) fn new(core: &Rc<NodeCore>, head: &CallHead, at: ClockTime) -> Self {
        Self {
            core: Rc::clone(core),
            request: head.request,
            attempt: head.attempt,
            at,
            waits_since: None,
            timer: None,
        }
    }

    /// Records that the source has sent something.
    pub(crate) const fn record_progress(&mut self) {
        self.waits_since = None;
    }

    /// Records that the answer waits for its source; ready once it has waited for too long.
    pub(crate) fn poll_passed(&mut self, context: &mut Context<'_>) -> Poll<CallBodyError> {
        loop {
            let now = self.core.now();
            let since = *self.waits_since.get_or_insert(now);
            let late_at = since.max(self.at).plus_ms(LATE_WAIT_MS);
            let stalled_at = since.plus_ms(self.core.settings.stall_limit_ms);
            let end = late_at.min(stalled_at);
            if now >= end {
                let is_late = late_at <= stalled_at;
                self.log(
                    now,
                    if is_late {
                        "deadline-passed"
                    } else {
                        "stalled"
                    },
                );
                return Poll::Ready(if is_late {
                    CallBodyError::Late
                } else {
                    CallBodyError::Stalled
                });
            }
            let wait = Duration::from_millis(now.until_ms(end));
            let timer = self.timer.get_or_insert_with(|| spawn(sleep(wait)));
            let _ = ready!(Pin::new(timer).poll(context));
            self.timer = None;
        }
    }

    fn log(&self, now: ClockTime, reason: &str) {
        if self.core.may_log() {
            log::info!(
                "event=answer-cut request={} attempt={} reason={reason} silent_ms={} late_ms={}",
                self.request,
                self.attempt,
                self.waits_since.map_or(0, |since| now.since_ms(since)),
                now.since_ms(self.at),
            );
        }
    }
}
