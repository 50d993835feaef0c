use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use model::{CallName, TeamName};

/// The digest of a team's idempotency key.
///
/// The same key sent by two teams has two different digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 16]);

impl KeyDigest {
    /// Returns the digest of a key sent by a caller of `team`.
    #[must_use]
    pub fn new(team: &TeamName, key: &[u8]) -> Self {
        Self(digest(team.as_str().as_bytes(), key))
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

/// A digest of a call's name and body.
///
/// Calls with the same idempotency key but different fingerprints are refused, because the key was
/// reused for another call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallFingerprint([u8; 8]);

impl CallFingerprint {
    /// Returns the fingerprint of a call.
    #[must_use]
    pub fn new(call: &CallName, body: &[u8]) -> Self {
        let full = digest(call.as_str().as_bytes(), body);
        let mut short = [0; 8];
        short.copy_from_slice(&full[..8]);
        Self(short)
    }
}

fn digest(name: &[u8], content: &[u8]) -> [u8; 16] {
    let full = Sha256::new()
        .chain_update((name.len() as u64).to_be_bytes())
        .chain_update(name)
        .chain_update(content)
        .finalize();
    let mut short = [0; 16];
    short.copy_from_slice(&full[..16]);
    short
}
