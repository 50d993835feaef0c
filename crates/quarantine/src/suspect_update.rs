use serde::{Deserialize, Serialize};

use model::{AttemptId, VmName};

use crate::RequestFingerprint;

/// Identifies updates that their sender waits for peers to acknowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpdateId(pub u64);

/// A change of a request's state, sent to the peers of the same service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectUpdate {
    /// A request was running when a backend server crashed.
    Crashed {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The attempt that the crash ended; it counts once however often the update arrives.
        attempt: AttemptId,
        /// The VM that may run the request alone.
        runner: VmName,
        /// Whether the request was running alone.
        was_alone: bool,
        /// The time since the crash, in milliseconds.
        age_ms: u64,
    },
    /// A suspect ran alone without a crash.
    Cleared {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The crashed attempt that no longer counts.
        attempt: AttemptId,
    },
}

impl SuspectUpdate {
    /// Returns the request.
    #[must_use]
    pub const fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Crashed { fingerprint, .. } | Self::Cleared { fingerprint, .. } => *fingerprint,
        }
    }
}
