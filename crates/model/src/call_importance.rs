use serde::{Deserialize, Serialize};

/// The importance of a call, by the harm that refusing it does.
///
/// Under overload, calls of lesser importance are shed first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum CallImportance {
    /// Deferrable work, such as prefetches, reports and imports.
    Background,
    /// Ordinary calls, the default.
    #[default]
    Normal,
    /// Calls that a user waits for.
    High,
    /// Calls whose failure does lasting harm.
    Critical,
}

impl CallImportance {
    /// All importances, the least important first.
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
