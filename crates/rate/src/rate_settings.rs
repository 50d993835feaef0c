/// Settings of the rate limiter, the same on every node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateSettings {
    /// The number of slots that teams are spread over.
    pub slots: u16,
    /// The life of a grant of tokens, in milliseconds.
    pub grant_ms: u64,
    /// The life of a grant that is only for requests already waiting, in milliseconds.
    pub short_grant_ms: u64,
    /// The time after a lease record for which its holder needs no promises, in milliseconds.
    pub lease_ms: u64,
    /// The time between two renewals while all successors promise, in milliseconds.
    pub renew_ms: u64,
    /// The life of a successor's promise, in milliseconds.
    pub promise_ms: u64,
    /// The time after which any node of the data centre may replace a silent allocator, in
    /// milliseconds. An allocator cut off from the log stops by then.
    pub abandon_ms: u64,
    /// The longest time between two snapshots of a slot on the stream, in milliseconds. Records
    /// have to be kept for several times as long.
    pub snapshot_ms: u64,
    /// The number of successors that a lease names.
    pub successors: usize,
    /// The most by which a clock runs fast or slow, in parts per million.
    pub drift_ppm: u64,
    /// The longest that a request waits for tokens, in milliseconds.
    pub wait_ms: u64,
    /// The most requests of a team that wait for tokens at one node.
    pub waiting_most: usize,
    /// The time without an answer after which other data centres are asked, in milliseconds.
    pub hedge_ms: u64,
    /// The time after which an ask is given up, in milliseconds.
    pub ask_timeout_ms: u64,
    /// The time after which unused tokens go back, in milliseconds.
    pub idle_ms: u64,
    /// The period of demand that a node holds tokens for, in milliseconds.
    pub ahead_ms: u64,
    /// The requests in such a period from which tokens are held ahead.
    pub ahead_from: u32,
    /// The shortest time between two asks for a team that is out of tokens, in milliseconds.
    pub dry_ms: u64,
    /// The longest time between two such asks, in milliseconds.
    pub most_dry_ms: u64,
    /// The asks a second that one allocator wants to answer for teams that are out of tokens.
    pub asks_per_s: u64,
    /// The time between two tries of an append, in milliseconds.
    pub append_retry_ms: u64,
}

impl Default for RateSettings {
    fn default() -> Self {
        Self {
            slots: 1,
            grant_ms: 500,
            short_grant_ms: 60,
            lease_ms: 1_000,
            renew_ms: 20_000,
            promise_ms: 1_000,
            abandon_ms: 900_000,
            snapshot_ms: 60_000,
            successors: 2,
            drift_ppm: 500,
            wait_ms: 2_000,
            waiting_most: 256,
            hedge_ms: 8,
            ask_timeout_ms: 400,
            idle_ms: 60,
            ahead_ms: 50,
            ahead_from: 2,
            dry_ms: 10,
            most_dry_ms: 5_000,
            asks_per_s: 2_000,
            append_retry_ms: 1_000,
        }
    }
}

impl RateSettings {
    /// Returns a span that has surely passed everywhere once it has passed here.
    #[must_use]
    pub const fn longer_ms(&self, span_ms: u64) -> u64 {
        span_ms + span_ms * self.drift_ppm / 1_000_000 + 2
    }

    /// Returns a span that has surely not passed elsewhere before it has passed here.
    #[must_use]
    pub const fn shorter_ms(&self, span_ms: u64) -> u64 {
        span_ms.saturating_sub(span_ms * self.drift_ppm / 1_000_000 + 2)
    }
}
