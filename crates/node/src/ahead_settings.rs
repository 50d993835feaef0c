/// Settings of requests that a caller sends on a connection before earlier ones are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AheadSettings {
    /// The maximum number of requests of a connection that run at once. With 1, each request waits
    /// for the answer of the one before.
    pub max_requests: usize,
    /// The number of bytes of a connection that are read while a request is being answered, beside
    /// the heads of the requests that run if another one could be started.
    pub read_bytes: usize,
    /// The number of bytes from which an answer that waits for earlier ones isn't read on.
    pub answer_bytes: usize,
    /// The number of bytes of all connections, read ahead and of waiting answers, from which nothing
    /// more is read ahead.
    pub node_bytes: usize,
}

impl AheadSettings {
    /// Settings with which each request waits for the answer of the one before.
    pub const OFF: Self = Self {
        max_requests: 1,
        read_bytes: 0,
        answer_bytes: 0,
        node_bytes: 0,
    };
}

impl Default for AheadSettings {
    fn default() -> Self {
        Self {
            max_requests: 8,
            read_bytes: 16 * 1024,
            answer_bytes: 32 * 1024,
            node_bytes: 8 * 1024 * 1024,
        }
    }
}
