//! Bounded retries over a whole call tree.
//!
//! The entry gives a request a [`RetryAllowance`]. Every call forwarded for it takes an
//! [`AllowanceShare`], which becomes the allowance of the node that receives the call. Shares
//! are moved, never copied: what is handed down and what is kept is never more than what came
//! in. [`RetryPolicy`] decides on one retry, within the allowance and what pays for the route's
//! retries: a [`RetryBudget`] for each window of time, or a [`RetryRatio`] of successes.

mod allowance_share;
mod call_repeats;
mod recent_keys;
mod resend_counts;
mod resend_table;
mod retry_allowance;
mod retry_budget;
mod retry_policy;
mod retry_ratio;
mod retry_source;

pub use allowance_share::AllowanceShare;
pub use call_repeats::{CallRepeats, RepeatDecision};
pub use resend_counts::{CountDecision, ResendCounts};
pub use resend_table::{ResendDecision, ResendSettings, ResendTable};
pub use retry_allowance::RetryAllowance;
pub use retry_budget::{BudgetSettings, BudgetView, RetryBudget};
pub use retry_policy::{RetryDecision, RetryPolicy, RetryQuestion, RetryStop};
pub use retry_ratio::{RatioSettings, RetryRatio};
pub use retry_source::RetrySource;
