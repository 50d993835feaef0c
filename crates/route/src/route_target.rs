use model::CentreName;

/// What a VM announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The data centre that the VM is in.
    pub centre: CentreName,
    /// The number of requests that the backend server claims to run at once. It is shown in dumps
    /// only: using it as a weight would let a false figure attract load.
    pub slots: u32,
}

/// The load that a VM's node reported with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// The requests that are running.
    pub in_flight: u32,
    /// The concurrency limit.
    pub limit: u32,
    /// The requests that are waiting.
    pub queued: u32,
    /// How long work takes on the host, in percent of the usual; 0 if it isn't stated.
    pub slowness: u16,
}

/// How a request sent to a VM ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteOutcome {
    /// The VM answered.
    Succeeded {
        /// The time from sending to the answer, in milliseconds.
        latency_ms: u64,
    },
    /// The node of the VM refused the request before it ran.
    Refused,
    /// The node of the VM refused the request because its backend server accepts fewer requests at
    /// present.
    Limited,
    /// The link or the backend server failed.
    Failed,
    /// The caller gave up; this doesn't count as a failure of the VM.
    Abandoned,
}
