use std::collections::BTreeMap;
use std::sync::Arc;

use model::{CallImportance, ServiceName};
use serde::Serialize;

use crate::CallContract;

/// A route: the terms of requests for one host and path prefix, and the services that they are
/// sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteContract {
    /// The host of the request.
    pub host: Arc<str>,
    /// The prefix of the request's path, which begins and ends with a slash.
    pub path: Arc<str>,
    /// The importance of a request that enters the fleet by this route.
    pub importance: CallImportance,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether the route is open to requests without an API key.
    pub open: bool,
    /// The maximum time from the entry of a request to its answer, in milliseconds.
    pub deadline_ms: u64,
    /// The target latency, in milliseconds, or 0 for none.
    pub target_ms: u64,
    /// The maximum number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// The services that handle the requests, with the weights of their shares.
    pub backends: BTreeMap<ServiceName, u32>,
}

impl RouteContract {
    /// Returns the sum of the weights of all services.
    #[must_use]
    pub fn total_weight(&self) -> u64 {
        self.backends
            .values()
            .map(|weight| u64::from(*weight))
            .sum()
    }

    /// Returns the service for a number below [`total_weight`](Self::total_weight).
    ///
    /// Uniformly random numbers choose each service in proportion to its weight.
    #[must_use]
    pub fn backend_at(&self, mut point: u64) -> Option<&ServiceName> {
        for (service, weight) in &self.backends {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }

    /// Returns the terms of the route as those of a call.
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
