use graph::ThresholdReport;
use model::{CallImportance, ShedOrder};
use retry::RetryAllowance;

/// A caller's request, over all its tries.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) kind: usize,
    pub(crate) team: usize,
    pub(crate) arrived_us: u64,
    pub(crate) answered_us: Option<u64>,
    pub(crate) resends_left: u32,
    /// Whether the next try is sent after the time that the caller was told.
    pub(crate) comes_as_told: bool,
}

/// One try of a caller.
#[derive(Clone, Debug)]
pub(crate) struct ClientTry {
    pub(crate) request: usize,
    pub(crate) entry: usize,
    pub(crate) order: ShedOrder,
    pub(crate) sent_us: u64,
    pub(crate) deadline_us: u64,
    pub(crate) root: Option<usize>,
    pub(crate) is_over: bool,
    pub(crate) is_good: bool,
    /// The service that refused the try last.
    pub(crate) refused_by: Option<usize>,
    /// The time after which the caller was told to come back, in milliseconds; 0 when it wasn't.
    pub(crate) told_ms: u64,
    /// Whether the caller was told to come back now.
    pub(crate) comes_as_told: bool,
}

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallState {
    /// On its way to a node.
    Sent,
    /// In a queue.
    Waiting,
    /// On a backend server.
    Running,
    /// Answered, cancelled or lost.
    Over,
}

/// One call to a service within a try.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) client_try: usize,
    pub(crate) plan: usize,
    pub(crate) depth: u8,
    pub(crate) parent: Option<usize>,
    pub(crate) caller_vm: usize,
    pub(crate) vm: usize,
    pub(crate) tried: Vec<usize>,
    pub(crate) sent_us: u64,
    pub(crate) started_us: u64,
    pub(crate) state: CallState,
    pub(crate) next_child: usize,
    pub(crate) child: Option<usize>,
    pub(crate) child_wait_us: u64,
    pub(crate) child_sent_us: u64,
    pub(crate) work_ms: f64,
    pub(crate) hop_retries_left: u32,
    pub(crate) retries: u32,
    /// The retries of the node that made the call.
    pub(crate) allowance: RetryAllowance,
    /// The retries of the node beside the backend server, for the calls below.
    pub(crate) run_allowance: RetryAllowance,
}

/// How a call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The backend server has done the whole work.
    Done,
    /// The node refused before work began; `true` when the service as a whole is shedding.
    Refused(bool),
    /// The backend server or its VM failed.
    Failed,
    /// A call that the backend server made failed for good.
    ChildFailed,
}

/// The answer to a call, with what travels on it.
#[derive(Clone, Debug)]
pub(crate) struct CallAnswer {
    pub(crate) result: CallResult,
    pub(crate) sample: Option<route::LoadSample>,
    pub(crate) reports: Vec<ThresholdReport>,
}

/// A refusal that reached a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalNote {
    pub(crate) at_us: u64,
    pub(crate) importance: CallImportance,
    /// Whether every service of the request had room.
    pub(crate) was_free: bool,
    /// Whether a lesser request had just started at the service that refused this one.
    pub(crate) was_inverted: bool,
}
