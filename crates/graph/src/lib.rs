//! Dependencies between services, critical paths and admission over a whole chain of calls.
//!
//! [`DependencyGraph`] answers questions about the contract. [`ChainAdmission`] refuses a request
//! at the entry if a downstream service would shed it or if it can't finish before its deadline, so
//! that no work is spent on it. It learns from answers: each node reports the shed thresholds of
//! its own VM and of the services below ([`ThresholdReport`]) for as long as they shed.

mod admission_settings;
mod call_target;
mod chain_admission;
mod chain_refusal;
mod critical_path;
mod dependency_graph;
mod downstream_calls;
mod duration_cast;
mod event_rate;
mod min_call_time;
mod parent_guess;
mod refused_request;
mod retry_slots;
mod service_thresholds;
mod threshold_report;

pub use admission_settings::AdmissionSettings;
pub use call_target::CallTarget;
pub use chain_admission::ChainAdmission;
pub use chain_refusal::ChainRefusal;
pub use critical_path::CriticalPath;
pub use dependency_graph::DependencyGraph;
pub use downstream_calls::DownstreamCalls;
pub use min_call_time::MinCallTime;
pub use parent_guess::guess_parent;
pub use refused_request::RefusedRequest;
pub use service_thresholds::ServiceThresholds;
pub use threshold_report::ThresholdReport;
