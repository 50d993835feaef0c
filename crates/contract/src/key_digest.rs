use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

const DIGEST_LEN: usize = 32;

/// The SHA-256 digest of a caller's key: all that is ever stored of the key.
///
/// # Examples
///
/// ```
/// use lentilshift_contract::KeyDigest;
///
/// let digest = KeyDigest::of(b"example");
/// assert_eq!(KeyDigest::parse(&digest.to_string()), Ok(digest));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_LEN]);

/// The text isn't a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key digest has 64 hexadecimal digits")]
pub struct DigestError;

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Creates a digest from its bytes.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; DIGEST_LEN]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; DIGEST_LEN] {
        &self.0
    }

    /// Parses the hexadecimal form.
    ///
    /// # Errors
    ///
    /// Returns a [`DigestError`] when the text isn't 64 hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, DigestError> {
        let digits = text.as_bytes();
        if digits.len() != 2 * DIGEST_LEN {
            return Err(DigestError);
        }
        let mut bytes = [0; DIGEST_LEN];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

fn hex_value(digit: u8) -> Result<u8, DigestError> {
    let value = char::from(digit).to_digit(16).ok_or(DigestError)?;
    u8::try_from(value).map_err(|_| DigestError)
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({self})")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(DigestVisitor)
    }
}

struct DigestVisitor;

impl de::Visitor<'_> for DigestVisitor {
    type Value = KeyDigest;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("64 hexadecimal digits")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<KeyDigest, E> {
        KeyDigest::parse(text).map_err(E::custom)
    }
}
