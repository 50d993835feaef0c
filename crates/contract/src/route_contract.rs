use std::collections::BTreeMap;
use std::sync::Arc;

use model::{CallImportance, ServiceName};
use serde::Serialize;

use crate::CallContract;

/// Where requests for one host and path prefix go, and what the operators ask for them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteContract {
    /// The host that requests name.
    pub host: Arc<str>,
    /// The prefix of the request's path; it begins and ends with a slash.
    pub path: Arc<str>,
    /// The class of a request that enters the fleet by this route.
    pub importance: CallImportance,
    /// Whether running a request twice does the same as running it once.
    pub idempotent: bool,
    /// Whether the route is open to all, without a key.
    pub open: bool,
    /// The longest time from entry to answer, in milliseconds.
    pub deadline_ms: u64,
    /// The time within which an answer is worth most, in milliseconds.
    pub target_ms: u64,
    /// The backend servers that one request may be sent to, at most.
    pub attempts: u32,
    /// The services that take the requests, by the weight of their share.
    pub backends: BTreeMap<ServiceName, u32>,
}

impl RouteContract {
    /// Returns the weights of all services together.
    #[must_use]
    pub fn total_weight(&self) -> u64 {
        self.backends
            .values()
            .map(|weight| u64::from(*weight))
            .sum()
    }

    /// Returns the service that a number below [`total_weight`](Self::total_weight) falls to.
    #[must_use]
    pub fn backend_at(&self, mut place: u64) -> Option<&ServiceName> {
        for (service, weight) in &self.backends {
            let weight = u64::from(*weight);
            if place < weight {
                return Some(service);
            }
            place -= weight;
        }
        None
    }

    /// Returns the route's terms as those of a call.
    #[must_use]
    pub fn to_call(&self) -> CallContract {
        CallContract {
            method: None,
            path: Arc::clone(&self.path),
            importance: self.importance,
            once: false,
            idempotent: self.idempotent,
            open: self.open,
            deadline_ms: self.deadline_ms,
            target_ms: self.target_ms,
            attempts: self.attempts,
        }
    }
}
