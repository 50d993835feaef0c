use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use model::{CallName, TeamName, VmName};

/// What makes two requests the same: the team, the call, and the body or idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// Digests a request; `content` is its idempotency key, or else its target and body.
    #[must_use]
    pub fn new(team: &TeamName, call: &CallName, content: &[u8]) -> Self {
        Self(digest([
            team.as_str().as_bytes(),
            call.as_str().as_bytes(),
            content,
        ]))
    }
}

/// Returns the VM that runs a request when all copies of it should meet at one VM.
///
/// Every node that knows the same VMs chooses the same one (rendezvous hashing).
#[must_use]
pub fn home_vm(fingerprint: RequestFingerprint, vms: &[VmName]) -> Option<&VmName> {
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
