use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use model::{CallName, TeamName, VmName};

/// Identifies requests that count as the same: a digest of the team, the call, and the idempotency
/// key or else the target and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// Computes the fingerprint; `content` is the idempotency key, or else the target and body.
    #[must_use]
    pub fn new(team: &TeamName, call: &CallName, content: &[u8]) -> Self {
        Self(digest([
            team.as_str().as_bytes(),
            call.as_str().as_bytes(),
            content,
        ]))
    }
}

/// Returns the designated VM of a request, for when all its copies must be routed to one VM.
///
/// The choice is by rendezvous hashing: nodes that know the same VMs choose the same one.
#[must_use]
pub fn designated_vm(fingerprint: RequestFingerprint, vms: &[VmName]) -> Option<&VmName> {
    let weight = |vm: &&VmName| digest([&fingerprint.0, vm.as_str().as_bytes(), &[]]);
    vms.iter().max_by_key(weight)
}

fn digest(parts: [&[u8]; 3]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let full = hasher.finalize();
    let mut short = [0; 16];
    short.copy_from_slice(&full[..16]);
    short
}
