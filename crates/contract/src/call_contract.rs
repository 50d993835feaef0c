use std::sync::Arc;

use model::CallImportance;
use serde::Serialize;

/// What the operators promise and ask for one kind of call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallContract {
    /// The HTTP method, or `None` for any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<Arc<str>>,
    /// The prefix of the request's path, in whole segments.
    pub path: Arc<str>,
    /// The class of a request that enters the fleet by this call.
    pub importance: CallImportance,
    /// Whether a request runs at most once, under its idempotency key.
    pub once: bool,
    /// Whether running a request twice does the same as running it once.
    pub idempotent: bool,
    /// Whether the call is open to all, without a key.
    pub open: bool,
    /// The time from entry to answer, in milliseconds.
    pub deadline_ms: u64,
    /// The time within which an answer is worth most, in milliseconds; 0 when none is named.
    #[serde(skip_serializing_if = "is_zero")]
    pub target_ms: u64,
    /// The backend servers that one request may be sent to, at most.
    #[serde(skip_serializing_if = "is_default_attempts")]
    pub attempts: u32,
}

impl CallContract {
    /// The deadline of a call that names none, in milliseconds.
    pub const DEFAULT_DEADLINE_MS: u64 = 10_000;

    /// The backend servers that a request may be sent to when its call names no number.
    pub const DEFAULT_ATTEMPTS: u32 = 4;

    /// The path of a call that names none: every path.
    pub const DEFAULT_PATH: &str = "/";

    /// Returns whether a request that may have run can be sent again.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        self.idempotent && !self.once
    }

    /// Returns the time in which an answer is worth most, in milliseconds.
    #[must_use]
    pub const fn useful_ms(&self) -> u64 {
        if self.target_ms > 0 && self.target_ms < self.deadline_ms {
            self.target_ms
        } else {
            self.deadline_ms
        }
    }

    /// Returns whether a call takes requests with this method.
    #[must_use]
    pub fn takes_method(&self, method: &str) -> bool {
        self.method.as_deref().is_none_or(|own| own == method)
    }

    /// Returns whether a path lies at or below the call's path.
    #[must_use]
    pub fn takes_path(&self, path: &str) -> bool {
        if &*self.path == Self::DEFAULT_PATH {
            return path.starts_with('/');
        }
        path.strip_prefix(&*self.path)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Returns whether a method is safe, so that its calls are idempotent by default.
    pub(crate) fn is_safe_method(method: Option<&str>) -> bool {
        matches!(method, Some("GET" | "HEAD" | "OPTIONS"))
    }
}

impl Default for CallContract {
    /// Returns a call that takes every request and promises nothing.
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
