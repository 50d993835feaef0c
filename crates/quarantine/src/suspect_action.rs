use model::{AttemptId, VmName};

use crate::{NewsId, SuspectNews};

/// Whether a request may run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectDecision {
    /// It may run.
    Run,
    /// It may run, alone: nothing else runs until it has finished.
    RunAlone,
    /// It waits for a [`SuspectAction::Start`].
    Wait,
    /// It is suspect, and only this VM may run it: it is not run here.
    SendTo(VmName),
    /// It is in quarantine: it is not run.
    Refuse,
}

/// What a node has to do for its [`SuspectTable`](crate::SuspectTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectAction {
    /// Send the news to every peer of the service.
    Tell(NewsId, Vec<SuspectNews>),
    /// Tell a peer that its news was taken, with what is known here of the same requests.
    Ack {
        /// The peer.
        to: VmName,
        /// Its news.
        id: NewsId,
        /// What is known here.
        news: Vec<SuspectNews>,
    },
    /// Answer that the attempt failed; peers know of it.
    Fail {
        /// The attempt.
        attempt: AttemptId,
        /// Whether a retry, if the call is idempotent, can't take the next backend server down.
        may_retry: bool,
    },
    /// The waiting attempt may run.
    Start(AttemptId),
    /// Look at the waiting attempt again: the node has news of it; call `begin` anew.
    Reconsider(AttemptId),
}
