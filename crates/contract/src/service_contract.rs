use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use model::{CallName, ServiceName};
use serde::Serialize;

use crate::{CallContract, WarmUpTerms};

/// The contract of one service: its dependencies and its calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ServiceContract {
    /// The path at which a backend server answers questions about its state.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub health_path: Option<Arc<str>>,
    /// The services that this one calls.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub depends_on: BTreeSet<ServiceName>,
    /// What a backend server bears after a start, or `None` if it bears as much as later.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<WarmUpTerms>,
    /// The calls of the service, by name.
    pub calls: BTreeMap<CallName, CallContract>,
}

impl ServiceContract {
    /// The name of the call of a service that defines no calls.
    pub const DEFAULT_CALL: &str = "any";

    /// Returns the matching call with the longest path.
    ///
    /// Of two calls with the same path, the one that names the method is preferred.
    pub(crate) fn find_call(&self, method: &str, path: &str) -> Option<(&CallName, &CallContract)> {
        self.calls
            .iter()
            .filter(|(_, call)| call.matches_method(method) && call.matches_path(path))
            .max_by_key(|(_, call)| (call.path.len(), call.method.is_some()))
    }
}
