use model::VmName;
use serde::{Deserialize, Serialize};

/// The length of a nonce, in bytes.
pub(crate) const NONCE_BYTES: usize = 16;

/// The first message on a link: names the client and challenges the server.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HelloMessage {
    pub(crate) version: u16,
    pub(crate) vm: VmName,
    pub(crate) nonce: [u8; NONCE_BYTES],
}

/// The answer to [`HelloMessage`]: proves the server and challenges the client.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HelloAnswer {
    pub(crate) version: u16,
    pub(crate) nonce: [u8; NONCE_BYTES],
    pub(crate) proof: Vec<u8>,
}
