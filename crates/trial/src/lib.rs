//! Compares the overload control policy with baselines in a discrete-event simulation.
//!
//! A [`Simulation`] sends arrivals drawn from a seed to simulated backend servers (slots and
//! service times) behind nodes that share one [`NodePolicy`]: a naive node, independent limits per
//! hop, or the decision code of the production crates (`limit`, `graph`, `route`, `retry`). A
//! [`TrialScore`] holds the measurements of one run.

mod backend;
mod baseline;
mod call;
mod event;
mod firm;
mod ingress;
mod placement_score;
mod policy;
mod score;
mod simulation;
mod simulation_calls;
mod simulation_clients;
mod simulation_disturbance;
mod simulation_placement;
mod simulation_retries;
mod table;
mod workload;

pub use firm::Firm;
pub use placement_score::PlacementScore;
pub use policy::{NodeKind, NodePolicy, VmPlacement};
pub use score::TrialScore;
pub use simulation::Simulation;
pub use table::{ScoreTable, median_and_worst};
pub use workload::Workload;
