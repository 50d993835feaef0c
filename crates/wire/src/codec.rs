use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The largest head or control message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// The error of encoding or decoding a message.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The value can't be encoded.
    #[error("message can't be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes can't be decoded as a message of this type.
    #[error("message can't be decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// There are bytes after the end of the message.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] when the message is larger than 4 MiB.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(bincode::serde::encode_to_vec(message, CONFIG)?)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns a [`CodecError`] when the bytes aren't exactly one message of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, CONFIG)?;
    match bytes.len() - used {
        0 => Ok(message),
        rest => Err(CodecError::Trailing(rest)),
    }
}
