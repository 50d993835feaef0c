use serde::{Deserialize, Serialize};

use model::{AttemptId, RecordId, ServiceName, VmName};

use crate::{CallFingerprint, HeldClaim, KeyDigest};

/// One record on the stream of claims.
///
/// Folding a record twice changes nothing, so a writer in doubt may append it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The identifier, the same when the record is appended again.
    pub id: RecordId,
    /// The service that the record concerns.
    pub service: ServiceName,
    /// The VM that wrote it.
    pub vm: VmName,
    /// What it says.
    pub body: ClaimBody,
}

/// What a [`ClaimRecord`] says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimBody {
    /// Claims and releases, in the order in which they count.
    Batch(Vec<ClaimEntry>),
    /// Every claim of a lower offset has outlived the horizon.
    Expire {
        /// The lowest offset that is kept.
        below: u64,
    },
    /// A part of a copy of all claims.
    Snapshot(SnapshotPart),
}

/// A claim or the release of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEntry {
    /// An attempt wants to run the call of a key.
    Claim {
        /// The key.
        key: KeyDigest,
        /// The attempt.
        attempt: AttemptId,
        /// What the call asks for.
        fingerprint: CallFingerprint,
    },
    /// An attempt hasn't run and never will.
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

/// A part of a copy of all claims, for nodes that start after the originals are gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The identifier that all parts share.
    pub snapshot: RecordId,
    /// The offset of the first record that the copy doesn't take in.
    pub next_offset: u64,
    /// The number of this part, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// The claims of this part.
    pub claims: Vec<SnapshotClaim>,
    /// How old offsets are, for expiry.
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

/// The least age of all records below an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// The offset.
    pub offset: u64,
    /// The least age of the records below it, in milliseconds.
    pub age_ms: u64,
}
