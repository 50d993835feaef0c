use model::{AttemptId, RefusalReason, RunVerdict, VmName};

use crate::{ClaimRecord, KeyDigest, StoredAnswer};

/// An action that the node must carry out for its [`ClaimTable`](crate::ClaimTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Append a record to the stream of claims.
    Append(ClaimRecord),
    /// Queue the attempt for execution; it owns its key.
    Run(AttemptId),
    /// Answer the attempt, a duplicate, with the stored answer of the attempt that ran.
    Answer(AttemptId, StoredAnswer),
    /// Query the VM that holds the claim for the outcome of the owning attempt.
    QueryHolder {
        /// The attempt that waits.
        attempt: AttemptId,
        /// The VM that holds the claim.
        vm: VmName,
        /// The key of both attempts.
        key: KeyDigest,
        /// The attempt that owns the key.
        owner: AttemptId,
    },
    /// Refuse the attempt.
    Refuse(AttemptId, ClaimRefusal),
}

/// Why an attempt is refused, and what its caller may infer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether the call of the key may have run.
    pub verdict: RunVerdict,
    /// When to retry, in milliseconds; `None` when a retry can't succeed.
    pub retry_after_ms: Option<u64>,
}
