use serde::{Deserialize, Serialize};

use model::{AttemptId, VmName};

use crate::RequestFingerprint;

/// The identifier of news that its teller waits for peers to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NewsId(pub u64);

/// What a node tells its peers of the same service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectNews {
    /// A request ran when a backend server crashed.
    Crashed {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The run that the crash ended; counted once however often the news comes.
        attempt: AttemptId,
        /// The VM that may run it alone.
        runner: VmName,
        /// Whether nothing ran beside it.
        was_alone: bool,
        /// The age of the news in milliseconds.
        age_ms: u64,
    },
    /// A suspect ran alone and its backend server lived.
    Cleared {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The crashed run that is forgiven.
        attempt: AttemptId,
    },
}
