use clock::ClockTime;
use model::{AttemptId, CallName, RefusalReason, ShedOrder, TeamName};

/// What the queue needs to know about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueTicket {
    /// The attempt, unique on this node.
    pub id: AttemptId,
    /// The position in the shedding order.
    pub order: ShedOrder,
    /// The team that pays for the request, if any.
    pub team: Option<TeamName>,
    /// The team's paid rate, used as its weight against other teams; 0 counts as 1.
    pub team_weight: u32,
    /// The time after which the answer is of no use.
    pub deadline: ClockTime,
    /// The number of services that the request has already passed.
    pub depth: u8,
    /// The call, for which run times are measured; `None` when they aren't.
    pub call: Option<CallName>,
    /// The expected run time until enough runs were measured, in milliseconds.
    pub expected_ms: u64,
}

impl QueueTicket {
    /// Returns whether this is a nested call, on whose request upstream services have already spent
    /// work.
    #[must_use]
    pub const fn is_nested(&self) -> bool {
        self.depth > 0
    }

    /// Returns the work of the request as its expected run time in milliseconds, at least 1.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
    pub const fn work_ms(&self) -> f64 {
        if self.expected_ms == 0 {
            return 1.0;
        }
        self.expected_ms as f64
    }

    /// Returns whether the request is expected to finish before its deadline if it starts at
    /// `start`.
    #[must_use]
    pub const fn meets_deadline(&self, start: ClockTime) -> bool {
        start.plus_ms(self.expected_ms).as_ms() <= self.deadline.as_ms()
    }
}

/// Why a request is refused, and when its caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// The reason given to the caller.
    pub reason: RefusalReason,
    /// The delay before the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// The decision on a request that is offered to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request runs now.
    Start,
    /// The request waits; a later [`QueueAction`] starts or refuses it.
    Wait,
    /// The request is refused and hasn't run.
    Refuse(QueueRefusal),
}

/// What happens to a request that waited.
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
        /// The run time without the time spent waiting for its own downstream calls, in
        /// milliseconds.
        own_ms: u64,
    },
    /// The backend server failed; its latency is not recorded, as it does not reflect load.
    Failed,
}
