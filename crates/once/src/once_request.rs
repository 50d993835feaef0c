use clock::ClockTime;
use model::AttemptId;

use crate::{CallFingerprint, KeyDigest};

/// A once call, as received by the node of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceRequest {
    /// The attempt's identifier, never reused by any node.
    pub attempt: AttemptId,
    /// The digest of its idempotency key.
    pub key: KeyDigest,
    /// The fingerprint of the call's name and body.
    pub fingerprint: CallFingerprint,
    /// When the caller stops waiting.
    pub deadline: ClockTime,
    /// The age of the key in milliseconds, if the key contains its creation time as a `UUIDv7`
    /// does.
    pub key_age_ms: Option<u64>,
}
