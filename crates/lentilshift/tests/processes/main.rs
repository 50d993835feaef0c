//! Tests with fleets of node processes: requests, failures and configuration changes.

mod claim_shards;
mod config_changes;
mod kills;
mod loop_rounds;
mod partitioned_centres;
mod pauses;
mod stop_orders;
mod support;
mod whole_path;
