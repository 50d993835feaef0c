use model::CentreName;

/// What a VM announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The data centre that the VM is in.
    pub centre: CentreName,
    /// The requests that the backend server says it can run at once; shown in dumps, and not
    /// used to weigh VMs, since a false figure would draw load.
    pub slots: u32,
}

/// The load that a VM's node reported on an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// The requests that run.
    pub in_flight: u32,
    /// The most requests that may run at once.
    pub limit: u32,
    /// The requests that wait.
    pub queued: u32,
}

/// How a request sent to a VM ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteOutcome {
    /// The VM answered.
    Succeeded {
        /// The time from sending to the answer, in milliseconds.
        latency_ms: u64,
    },
    /// The VM's node refused the request before it ran.
    Refused,
    /// The link or the backend server failed.
    Failed,
    /// The caller gave up; the VM isn't to blame.
    Abandoned,
}
