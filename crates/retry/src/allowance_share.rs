use serde::{Deserialize, Serialize};

/// A number of retries that moves from one node to another.
///
/// A share can't be cloned. What is dropped, as with a lost answer, is lost.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AllowanceShare(u32);

impl AllowanceShare {
    /// Creates a share out of nothing, for a request that enters the system.
    #[must_use]
    pub const fn new(retries: u32) -> Self {
        Self(retries)
    }

    /// Returns the number of retries.
    #[must_use]
    pub const fn retries(&self) -> u32 {
        self.0
    }

    /// Splits off up to `retries` retries.
    #[must_use]
    pub fn split(&mut self, retries: u32) -> Self {
        let part = retries.min(self.0);
        self.0 -= part;
        Self(part)
    }

    /// Takes in another share.
    #[allow(clippy::needless_pass_by_value)] // Taking the share moves it.
    pub fn merge(&mut self, other: Self) {
        self.0 = self.0.saturating_add(other.0);
    }
}
