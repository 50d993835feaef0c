//! Differential trials of the policy against baselines, in virtual time.
//!
//! A [`TrialWorld`] feeds seeded arrivals to fakes of backend servers (slots and service times)
//! behind nodes of one [`NodePolicy`]: the naive one, independent limits, or the very decision
//! code of the crates `limit` and `route`. A [`TrialScore`] says what the callers got.

mod backend;
mod baseline;
mod call;
mod event;
mod firm;
mod ingress;
mod policy;
mod score;
mod table;
mod workload;
mod world;
mod world_calls;
mod world_clients;
mod world_retries;
mod world_script;

pub use firm::Firm;
pub use policy::{NodeKind, NodePolicy};
pub use score::TrialScore;
pub use table::{ScoreTable, median_and_worst};
pub use workload::Workload;
pub use world::TrialWorld;
