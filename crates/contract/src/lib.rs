//! The fleet contract: the services, calls, teams and routes that operators define.
//!
//! Operators publish the contract as one TOML text. [`FleetContract::parse`] validates the whole
//! text and returns either the contract or a [`ContractError`] that lists every fault with its
//! line and column. [`FleetContract::find_call`] returns the call of the contract that a request
//! matches.
//!
//! [`review_contract`] finds what a valid contract probably doesn't mean, and [`compare_contracts`]
//! what differs between two contracts.
//!
//! API keys aren't part of the text; they are granted and withdrawn by separate log records.

mod call_contract;
mod call_match;
mod call_reader;
mod contract_difference;
mod contract_error;
mod contract_fault;
mod contract_parser;
mod contract_reader;
mod contract_review;
mod contract_warning;
mod dependency_check;
mod dependency_order;
mod fault_kind;
mod fault_list;
mod field_reader;
mod fleet_contract;
mod request_path;
mod route_contract;
mod route_index;
mod route_reader;
mod service_contract;
mod service_reader;
mod team_contract;
mod text_block;
mod text_bounds;
mod warm_up_terms;

pub use call_contract::CallContract;
pub use call_match::CallMatch;
pub use contract_difference::{ContractDifference, EntryChange, compare_contracts};
pub use contract_error::ContractError;
pub use contract_fault::ContractFault;
pub use contract_parser::ContractParser;
pub use contract_review::review_contract;
pub use contract_warning::ContractWarning;
pub use dependency_order::{DependencyCycle, DependencyOrder};
pub use fault_kind::FaultKind;
pub use fleet_contract::FleetContract;
pub use request_path::is_plain_path;
pub use route_contract::RouteContract;
pub use route_index::RouteIndex;
pub use service_contract::ServiceContract;
pub use team_contract::TeamContract;
pub use text_bounds::{
    KNOWN_METHODS, MAX_BURST, MAX_CALLS_PER_SERVICE, MAX_CHAIN_DEPTH, MAX_DEADLINE_MS,
    MAX_PATH_LEN, MAX_RATE_PER_S, MAX_ROUTES, MAX_SERVICES, MAX_TEAMS, MAX_TEXT_LEN, MAX_WEIGHT,
};
pub use warm_up_terms::WarmUpTerms;
