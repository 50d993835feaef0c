//! Stand-ins for the platform and backend servers, for tests and the demo.

mod backend_query;
mod backend_record;
mod backend_server;
mod backend_settings;
mod endless_answer;
mod http_parts;
mod instance_server;
mod log_faults;
mod log_server;
mod log_store;
mod store_server;
mod tcp_relay;

pub use backend_record::{BackendRecord, RunEntry};
pub use backend_server::BackendServer;
pub use backend_settings::{BackendCall, BackendSettings};
pub use endless_answer::EndlessPart;
pub use instance_server::{ColdState, InstanceRun, InstanceServer};
pub use log_faults::{LogFaults, LogOutage};
pub use log_server::{LogControl, LogServer};
pub use log_store::LogStore;
pub use store_server::{StoreFaults, StoreServer};
pub use tcp_relay::{RelayDirection, RelayRule, TcpRelay};
