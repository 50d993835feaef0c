use model::VmName;
use serde::{Deserialize, Serialize};

use crate::BackendName;

/// The exclusive upper bound of start times in milliseconds since 1970.
const MAX_STARTED_AT_MS: u64 = 1 << 53;

/// One start of a backend server that has left for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedBackend {
    /// The backend server.
    pub backend: BackendName,
    /// When it started by its own clock, in milliseconds since 1970; `None` if it left before its
    /// first report.
    pub started_at_ms: Option<u64>,
}

impl DepartedBackend {
    /// Returns whether this is the departure of a start of a backend server, or of a later start.
    #[must_use]
    pub fn covers(&self, backend: &BackendName, started_at_ms: u64) -> bool {
        let is_covered = |departed: u64| started_at_ms <= departed;
        self.backend == *backend && self.started_at_ms.is_some_and(is_covered)
    }
}

/// The departure of the backend server beside a node: the content of a record of the members
/// stream.
///
/// A departure is confirmed once its record is on the log, so that it binds the next process of the
/// node too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendDeparture {
    /// The node.
    pub vm: VmName,
    /// The backend server that has left.
    pub departed: DepartedBackend,
}

impl BackendDeparture {
    /// Returns whether a node can have written this departure.
    ///
    /// Other programs may write to the stream too.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        let started_at_ms = self.departed.started_at_ms;
        started_at_ms.is_none_or(|started| started < MAX_STARTED_AT_MS)
    }
}
