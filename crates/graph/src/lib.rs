//! Dependencies between services, critical paths and admission over a whole chain of calls.
//!
//! [`DependencyGraph`] answers questions about the contract. [`ChainAdmission`] refuses at the
//! entry what a service below would shed, or what can't be finished before its deadline, so that
//! no work is spent on it. What it knows comes with answers: each node reports what its own VM and
//! those of the services below refuse ([`CutReport`]), for as long as they shed.

mod admission_settings;
mod call_target;
mod call_uses;
mod chain_admission;
mod chain_refusal;
mod critical_path;
mod cut_report;
mod dependency_graph;
mod event_rate;
mod expected_time;
mod parent_guess;
mod refused_request;
mod return_slots;
mod service_cuts;
mod span_cast;

pub use admission_settings::AdmissionSettings;
pub use call_target::CallTarget;
pub use call_uses::CallUses;
pub use chain_admission::ChainAdmission;
pub use chain_refusal::ChainRefusal;
pub use critical_path::CriticalPath;
pub use cut_report::CutReport;
pub use dependency_graph::DependencyGraph;
pub use expected_time::ExpectedTime;
pub use parent_guess::guess_parent;
pub use refused_request::RefusedRequest;
pub use service_cuts::ServiceCuts;
