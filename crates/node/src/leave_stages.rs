use crate::node_core::NodeCore;
use crate::stop_signal::StopSignal;

/// The stages of a graceful shutdown, one after the other.
pub(crate) struct LeaveStages {
    /// The node tells all others that it leaves, and still takes what they send.
    pub(crate) leaving: StopSignal,
    /// The node takes no new work, and what runs comes to its end.
    pub(crate) closed: StopSignal,
    /// Nothing runs on the backend server any more.
    pub(crate) drained: StopSignal,
}

/// Chooses the stage at which the connections of a port are closed.
pub(crate) type CloseStage = fn(&NodeCore) -> &StopSignal;

impl LeaveStages {
    pub(crate) fn new() -> Self {
        Self {
            leaving: StopSignal::new(),
            closed: StopSignal::new(),
            drained: StopSignal::new(),
        }
    }
}
