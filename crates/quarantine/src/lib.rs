//! Quarantine of requests that crash backend servers.
//!
//! What ran when a backend server crashed is *suspect*: it runs alone, on the one VM that the
//! crash assigned to it, and is never retried. A second crash puts it in quarantine. The news
//! goes to the peers before the failure is answered, so a caller that sends the request again
//! meets nodes that know.
//!
//! [`SuspectTable`] decides for the node beside one backend server.

mod held_failures;
mod request_fingerprint;
mod run_gate;
mod suspect_action;
mod suspect_list;
mod suspect_news;
mod suspect_settings;
mod suspect_table;

pub use request_fingerprint::{RequestFingerprint, home_vm};
pub use suspect_action::{SuspectAction, SuspectDecision};
pub use suspect_list::{SuspectEntry, SuspectList};
pub use suspect_news::{NewsId, SuspectNews};
pub use suspect_settings::SuspectSettings;
pub use suspect_table::SuspectTable;
