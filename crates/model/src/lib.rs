//! The words shared by all crates of lentilshift.
//!
//! Names are shared immutable strings, identifiers are 128-bit numbers, and two small enums say
//! how much a call matters ([`CallImportance`]) and whether it may have run ([`RunVerdict`]).

mod attempt_id;
mod call_importance;
mod names;
mod record_id;
mod refusal_reason;
mod request_id;
mod run_verdict;
mod shared_name;
mod shed_class;
mod shed_cuts;
mod shed_order;
mod unique_id;

pub use attempt_id::AttemptId;
pub use call_importance::CallImportance;
pub use names::{CallName, CentreName, NameError, ServiceName, TeamName, VmName};
pub use record_id::RecordId;
pub use refusal_reason::RefusalReason;
pub use request_id::RequestId;
pub use run_verdict::RunVerdict;
pub use shed_class::ShedClass;
pub use shed_cuts::{ShedCuts, TeamCut};
pub use shed_order::ShedOrder;
