//! Limits on retries over a whole call tree.
//!
//! The entry node gives each request a [`RetryAllowance`]. Every call forwarded on its behalf
//! carries an [`AllowanceShare`], which becomes the allowance of the receiving node. Shares are
//! moved, never copied, so the retries delegated and retained by a node never add up to more than
//! it received. [`RetryPolicy`] decides on one retry. It needs a retry from the allowance and one
//! from the route's [`RetrySource`]: a [`RetryBudget`] per window of time, or a [`RetryRatio`] to
//! successes.

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
pub use retry_policy::{FailedCall, RetryDecision, RetryPolicy, RetryStop};
pub use retry_ratio::{RatioSettings, RetryRatio};
pub use retry_source::RetrySource;
