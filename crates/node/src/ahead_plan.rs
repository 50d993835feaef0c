/// How a request may run beside the others of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTurn {
    /// Beside others: it may be repeated, has no body and keeps the connection open.
    Parallel,
    /// Beside earlier ones only: it may be repeated and has no body, and its answer closes the
    /// connection.
    Last,
    /// Once all earlier ones are answered, and nothing runs beside it.
    Alone,
}

/// Decides which requests of a connection may run before their turn to be answered.
///
/// # Examples
///
/// ```
/// use lentilshift_node::{AheadPlan, RequestTurn};
///
/// let mut plan = AheadPlan::new(2);
/// plan.begin(RequestTurn::Parallel);
/// assert!(plan.may_start(RequestTurn::Parallel));
/// plan.start(RequestTurn::Parallel);
/// assert!(!plan.may_start(RequestTurn::Parallel), "two are open");
/// plan.end();
/// assert!(!plan.may_start(RequestTurn::Alone));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AheadPlan {
    max_requests: usize,
    /// The number of requests that were passed on and aren't answered completely.
    open: usize,
    /// Whether nothing may run beside or behind the newest request that was passed on.
    is_barred: bool,
    /// Whether an answer that closes the connection was sent.
    is_closing: bool,
}

impl AheadPlan {
    /// Creates the plan of a connection of which `max_requests` requests may run at once.
    #[must_use]
    pub const fn new(max_requests: usize) -> Self {
        Self {
            max_requests,
            open: 0,
            is_barred: false,
            is_closing: false,
        }
    }

    /// Returns whether any request could be started before its turn.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        !self.is_closing && !self.is_barred && self.open > 0 && self.open < self.max_requests
    }

    /// Returns whether the next request may be started before its turn.
    #[must_use]
    pub fn may_start(&self, turn: RequestTurn) -> bool {
        self.has_room() && turn != RequestTurn::Alone
    }

    /// Records that a request was started before its turn.
    pub fn start(&mut self, turn: RequestTurn) {
        self.open += 1;
        self.is_barred |= turn != RequestTurn::Parallel;
    }

    /// Records that a request which wasn't started before runs in its turn.
    pub fn begin(&mut self, turn: RequestTurn) {
        self.start(turn);
    }

    /// Records that the oldest request was answered completely.
    pub fn end(&mut self) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.is_barred = false;
        }
    }

    /// Records that an answer which closes the connection is being sent: what lies behind it counts
    /// as unread.
    pub const fn close(&mut self) {
        self.is_closing = true;
    }
}
