use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// The maximum length of a contract text, in bytes.
const MAX_TEXT_LEN: usize = 4 << 20;

/// The SHA-256 digest of a contract text, in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TextDigest(String);

impl TextDigest {
    /// Returns the digest of a text.
    #[must_use]
    pub fn of_text(text: &str) -> Self {
        let digest = Sha256::digest(text.as_bytes());
        Self(digest.iter().fold(String::new(), |mut hex, byte| {
            use fmt::Write as _;
            write!(hex, "{byte:02x}").expect("a string takes any text");
            hex
        }))
    }

    /// Returns the hexadecimal digits.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The difference between a contract text and its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TextChange {
    /// The whole new text.
    Whole {
        /// The text.
        text: String,
    },
    /// A replacement of the bytes between a common prefix and a common suffix.
    Part {
        /// The length of the common prefix, in bytes.
        head_len: usize,
        /// The length of the common suffix, in bytes.
        tail_len: usize,
        /// The new text between prefix and suffix.
        middle: String,
    },
}

impl TextChange {
    /// Returns the change from the old text to the new one, without their common prefix and suffix.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Self {
        let head_len = common_prefix_len(old, new);
        let tail_len = common_suffix_len(&old[head_len..], &new[head_len..]);
        if head_len + tail_len == 0 {
            return Self::Whole { text: new.into() };
        }
        Self::Part {
            head_len,
            tail_len,
            middle: new[head_len..new.len() - tail_len].into(),
        }
    }

    /// Applies the change to the old text.
    ///
    /// # Errors
    ///
    /// Returns a [`ChangeError`] when the change doesn't fit the text or makes it too long.
    pub fn apply(&self, old: &str) -> Result<String, ChangeError> {
        let text = match self {
            Self::Whole { text } => text.clone(),
            Self::Part {
                head_len,
                tail_len,
                middle,
            } => {
                let tail_start = old.len().checked_sub(*tail_len);
                let tail_start = tail_start
                    .filter(|start| start >= head_len)
                    .ok_or(ChangeError::Misfit)?;
                let head = old.get(..*head_len).ok_or(ChangeError::Misfit)?;
                let tail = old.get(tail_start..).ok_or(ChangeError::Misfit)?;
                [head, middle, tail].concat()
            }
        };
        if text.len() > MAX_TEXT_LEN {
            return Err(ChangeError::TooLong(text.len()));
        }
        Ok(text)
    }
}

fn common_prefix_len(old: &str, new: &str) -> usize {
    let pairs = old.chars().zip(new.chars());
    pairs
        .take_while(|(left, right)| left == right)
        .map(|(left, _)| left.len_utf8())
        .sum()
}

fn common_suffix_len(old: &str, new: &str) -> usize {
    let pairs = old.chars().rev().zip(new.chars().rev());
    pairs
        .take_while(|(left, right)| left == right)
        .map(|(left, _)| left.len_utf8())
        .sum()
}

/// Why a change can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ChangeError {
    /// The change was made for a different text.
    #[error("the change doesn't fit the text of its base version")]
    Misfit,
    /// The text is too long; holds its length in bytes.
    #[error("the text has {0} bytes, at most {MAX_TEXT_LEN} are allowed")]
    TooLong(usize),
    /// The resulting text doesn't match the digest in the record.
    #[error("the text doesn't match its digest")]
    WrongDigest,
}
