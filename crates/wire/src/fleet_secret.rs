use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// The shortest secret allowed, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Why a secret isn't accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SecretError {
    /// The secret is too short; the value is its length in bytes.
    #[error("the fleet secret needs at least {MIN_SECRET_BYTES} bytes, this one has {0}")]
    TooShort(usize),
}

/// The secret shared by all nodes of a fleet; `Debug` doesn't print it.
#[derive(Clone)]
pub struct FleetSecret(Vec<u8>);

impl FleetSecret {
    /// Creates a secret.
    ///
    /// # Errors
    ///
    /// Returns [`SecretError::TooShort`] when it has fewer than 16 bytes.
    pub fn new(secret: impl Into<Vec<u8>>) -> Result<Self, SecretError> {
        let secret = secret.into();
        if secret.len() < MIN_SECRET_BYTES {
            return Err(SecretError::TooShort(secret.len()));
        }
        Ok(Self(secret))
    }

    /// Returns an HMAC over the role and the parts, which proves possession of the secret.
    pub(crate) fn proof(&self, role: &str, parts: &[&[u8]]) -> Vec<u8> {
        self.mac(role, parts).finalize().into_bytes().to_vec()
    }

    /// Returns whether a proof is valid; compares in constant time.
    pub(crate) fn verify_proof(&self, role: &str, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(role, parts).verify_slice(proof).is_ok()
    }

    fn mac(&self, role: &str, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        for part in std::iter::once(role.as_bytes()).chain(parts.iter().copied()) {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetSecret(hidden)")
    }
}
