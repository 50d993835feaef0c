use model::{ServiceName, ShedOrder};
use serde::{Deserialize, Serialize};

/// The shedding threshold of a service, as last heard by the node that tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceThreshold {
    /// The service.
    pub service: ServiceName,
    /// The place in the shedding order below which the service sheds.
    pub order: ShedOrder,
    /// The age of the news, in milliseconds.
    pub age_ms: u32,
}
