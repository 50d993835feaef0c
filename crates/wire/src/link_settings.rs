/// Settings of the links between nodes.
#[derive(Clone, Copy, Debug)]
pub struct LinkSettings {
    /// The time allowed for connecting and authenticating, in milliseconds.
    pub connect_timeout_ms: u64,
    /// The time in which a peer that connects has to authenticate, in milliseconds.
    pub authentication_timeout_ms: u64,
    /// The interval of probes while calls or control messages are in flight, in milliseconds.
    pub busy_probe_interval_ms: u64,
    /// The interval of probes on an idle link, in milliseconds.
    pub idle_probe_interval_ms: u64,
    /// The time after which an unanswered probe takes the link down, in milliseconds.
    pub probe_timeout_ms: u64,
    /// The time after which an idle link is closed, in milliseconds.
    pub idle_close_ms: u64,
    /// The flow-control window of a stream, in bytes.
    pub stream_window_bytes: u32,
    /// The flow-control window of a whole link, in bytes.
    pub link_window_bytes: u32,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            authentication_timeout_ms: 5_000,
            busy_probe_interval_ms: 250,
            idle_probe_interval_ms: 10_000,
            probe_timeout_ms: 750,
            idle_close_ms: 120_000,
            stream_window_bytes: 256 * 1024,
            link_window_bytes: 4 * 1024 * 1024,
        }
    }
}
