use model::{ServiceName, ShedThresholds, VmName};
use serde::{Deserialize, Serialize};

/// What one VM of a service refuses, as it travels on answers.
///
/// A report is passed on as it was made, with its age, so that it expires after the same time
/// however many hops it has travelled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CutReport {
    /// The service.
    pub service: ServiceName,
    /// The VM.
    pub vm: VmName,
    /// The thresholds when the report was made.
    pub cuts: ShedThresholds,
    /// The time since the report was made, in milliseconds.
    pub age_ms: u32,
}
