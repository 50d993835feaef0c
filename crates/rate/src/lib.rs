//! Team rate and burst, summed over all VMs and never exceeded in any window.
//!
//! Teams are spread over *slots*. In each data centre one node allocates the tokens of a slot,
//! by a lease on the platform's log, from a share of each team's rate and burst. Every node
//! holds a [`TeamLimiter`], which asks those allocators for short grants and admits requests
//! against them. Nothing here does I/O: the caller passes the time, messages and records in and
//! carries the [`RateAction`]s out.

mod grant_book;
mod lease_fold;
mod rate_action;
mod rate_allocator;
mod rate_decision;
mod rate_message;
mod rate_record;
mod rate_settings;
mod rate_snapshot;
mod slot_rank;
mod team_bucket;
mod team_limiter;
mod team_rate;
mod team_share;
mod team_use;
mod token_holder;

pub use rate_action::RateAction;
pub use rate_decision::RateDecision;
pub use rate_message::{GrantClose, RateMessage, TeamGrant, TeamWant};
pub use rate_record::{
    LeaseEntry, LeaseRecord, RateRecord, SnapshotRecord, TableRecord, TeamEntry,
};
pub use rate_settings::RateSettings;
pub use rate_snapshot::RateSnapshot;
pub use team_limiter::TeamLimiter;
pub use team_rate::TeamRate;
