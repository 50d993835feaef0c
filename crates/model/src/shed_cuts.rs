use serde::{Deserialize, Serialize};

use crate::{ShedOrder, TeamName};

/// The threshold of a team that uses more than its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCut {
    /// The team, or `None` for requests of no team.
    pub team: Option<TeamName>,
    /// The team's new requests below this place are refused.
    pub threshold: ShedOrder,
}

/// The thresholds below which a service refuses new requests.
///
/// # Examples
///
/// ```
/// use lentilshift_model::{CallImportance, RequestId, ShedCuts, ShedOrder};
///
/// let order = ShedOrder::new(CallImportance::Normal, RequestId::from_random(7));
/// assert!(ShedCuts::default().admits(order, None));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShedCuts {
    /// The threshold for every team that isn't listed in `over_share`.
    pub threshold: ShedOrder,
    /// The higher thresholds of teams that use more than their share, the greatest users first.
    pub over_share: Vec<TeamCut>,
}

impl Default for ShedCuts {
    fn default() -> Self {
        Self {
            threshold: ShedOrder::FIRST,
            over_share: Vec::new(),
        }
    }
}

impl ShedCuts {
    /// Returns the threshold that applies to a team.
    #[must_use]
    pub fn threshold_of(&self, team: Option<&TeamName>) -> ShedOrder {
        self.over_share
            .iter()
            .find(|cut| cut.team.as_ref() == team)
            .map_or(self.threshold, |cut| cut.threshold.max(self.threshold))
    }

    /// Returns whether a new request of a team is let in.
    #[must_use]
    pub fn admits(&self, order: ShedOrder, team: Option<&TeamName>) -> bool {
        order >= self.threshold_of(team)
    }

    /// Returns whether nothing is refused.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.threshold == ShedOrder::FIRST && self.over_share.is_empty()
    }
}
