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

/// How long an answer waits for its source after its deadline, in milliseconds. A slow reader asks for
/// the rest after the deadline, and what was sent may take a round trip to another node.
const LATE_WAIT_MS: u64 = 200;

/// The times after which an answer that has begun no longer waits for its source: the deadline of its
/// call, and the limit on silence.
///
/// Only waiting for the source counts: what the source has sent is passed on after the deadline too,
/// however slowly it is read. Each wait after the deadline uses up a part of [`LATE_WAIT_MS`], which
/// comes back while the reader keeps the source waiting. So a source that sends little by little ends
/// too, unless its reader is slower.
pub(crate) struct AnswerDeadline {
    core: Rc<NodeCore>,
    request: RequestId,
    attempt: AttemptId,
    at: ClockTime,
    /// When the current wait for the source began.
    waits_since: Option<ClockTime>,
    /// When the reader got the last part, if it hasn't asked for the next one and the source has kept
    /// it waiting after the deadline.
    read_since: Option<ClockTime>,
    /// How long the answer may still wait after the deadline, in milliseconds.
    spare_ms: u64,
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
            read_since: None,
            spare_ms: LATE_WAIT_MS,
            timer: None,
        }
    }

    /// Records that the reader asks for more.
    pub(crate) fn record_demand(&mut self) {
        if let Some(since) = self.read_since.take() {
            let read_ms = self.late_ms(since);
            self.spare_ms = LATE_WAIT_MS.min(self.spare_ms + read_ms);
        }
    }

    /// Records that the source has sent something.
    pub(crate) fn record_progress(&mut self) {
        if let Some(since) = self.waits_since.take() {
            let waited_ms = self.late_ms(since);
            self.spare_ms = self.spare_ms.saturating_sub(waited_ms);
        }
        if self.spare_ms < LATE_WAIT_MS {
            self.read_since = Some(self.core.now());
        }
    }

    /// Returns how much of the time since `since` was after the deadline, in milliseconds.
    fn late_ms(&self, since: ClockTime) -> u64 {
        self.core.now().since_ms(since.max(self.at))
    }

    /// Records that the answer waits for its source; ready once it has waited for too long.
    pub(crate) fn poll_passed(&mut self, context: &mut Context<'_>) -> Poll<CallBodyError> {
        loop {
            let now = self.core.now();
            let since = *self.waits_since.get_or_insert(now);
            let late_at = since.max(self.at).plus_ms(self.spare_ms);
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
