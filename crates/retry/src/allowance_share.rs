use serde::{Deserialize, Serialize};

/// A number of retries passed between nodes.
///
/// A share can't be cloned, so retries are never duplicated. The retries of a dropped share, such
/// as that of a lost answer, can't be used any more.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AllowanceShare(u32);

impl AllowanceShare {
    /// Creates a share of new retries, for a request that enters the system.
    #[must_use]
    pub const fn new(retries: u32) -> Self {
        Self(retries)
    }

    /// Returns the number of retries.
    #[must_use]
    pub const fn retries(&self) -> u32 {
        self.0
    }

    /// Splits off a share of up to `retries` retries.
    #[must_use]
    pub fn split(&mut self, retries: u32) -> Self {
        let split_off = retries.min(self.0);
        self.0 -= split_off;
        Self(split_off)
    }

    /// Adds the retries of another share.
    #[allow(clippy::needless_pass_by_value)] // Taking it by value consumes the share.
    pub fn merge(&mut self, other: Self) {
        self.0 = self.0.saturating_add(other.0);
    }
}
