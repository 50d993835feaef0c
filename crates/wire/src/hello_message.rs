use model::VmName;
use serde::{Deserialize, Serialize};

/// The length of a nonce, in bytes.
pub(crate) const NONCE_BYTES: usize = 16;

/// The first message on a link.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HelloMessage {
    pub(crate) version: u16,
    pub(crate) vm: VmName,
    pub(crate) nonce: [u8; NONCE_BYTES],
}

/// The answer to the first message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HelloAnswer {
    pub(crate) version: u16,
    pub(crate) nonce: [u8; NONCE_BYTES],
    pub(crate) proof: Vec<u8>,
}
