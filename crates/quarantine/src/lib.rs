//! Quarantine of requests that crash backend servers.
//!
//! Requests that were running when a backend server crashed are *suspect*. A suspect runs only on
//! the VM that was assigned to it after the crash, without other requests beside it, and isn't
//! retried. After a second crash it is in *quarantine* and doesn't run at all. A node notifies its
//! peers before it answers the failed request, so a caller that resends the request can't reach a
//! node that doesn't know about it.
//!
//! [`SuspectTable`] decides for the node of one backend server.

mod pending_updates;
mod request_fingerprint;
mod run_gate;
mod suspect_action;
mod suspect_list;
mod suspect_settings;
mod suspect_table;
mod suspect_update;

pub use request_fingerprint::{RequestFingerprint, designated_vm};
pub use suspect_action::{SuspectAction, SuspectDecision};
pub use suspect_list::{SuspectEntry, SuspectList};
pub use suspect_settings::SuspectSettings;
pub use suspect_table::SuspectTable;
pub use suspect_update::{SuspectUpdate, UpdateId};
