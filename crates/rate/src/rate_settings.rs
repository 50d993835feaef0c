/// Settings of the rate limiter; they must be the same on every node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateSettings {
    /// The number of slots that teams are hashed to.
    pub slots: u16,
    /// The lifetime of a grant of tokens, in milliseconds.
    pub grant_ms: u64,
    /// The lifetime of a grant that is only for requests already waiting, in milliseconds.
    pub short_grant_ms: u64,
    /// The time after a lease record in which its holder may grant tokens without promises of its
    /// successors, in milliseconds.
    pub lease_ms: u64,
    /// The time between two lease renewals while all successors give promises, in milliseconds.
    pub renew_ms: u64,
    /// The time for which a successor promises not to take over, in milliseconds.
    pub promise_ms: u64,
    /// The time after its last lease record when any node of the data centre may replace an
    /// allocator, in milliseconds. An allocator that can't reach the log stops granting by then.
    pub abandon_ms: u64,
    /// The time after which every node that exchanges messages with others knows that the log has
    /// come back without its last records, counted from when the first node does, in milliseconds.
    pub return_notice_ms: u64,
    /// The time for which an allocator goes on granting tokens after the log has come back, until
    /// its lease is on the log again, in milliseconds.
    pub return_carry_ms: u64,
    /// The longest time between two snapshots of a slot on the stream, in milliseconds. The log
    /// must retain records for several times as long.
    pub snapshot_ms: u64,
    /// The number of successors that a lease names.
    pub successors: usize,
    /// The greatest drift of a clock, in parts per million.
    pub drift_ppm: u64,
    /// The longest time that a request waits for a token, in milliseconds.
    pub wait_ms: u64,
    /// The largest number of requests of a team that wait for tokens at one node.
    pub max_waiting: usize,
    /// The time without an answer after which tokens are also requested from other data centres,
    /// in milliseconds.
    pub hedge_ms: u64,
    /// The time after which a token request is abandoned, in milliseconds.
    pub request_timeout_ms: u64,
    /// The time after which unused tokens are returned, in milliseconds.
    pub idle_ms: u64,
    /// The period for which tokens are prefetched, as many as the previous period had requests, in
    /// milliseconds.
    pub prefetch_period_ms: u64,
    /// The fewest requests in such a period for which tokens are prefetched.
    pub prefetch_min_requests: u32,
    /// The shortest time between two token requests for a team whose tokens are exhausted, in
    /// milliseconds.
    pub min_exhausted_retry_ms: u64,
    /// The longest time between two such requests, in milliseconds.
    pub max_exhausted_retry_ms: u64,
    /// The rate of token requests that one allocator aims to answer for exhausted teams, in
    /// requests per second.
    pub requests_per_s: u64,
    /// The time before an append that hasn't taken effect is repeated, in milliseconds.
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
            return_notice_ms: 5_000,
            return_carry_ms: 3_000,
            snapshot_ms: 60_000,
            successors: 2,
            drift_ppm: 500,
            wait_ms: 2_000,
            max_waiting: 256,
            hedge_ms: 8,
            request_timeout_ms: 400,
            idle_ms: 60,
            prefetch_period_ms: 50,
            prefetch_min_requests: 2,
            min_exhausted_retry_ms: 10,
            max_exhausted_retry_ms: 5_000,
            requests_per_s: 2_000,
            append_retry_ms: 1_000,
        }
    }
}

impl RateSettings {
    /// Returns how long to wait by the local clock until `span_ms` has passed by every other clock.
    #[must_use]
    pub const fn longer_ms(&self, span_ms: u64) -> u64 {
        span_ms + span_ms * self.drift_ppm / 1_000_000 + 2
    }

    /// Returns the time after which no grant from before the log came back can be valid, counted
    /// from when a node notices that it has, in milliseconds.
    #[must_use]
    pub const fn return_wait_ms(&self) -> u64 {
        let promised_ms = self.return_notice_ms + self.return_carry_ms + self.promise_ms;
        let right_ms = if promised_ms < self.abandon_ms {
            promised_ms
        } else {
            self.abandon_ms
        };
        self.longer_ms(right_ms) + self.longer_ms(self.grant_ms)
    }

    /// Returns how long the local clock may run before `span_ms` has passed by any other clock.
    #[must_use]
    pub const fn shorter_ms(&self, span_ms: u64) -> u64 {
        span_ms.saturating_sub(span_ms * self.drift_ppm / 1_000_000 + 2)
    }
}
