use serde::{Deserialize, Serialize};

use model::{AttemptId, RecordId, ServiceName, VmName};

use crate::{CallFingerprint, HeldClaim, KeyDigest};

/// One record on the stream of claims.
///
/// Folding a record twice has no further effect, so a writer that doesn't know the outcome of an
/// append may retry it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The identifier; stays the same when the append is retried.
    pub id: RecordId,
    /// The service whose claims the record changes.
    pub service: ServiceName,
    /// The VM that wrote it.
    pub vm: VmName,
    /// The content.
    pub body: ClaimBody,
}

/// The content of a [`ClaimRecord`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimBody {
    /// Claims and releases, applied in this order.
    Batch(Vec<ClaimEntry>),
    /// Every claim with a lower offset is older than the horizon and expires.
    Expire {
        /// The lowest offset whose claims are retained.
        below: u64,
    },
    /// A chunk of a snapshot of all claims.
    Snapshot(SnapshotChunk),
}

/// A claim or the release of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEntry {
    /// An attempt requests to run the call of a key.
    Claim {
        /// The key.
        key: KeyDigest,
        /// The attempt.
        attempt: AttemptId,
        /// The fingerprint of the call's name and body.
        fingerprint: CallFingerprint,
    },
    /// An attempt hasn't run and never will, so the key is free again.
    Release {
        /// The key.
        key: KeyDigest,
        /// The attempt.
        attempt: AttemptId,
    },
}

impl ClaimEntry {
    /// Returns the key.
    #[must_use]
    pub const fn key(&self) -> KeyDigest {
        match self {
            Self::Claim { key, .. } | Self::Release { key, .. } => *key,
        }
    }
}

/// A chunk of a snapshot of all claims, for nodes that start after the claims' own records were
/// removed from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The identifier shared by all chunks of the snapshot.
    pub snapshot: RecordId,
    /// The offset of the first record that the snapshot doesn't cover.
    pub next_offset: u64,
    /// The index of this chunk, from 0.
    #[serde(rename = "part")]
    pub index: u32,
    /// The number of chunks.
    #[serde(rename = "parts")]
    pub count: u32,
    /// The claims in this chunk.
    pub claims: Vec<SnapshotClaim>,
    /// Minimum ages of offsets, for expiry.
    pub marks: Vec<SnapshotMark>,
}

/// One claim of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotClaim {
    /// The key.
    pub key: KeyDigest,
    /// The claim that owns it.
    pub claim: HeldClaim,
}

/// The minimum age of all records below an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// The offset.
    pub offset: u64,
    /// The minimum age of the records below it, in milliseconds.
    pub age_ms: u64,
}
