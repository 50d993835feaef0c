/// The answer to one request of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    /// A token was spent: the request goes on.
    Admit,
    /// Tokens are being asked for: the request may wait and ask again.
    Ask {
        /// The longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// The team is over its rate.
    Refuse {
        /// When a token is expected, in milliseconds from now.
        retry_after_ms: u64,
    },
}
