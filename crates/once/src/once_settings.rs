/// Settings of a [`ClaimTable`](crate::ClaimTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceSettings {
    /// How long duplicates are recognised, in milliseconds.
    pub horizon_ms: u64,
    /// The maximum number of claims within the horizon; when it is reached, calls with new keys are
    /// refused.
    pub max_claims: usize,
    /// The interval of snapshots, in milliseconds; at most a third of the log's retention.
    pub snapshot_every_ms: u64,
    /// The maximum number of claims in one chunk of a snapshot.
    pub snapshot_chunk_claims: usize,
    /// How long entries are batched before an append, in milliseconds.
    pub batch_delay_ms: u64,
    /// The maximum appends per second of all nodes that write to the stream together.
    pub appends_per_s: u64,
    /// The maximum number of entries in one append.
    pub batch_entries: usize,
    /// The time after which an append without a known outcome is retried, in milliseconds.
    pub resend_ms: u64,
    /// The time after which an append without a known outcome makes new calls be refused, in
    /// milliseconds.
    pub outage_after_ms: u64,
    /// The maximum time between the arrival of a call and its start, in milliseconds.
    pub start_within_ms: u64,
    /// The interval of repeated queries to a holder, in milliseconds.
    pub query_interval_ms: u64,
    /// The retry delay sent to refused callers, in milliseconds.
    pub retry_after_ms: u64,
    /// How long keys without a known claim can't be claimed after the log has come back without its
    /// last records, in milliseconds: other nodes write lost claims again in this time.
    pub return_guard_ms: u64,
    /// The interval in which claims that the log has lost are written again, in milliseconds.
    pub rewrite_ms: u64,
    /// The maximum memory for stored answers, in bytes.
    pub answer_bytes: usize,
    /// The maximum number of ended attempts whose outcome is retained.
    pub max_ended_attempts: usize,
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            horizon_ms: 4 * 60 * 60 * 1_000,
            max_claims: 400_000,
            snapshot_every_ms: 30 * 60 * 1_000,
            snapshot_chunk_claims: 1_000,
            batch_delay_ms: 4,
            appends_per_s: 100,
            batch_entries: 1_000,
            resend_ms: 500,
            outage_after_ms: 2_000,
            start_within_ms: 60_000,
            query_interval_ms: 250,
            retry_after_ms: 1_000,
            return_guard_ms: 5_000,
            rewrite_ms: 1_000,
            answer_bytes: 8 * 1024 * 1024,
            max_ended_attempts: 20_000,
        }
    }
}
