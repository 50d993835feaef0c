use limit::ShedCuts;
use model::ServiceName;
use serde::{Deserialize, Serialize};

/// What a service refuses, as last heard by the node that tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceThreshold {
    /// The service.
    pub service: ServiceName,
    /// What the service refuses.
    pub cuts: ShedCuts,
    /// The age of the news, in milliseconds.
    pub age_ms: u32,
}
