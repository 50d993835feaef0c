use serde::{Deserialize, Serialize};

/// How much harm it does when a kind of call is refused.
///
/// The order is the order of shedding: what compares less is shed first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum CallImportance {
    /// Work that can wait: prefetches, reports, imports.
    Background,
    /// Everyday calls.
    #[default]
    Normal,
    /// Calls that someone waits for.
    High,
    /// Calls whose loss does lasting harm.
    Critical,
}

impl CallImportance {
    /// All classes, the least important first.
    pub const ALL: [Self; 4] = [Self::Background, Self::Normal, Self::High, Self::Critical];

    /// Returns the name used in the contract and in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Background => "background",
            Self::Normal => "normal",
            Self::High => "high",
            Self::Critical => "critical",
        }
    }
}
