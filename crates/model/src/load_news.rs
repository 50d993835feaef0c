use serde::{Deserialize, Serialize};

use crate::VmName;

/// The load of one VM, as a message about another VM of the same service passes it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNews {
    /// The digest of the VM's name; see [`digest_of`](Self::digest_of).
    pub vm: u32,
    /// The requests that run or wait there.
    pub busy: u16,
    /// The concurrency limit.
    pub limit: u16,
    /// How long work takes on the host, in percent of the usual; 0 if the backend server doesn't
    /// state it.
    pub slowness: u16,
    /// The age of the figures when the message was sent, in milliseconds.
    pub age_ms: u16,
}

impl LoadNews {
    /// The greatest length of one item in a message, in bytes.
    pub const MAX_BYTES: u64 = 5 + 4 * 3;

    /// Returns the digest that stands for a VM in messages (FNV-1a).
    ///
    /// If two VMs of a service have the same one, each gets figures of the other, which are only
    /// hints.
    #[must_use]
    pub fn digest_of(vm: &VmName) -> u32 {
        let bytes = vm.as_str().bytes();
        bytes.fold(0x811c_9dc5, |digest, byte| {
            (digest ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        })
    }
}
