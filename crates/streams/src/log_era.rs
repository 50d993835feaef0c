use std::fmt;

use serde::{Deserialize, Serialize};

/// How often the log has come back without its last records.
///
/// Offsets are comparable only within one era: a log that came back gives the offsets of the lost
/// records out again. A platform that states no era is always in the first one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogEra(u64);

impl LogEra {
    /// The era of a log that has never come back, or whose platform states none.
    pub const FIRST: Self = Self(0);

    /// Creates an era.
    #[must_use]
    pub const fn new(era: u64) -> Self {
        Self(era)
    }

    /// Returns the era as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns whether this is the first era, for serializers that leave it out.
    #[must_use]
    #[allow(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes a reference"
    )]
    pub const fn is_first(&self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for LogEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
