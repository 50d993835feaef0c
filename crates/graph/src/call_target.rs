use std::fmt;

use contract::CallMatch;
use model::{CallName, ServiceName};

/// A call of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallTarget {
    /// The service that is called.
    pub service: ServiceName,
    /// The call, one kind of request of the service.
    pub call: CallName,
}

impl CallTarget {
    /// Creates a target.
    #[must_use]
    pub fn new(service: impl Into<ServiceName>, call: impl Into<CallName>) -> Self {
        Self {
            service: service.into(),
            call: call.into(),
        }
    }
}

impl From<&CallMatch<'_>> for CallTarget {
    fn from(found: &CallMatch<'_>) -> Self {
        Self::new(found.service.clone(), found.call.clone())
    }
}

impl fmt::Display for CallTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.service, self.call)
    }
}
