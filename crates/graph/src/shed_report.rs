use model::{CallImportance, ServiceName, ShedOrder};
use serde::{Deserialize, Serialize};

use crate::AdmissionSettings;

/// The number of ranks within one class.
const RANKS: u64 = 1 << 16;

/// What a service, or one that it needs, sheds at present.
///
/// A report is passed on as it was made, with its age, so that it expires after the same time
/// however many hops it has travelled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShedReport {
    /// The service that sheds.
    pub service: ServiceName,
    /// The threshold when the report was made: requests whose order is less are shed.
    pub threshold: ShedOrder,
    /// The time since the report was made, in milliseconds.
    pub age_ms: u64,
}

impl ShedReport {
    /// Creates a report that is new.
    #[must_use]
    pub const fn new(service: ServiceName, threshold: ShedOrder) -> Self {
        Self {
            service,
            threshold,
            age_ms: 0,
        }
    }

    /// Returns the threshold that is left of the report at its age.
    #[must_use]
    pub fn threshold_left(&self, settings: &AdmissionSettings) -> ShedOrder {
        let life_ms = settings.threshold_life_ms();
        let left_ms = life_ms.saturating_sub(self.age_ms).min(settings.relax_ms);
        let position = position_of(self.threshold) * left_ms / settings.relax_ms.max(1);
        order_at(position)
    }
}

/// Returns the place of an order on one scale over all classes.
fn position_of(order: ShedOrder) -> u64 {
    let mut classes = CallImportance::ALL.iter();
    let class = classes.position(|class| *class == order.importance());
    class.unwrap_or_default() as u64 * RANKS + u64::from(order.rank())
}

fn order_at(position: u64) -> ShedOrder {
    let class = usize::try_from(position / RANKS).unwrap_or(usize::MAX);
    let class = CallImportance::ALL.get(class).copied();
    let rank = u16::try_from(position % RANKS).unwrap_or(u16::MAX);
    ShedOrder::from_parts(class.unwrap_or(CallImportance::Critical), rank)
}
