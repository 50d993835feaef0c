use model::{ServiceName, ShedThresholds, VmName};
use serde::{Deserialize, Serialize};

/// The shed thresholds of one VM, as sent with answers.
///
/// A report is forwarded unchanged with its age, so that it expires after the same time however
/// many hops it has travelled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThresholdReport {
    /// The service.
    pub service: ServiceName,
    /// The VM.
    pub vm: VmName,
    /// The thresholds when the report was created.
    #[serde(rename = "cuts")]
    pub thresholds: ShedThresholds,
    /// The time since the report was created, in milliseconds.
    pub age_ms: u32,
}
