use std::sync::Arc;

use model::CallImportance;
use serde::Serialize;

/// The terms of one call: how its requests are matched, ranked, retried and timed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallContract {
    /// The HTTP method, or `None` for any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<Arc<str>>,
    /// The prefix of the request's path; only whole segments match.
    pub path: Arc<str>,
    /// The importance of a request that enters the fleet by this call.
    pub importance: CallImportance,
    /// Whether a request runs at most once, identified by its idempotency key.
    pub once: bool,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether the call is open to requests without an API key.
    pub open: bool,
    /// The maximum time from the entry of a request to its answer, in milliseconds.
    pub deadline_ms: u64,
    /// The target latency, in milliseconds, or 0 for none.
    #[serde(skip_serializing_if = "is_zero")]
    pub target_ms: u64,
    /// The maximum number of backend servers that one request may be sent to.
    #[serde(skip_serializing_if = "is_default_attempts")]
    pub attempts: u32,
}

impl CallContract {
    /// The default deadline of a call, in milliseconds.
    pub const DEFAULT_DEADLINE_MS: u64 = 10_000;

    /// The default number of backend servers that a request may be sent to.
    pub const DEFAULT_ATTEMPTS: u32 = 4;

    /// The default path of a call, which matches every path.
    pub const DEFAULT_PATH: &str = "/";

    /// Returns whether a request that may have run can be retried.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        self.idempotent && !self.once
    }

    /// Returns the target latency if it is set and below the deadline, and else the deadline, in
    /// milliseconds.
    #[must_use]
    pub const fn target_or_deadline_ms(&self) -> u64 {
        if self.target_ms > 0 && self.target_ms < self.deadline_ms {
            self.target_ms
        } else {
            self.deadline_ms
        }
    }

    /// Returns whether the call matches requests with this method.
    #[must_use]
    pub fn matches_method(&self, method: &str) -> bool {
        self.method.as_deref().is_none_or(|own| own == method)
    }

    /// Returns whether a path equals the call's path or is below it.
    #[must_use]
    pub fn matches_path(&self, path: &str) -> bool {
        if &*self.path == Self::DEFAULT_PATH {
            return path.starts_with('/');
        }
        path.strip_prefix(&*self.path)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Returns whether a method is safe in the sense of HTTP. Calls with a safe method are
    /// idempotent by default.
    pub(crate) fn is_safe_method(method: Option<&str>) -> bool {
        matches!(method, Some("GET" | "HEAD" | "OPTIONS"))
    }
}

impl Default for CallContract {
    /// Returns a call that matches every request and is neither idempotent nor run at most once.
    fn default() -> Self {
        Self {
            method: None,
            path: Self::DEFAULT_PATH.into(),
            importance: CallImportance::default(),
            once: false,
            idempotent: false,
            open: false,
            deadline_ms: Self::DEFAULT_DEADLINE_MS,
            target_ms: 0,
            attempts: Self::DEFAULT_ATTEMPTS,
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_zero(span_ms: &u64) -> bool {
    *span_ms == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_default_attempts(attempts: &u32) -> bool {
    *attempts == CallContract::DEFAULT_ATTEMPTS
}
