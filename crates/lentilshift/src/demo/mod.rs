//! The demo: a small fleet in one process, the requests sent to it and a table of the results.

mod caller_connection;
mod demo_caller;
mod demo_contract;
mod demo_error;
mod demo_fleet;
mod demo_row;
mod demo_steps;
mod demo_table;

pub(crate) use demo_caller::DemoCaller;
pub(crate) use demo_contract::{OVER_RATE_TEAM, STEADY_TEAM};
pub(crate) use demo_error::DemoError;
pub(crate) use demo_fleet::DemoFleet;
pub(crate) use demo_row::DemoRow;
pub(crate) use demo_steps::{run_steps, stop_node};
pub(crate) use demo_table::{print_addresses, print_instructions, print_rows};
