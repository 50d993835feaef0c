//! Concurrency limits, queues and fair shedding in front of a backend server.
//!
//! An [`AdmissionQueue`] decides for each request whether it starts, waits or is refused. It holds
//! a [`ConcurrencyLimit`], which adapts to measured latency, and a [`ShedControl`], which sets the
//! thresholds in [`ShedThresholds`] below which new requests are refused at once. Every answer carries
//! the thresholds back in a [`LoadReport`], so that the entry node of a chain can refuse a request
//! that a downstream service would refuse.

mod admission_queue;
mod backend_load;
mod client_entry;
mod client_ledger;
mod client_limits;
mod completion_batches;
mod concurrency_limit;
mod entry_window;
mod entry_windows;
mod load_report;
mod log_line_budget;
mod queue_settings;
mod queue_ticket;
mod rate_pacer;
mod rate_statement;
mod run_times;
mod shed_control;
mod team_credits;
mod team_demand;
mod wait_meter;
mod wait_queue;
mod warm_up_pacer;
mod warm_up_settings;

pub use admission_queue::AdmissionQueue;
pub use backend_load::BackendLoad;
pub use client_ledger::{ClientClosure, ClientId, ClientLedger, CloseReason};
pub use client_limits::{ClientLimits, ClientPort};
pub use completion_batches::CompletionBatches;
pub use concurrency_limit::{ConcurrencyLimit, LimitSettings};
pub use entry_window::WindowSettings;
pub use entry_windows::EntryWindows;
pub use load_report::LoadReport;
pub use log_line_budget::LogLineBudget;
pub use model::{ShedThresholds, TeamThreshold};
pub use queue_settings::QueueSettings;
pub use queue_ticket::{QueueAction, QueueDecision, QueueRefusal, QueueTicket, RunOutcome};
pub use rate_pacer::PaceChange;
pub use rate_statement::RateStatement;
pub use shed_control::{QueueState, ShedControl, ShedSettings};
pub use warm_up_settings::{
    WarmUpChange, WarmUpLimits, WarmUpSettings, WarmUpSource, WarmUpStatement,
};
