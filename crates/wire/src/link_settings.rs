/// Settings of the links between nodes.
#[derive(Clone, Copy, Debug)]
pub struct LinkSettings {
    /// The time allowed for connecting and proving the secret, in milliseconds.
    pub connect_timeout_ms: u64,
    /// The time in which a node that connects must prove the secret, in milliseconds.
    pub prove_timeout_ms: u64,
    /// The time between probes while an answer is awaited, in milliseconds.
    pub busy_probe_ms: u64,
    /// The time between probes of an idle link, in milliseconds.
    pub idle_probe_ms: u64,
    /// The time after which a link that doesn't answer a probe is silent, in milliseconds.
    pub probe_timeout_ms: u64,
    /// The time after which a link that nothing uses is closed, in milliseconds.
    pub idle_close_ms: u64,
    /// The bytes that one stream may have in flight.
    pub stream_window_bytes: u32,
    /// The bytes that all streams of a link may have in flight.
    pub link_window_bytes: u32,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            prove_timeout_ms: 5_000,
            busy_probe_ms: 250,
            idle_probe_ms: 10_000,
            probe_timeout_ms: 750,
            idle_close_ms: 120_000,
            stream_window_bytes: 256 * 1024,
            link_window_bytes: 4 * 1024 * 1024,
        }
    }
}
