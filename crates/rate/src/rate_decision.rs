/// The decision on one request of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    /// A token was spent; the request is admitted.
    Admit,
    /// Tokens are being requested; the request may wait and try again.
    Wait {
        /// The longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// The team is over its rate.
    Refuse {
        /// The time until a token is expected, in milliseconds.
        retry_after_ms: u64,
    },
}
