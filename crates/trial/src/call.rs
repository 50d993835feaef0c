use graph::ThresholdReport;
use model::{CallImportance, ShedOrder};
use retry::RetryAllowance;

/// A request of a caller, with all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) kind: usize,
    pub(crate) team: usize,
    pub(crate) arrived_us: u64,
    pub(crate) answered_us: Option<u64>,
    pub(crate) resends_left: u32,
    /// Whether the next attempt waits for the `retry_after_ms` of the last refusal.
    pub(crate) honours_retry_after: bool,
}

/// One attempt of a caller to get a request served.
#[derive(Clone, Debug)]
pub(crate) struct ClientAttempt {
    pub(crate) request: usize,
    pub(crate) entry_vm: usize,
    pub(crate) order: ShedOrder,
    pub(crate) sent_us: u64,
    pub(crate) deadline_us: u64,
    pub(crate) root: Option<usize>,
    pub(crate) is_finished: bool,
    pub(crate) is_served: bool,
    /// The service that last refused the attempt, if it is known.
    pub(crate) refused_by: Option<usize>,
    /// The retry delay given to the caller, in milliseconds; 0 for none.
    pub(crate) retry_after_ms: u64,
    /// Whether the attempt was sent after the retry delay given to the previous one.
    pub(crate) honours_retry_after: bool,
}

/// The state of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallState {
    /// In transit to a node.
    Sent,
    /// In the queue of a node.
    Waiting,
    /// On a backend server.
    Running,
    /// Answered, cancelled or lost.
    Finished,
}

/// One call to a service within an attempt.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) client_attempt: usize,
    pub(crate) plan: usize,
    pub(crate) depth: u8,
    pub(crate) parent: Option<usize>,
    pub(crate) caller_vm: usize,
    pub(crate) vm: usize,
    pub(crate) tried_vms: Vec<usize>,
    pub(crate) first_sent_us: u64,
    /// Whether the VM may refuse the call so that it is sent to another one.
    pub(crate) may_move: bool,
    pub(crate) moves: u32,
    pub(crate) sent_us: u64,
    pub(crate) started_us: u64,
    pub(crate) state: CallState,
    pub(crate) next_child: usize,
    pub(crate) child: Option<usize>,
    pub(crate) child_wait_us: u64,
    pub(crate) child_sent_us: u64,
    pub(crate) run_us: u64,
    pub(crate) work_ms: f64,
    pub(crate) hop_retries_left: u32,
    pub(crate) retries: u32,
    /// The retry budget of the node that made the call.
    pub(crate) allowance: RetryAllowance,
    /// The retry budget of the node next to the backend server, for nested calls.
    pub(crate) run_allowance: RetryAllowance,
}

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The backend server completed the work.
    Done,
    /// Refused before any work started; `true` when the service as a whole sheds load.
    Refused(bool),
    /// The backend server or its VM failed.
    Failed,
    /// The call would have waited at the VM, and is sent to another one.
    Moved,
    /// A nested call of the backend server failed and isn't retried.
    ChildFailed,
}

/// The answer to a call, with the load reports that it carries.
#[derive(Clone, Debug)]
pub(crate) struct CallAnswer {
    pub(crate) result: CallResult,
    pub(crate) sample: Option<route::LoadSample>,
    pub(crate) reports: Vec<ThresholdReport>,
}

/// A refusal sent to a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalRecord {
    pub(crate) at_us: u64,
    pub(crate) importance: CallImportance,
    /// Whether every service that the request needs had free capacity.
    pub(crate) had_capacity: bool,
    /// Whether a request of lower importance had just started at the service that refused this
    /// one.
    pub(crate) is_priority_inversion: bool,
}
