use serde::Serialize;

/// What a service's backend servers bear shortly after a start, while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct WarmUpTerms {
    /// How long a backend server is cold after a start, in milliseconds.
    pub span_ms: u64,
    /// The requests per second that it bears meanwhile.
    pub rate_per_s: u32,
}
