use model::{AttemptId, RefusalReason, RunVerdict, VmName};

use crate::{ClaimRecord, KeyDigest, StoredAnswer};

/// What a node has to do for its [`ClaimTable`](crate::ClaimTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Append a record to the stream of claims.
    Append(ClaimRecord),
    /// Queue the attempt; it owns its key.
    Run(AttemptId),
    /// Answer the attempt, a duplicate, with the answer of the one that ran.
    Answer(AttemptId, StoredAnswer),
    /// Ask the VM that owns the key what became of it.
    AskHolder {
        /// The attempt that waits.
        attempt: AttemptId,
        /// The VM to ask.
        vm: VmName,
        /// The key that both attempts share.
        key: KeyDigest,
        /// The attempt that owns the key.
        owner: AttemptId,
    },
    /// Refuse the attempt.
    Refuse(AttemptId, ClaimRefusal),
}

/// Why an attempt is refused, and what its caller may conclude.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether the call of the key may have run.
    pub verdict: RunVerdict,
    /// When to come back, in milliseconds; `None` when coming back is of no use.
    pub retry_after_ms: Option<u64>,
}
