use std::fmt;

/// A secret that no log or error shows.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct SecretText(String);

impl SecretText {
    /// The shortest secret allowed, in bytes.
    const MIN_LEN: usize = 16;

    /// Takes a secret, or returns `None` when it is too short.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        (text.len() >= Self::MIN_LEN).then(|| Self(text.to_owned()))
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretText(..)")
    }
}
