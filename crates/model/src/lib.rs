//! The basic types shared by all crates of lentilshift.
//!
//! Names are reference-counted immutable strings, and identifiers are 128-bit numbers written as
//! UUIDs. [`CallImportance`] ranks calls for load shedding, [`ShedOrder`] and [`ShedThresholds`]
//! determine which requests are shed, [`RefusalReason`] says why a request was refused, and
//! [`RunVerdict`] whether it may have run.

mod attempt_id;
mod call_importance;
mod load_news;
mod names;
mod record_id;
mod refusal_reason;
mod request_id;
mod run_verdict;
mod shared_name;
mod shed_class;
mod shed_order;
mod shed_thresholds;
mod unique_id;

pub use attempt_id::AttemptId;
pub use call_importance::CallImportance;
pub use load_news::LoadNews;
pub use names::{CallName, CentreName, NameError, ServiceName, TeamName, VmName};
pub use record_id::RecordId;
pub use refusal_reason::RefusalReason;
pub use request_id::RequestId;
pub use run_verdict::RunVerdict;
pub use shed_class::ShedClass;
pub use shed_order::ShedOrder;
pub use shed_thresholds::{ShedThresholds, TeamThreshold};
