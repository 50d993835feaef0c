use serde::{Deserialize, Serialize};

use crate::{ShedOrder, TeamName};

/// The shed threshold of a team that uses more than its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamThreshold {
    /// The team, or `None` for requests of no team.
    pub team: Option<TeamName>,
    /// New requests of the team below this position are refused.
    pub threshold: ShedOrder,
}

/// The positions in the shedding order below which a service refuses new requests.
///
/// # Examples
///
/// ```
/// use lentilshift_model::{CallImportance, RequestId, ShedThresholds, ShedOrder};
///
/// let order = ShedOrder::new(CallImportance::Normal, RequestId::from_random(7));
/// assert!(ShedThresholds::default().admits(order, None));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShedThresholds {
    /// The threshold for every team that isn't listed in `over_share`.
    pub threshold: ShedOrder,
    /// The higher thresholds of teams that use more than their share, the heaviest users first.
    pub over_share: Vec<TeamThreshold>,
}

impl Default for ShedThresholds {
    fn default() -> Self {
        Self {
            threshold: ShedOrder::FIRST,
            over_share: Vec::new(),
        }
    }
}

impl ShedThresholds {
    /// Returns the threshold that applies to a team.
    #[must_use]
    pub fn threshold_of(&self, team: Option<&TeamName>) -> ShedOrder {
        self.over_share
            .iter()
            .find(|entry| entry.team.as_ref() == team)
            .map_or(self.threshold, |entry| entry.threshold.max(self.threshold))
    }

    /// Returns whether a new request of a team is admitted.
    #[must_use]
    pub fn admits(&self, order: ShedOrder, team: Option<&TeamName>) -> bool {
        order >= self.threshold_of(team)
    }

    /// Returns whether all requests are admitted.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.threshold == ShedOrder::FIRST && self.over_share.is_empty()
    }
}
