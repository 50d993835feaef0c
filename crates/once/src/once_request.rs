use clock::ClockTime;
use model::AttemptId;

use crate::{CallFingerprint, KeyDigest};

/// A call that must run at most once, as it reaches the node beside a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceRequest {
    /// The attempt, unique over all nodes and all time.
    pub attempt: AttemptId,
    /// The digest of its idempotency key.
    pub key: KeyDigest,
    /// What the call asks for.
    pub fingerprint: CallFingerprint,
    /// When the caller stops waiting.
    pub deadline: ClockTime,
    /// The age of the key in milliseconds, when the key carries its time as a `UUIDv7` does.
    pub key_age_ms: Option<u64>,
}
