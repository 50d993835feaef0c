//! Concurrency limits, queues and fair shedding in front of a backend server.
//!
//! An [`AdmissionQueue`] decides for each request whether it starts, waits or is refused. It
//! holds a [`ConcurrencyLimit`], which adapts to measured latency, and a [`ShedControl`], which
//! sets the [`ShedThresholds`] below which new requests are refused at once. The cuts travel back on
//! every answer in a [`LoadReport`], so that the first node of a chain can refuse a request that
//! a service below would refuse.

mod admission_queue;
mod concurrency_limit;
mod end_batches;
mod entry_window;
mod entry_windows;
mod line_budget;
mod load_report;
mod queue_settings;
mod queue_ticket;
mod run_times;
mod shed_control;
mod team_credits;
mod team_demand;
mod wait_line;

pub use admission_queue::AdmissionQueue;
pub use concurrency_limit::{ConcurrencyLimit, LimitSettings};
pub use end_batches::EndBatches;
pub use entry_window::WindowSettings;
pub use entry_windows::EntryWindows;
pub use line_budget::LineBudget;
pub use load_report::LoadReport;
pub use model::{ShedThresholds, TeamThreshold};
pub use queue_settings::QueueSettings;
pub use queue_ticket::{QueueAction, QueueDecision, QueueRefusal, QueueTicket, RunOutcome};
pub use shed_control::{QueueState, ShedControl, ShedSettings};
