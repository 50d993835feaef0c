//! Stand-ins for the platform and backend servers, for tests and the demo.

mod log_faults;
mod log_server;
mod log_store;

pub use log_faults::{LogFaults, LogOutage};
pub use log_server::{LogControl, LogServer};
pub use log_store::LogStore;
