use model::{AttemptId, VmName};

use crate::{SuspectUpdate, UpdateId};

/// Whether a request may run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectDecision {
    /// It may run.
    Run,
    /// It may run alone: nothing else runs until it has finished.
    RunAlone,
    /// It must wait for a [`SuspectAction::Start`].
    Wait,
    /// It is suspect and must be sent to this VM, the only one that may run it.
    SendTo(VmName),
    /// It is in quarantine and must not run.
    Refuse,
}

/// An action that the node must execute for its [`SuspectTable`](crate::SuspectTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectAction {
    /// Send updates to every peer of the service.
    Notify(UpdateId, Vec<SuspectUpdate>),
    /// Acknowledge a peer's updates, with this node's updates about the same requests.
    Ack {
        /// The peer.
        to: VmName,
        /// The identifier of its updates.
        id: UpdateId,
        /// This node's updates about the same requests.
        updates: Vec<SuspectUpdate>,
    },
    /// Answer that the attempt failed, as peers are notified.
    Fail {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the call may be retried if it is idempotent, as it isn't expected to crash another
        /// backend server.
        may_retry: bool,
    },
    /// The waiting attempt may run.
    Start(AttemptId),
    /// Call `begin` again for the waiting attempt, as an update has changed the state of its request.
    Reconsider(AttemptId),
}
