//! Fleets of real processes: the path of a request, and what fails.

mod claim_shards;
mod config_changes;
mod kills;
mod loop_rounds;
mod parted_centres;
mod pauses;
mod stop_orders;
mod support;
mod whole_path;
