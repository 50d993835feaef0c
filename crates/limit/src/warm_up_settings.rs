/// The bounds of the requests that a cold backend server gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpSettings {
    /// The factor on the rate that a cold backend server bears which gives the rate that no second
    /// may exceed.
    pub over: f64,
    /// The requests that a second may have beyond that.
    pub slack: f64,
    /// Whether requests are paced as on a cold backend server until the terms of the service are
    /// known.
    pub awaits_terms: bool,
}

impl Default for WarmUpSettings {
    fn default() -> Self {
        Self {
            over: 1.0,
            slack: 0.0,
            awaits_terms: false,
        }
    }
}

/// What the operators state of the cold backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLimits {
    /// How long a backend server is cold after a start, in milliseconds.
    pub span_ms: u64,
    /// The requests per second that it bears while it is cold.
    pub rate_per_s: f64,
    /// Whether it answers questions about its state.
    pub answers_questions: bool,
}

/// A statement of how long the backend server stays cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUpStatement {
    /// How much longer it is cold, in milliseconds; 0 if it is warm.
    pub cold_ms: u64,
    /// Where the statement comes from.
    pub source: WarmUpSource,
}

/// Where a statement about the cold time comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpSource {
    /// The answer to a request or a question that was sent at this time.
    Answer {
        /// When the request or question was sent.
        sent_at: clock::ClockTime,
    },
    /// A periodic report, which may come late.
    Report,
}

/// How a statement or an event has changed the pace of a backend server that may be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpChange {
    /// The pace is as before.
    Unchanged,
    /// Requests are paced from now on.
    Paced,
    /// Requests aren't paced any more.
    Ended,
}
