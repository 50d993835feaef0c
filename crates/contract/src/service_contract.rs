use std::collections::{BTreeMap, BTreeSet};

use model::{CallName, ServiceName};
use serde::Serialize;

use crate::CallContract;

/// One service: what it depends on and the calls it answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ServiceContract {
    /// The services that this one calls.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub depends_on: BTreeSet<ServiceName>,
    /// The kinds of call, by name.
    pub calls: BTreeMap<CallName, CallContract>,
}

impl ServiceContract {
    /// The name of the call that a service has when its text lists none.
    pub const DEFAULT_CALL: &str = "any";

    /// Returns the call with the longest path that takes the request.
    ///
    /// Of two calls with the same path, the one that names the method goes first.
    pub(crate) fn find_call(&self, method: &str, path: &str) -> Option<(&CallName, &CallContract)> {
        self.calls
            .iter()
            .filter(|(_, call)| call.takes_method(method) && call.takes_path(path))
            .max_by_key(|(_, call)| (call.path.len(), call.method.is_some()))
    }
}
