//! Distributed token bucket per team: over all VMs together, no window of time admits more than
//! the team's rate and burst allow.
//!
//! Teams are hashed to *slots*. In each data centre, one node is the *allocator* of a slot. It
//! holds a lease, recorded on the platform's log, and hands out the tokens of the data centre's
//! share of each team's rate and burst. Every node has a [`TeamLimiter`], which requests
//! short-lived grants of tokens from the allocators and admits requests against them. The crate
//! does no I/O: the caller passes in the time, messages and records, and executes the
//! [`RateAction`]s.

mod grant_ledger;
mod lease_fold;
mod promise_ledger;
mod rate_action;
mod rate_allocator;
mod rate_decision;
mod rate_message;
mod rate_record;
mod rate_settings;
mod rate_snapshot;
mod slot_rank;
mod slot_standby;
mod team_bucket;
mod team_limiter;
mod team_rate;
mod team_share;
mod team_usage;
mod token_holder;

pub use rate_action::RateAction;
pub use rate_decision::RateDecision;
pub use rate_message::{GrantClose, RateMessage, TeamDemand, TeamGrant};
pub use rate_record::{
    LeaseEntry, LeaseRecord, RateRecord, SnapshotRecord, TableRecord, TeamEntry, TeamTokens,
};
pub use rate_settings::RateSettings;
pub use rate_snapshot::RateSnapshot;
pub use team_limiter::TeamLimiter;
pub use team_rate::TeamRate;
