use clock::ClockTime;
use model::{AttemptId, CallName, RefusalReason, ShedOrder, TeamName};

/// What the queue needs to know about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueTicket {
    /// The attempt, unique on this node.
    pub id: AttemptId,
    /// The place in the shedding order.
    pub order: ShedOrder,
    /// The team that pays for the request, if any.
    pub team: Option<TeamName>,
    /// The team's paid rate, as a weight against other teams; 0 counts as 1.
    pub team_weight: u32,
    /// The moment after which the answer is of no use.
    pub deadline: ClockTime,
    /// The number of services that the request has passed already.
    pub depth: u8,
    /// The kind of call, for which run times are measured; `None` when they aren't.
    pub call: Option<CallName>,
    /// The time that running is expected to take before any was measured, in milliseconds.
    pub expected_ms: u64,
}

impl QueueTicket {
    /// Returns whether work was already spent on the request upstream.
    #[must_use]
    pub const fn is_begun(&self) -> bool {
        self.depth > 0
    }

    /// Returns the expected run time as a measure of work, in milliseconds, at least 1.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
    pub const fn work_ms(&self) -> f64 {
        if self.expected_ms == 0 {
            return 1.0;
        }
        self.expected_ms as f64
    }

    /// Returns whether the request, started now, is expected to end in time.
    #[must_use]
    pub const fn fits(&self, start: ClockTime) -> bool {
        start.plus_ms(self.expected_ms).as_ms() <= self.deadline.as_ms()
    }
}

/// Why and for how long a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// The reason given to the caller.
    pub reason: RefusalReason,
    /// The time after which the caller should come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// The answer to a request that is offered to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request runs now.
    Start,
    /// The request waits; a later [`QueueAction`] tells its fate.
    Wait,
    /// The request is refused and hasn't run.
    Refuse(QueueRefusal),
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// The request runs now.
    Start(AttemptId),
    /// The request is refused and hasn't run.
    Refuse(AttemptId, QueueRefusal),
}

/// How a run on the backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The backend server answered.
    Completed {
        /// The time it took without what it waited for its own calls, in milliseconds.
        own_ms: u64,
    },
    /// The backend server failed; the time taken says nothing about its load.
    Failed,
}
