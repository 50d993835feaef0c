/// Settings of a [`ClaimTable`](crate::ClaimTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceSettings {
    /// How long duplicates are recognised, in milliseconds.
    pub horizon_ms: u64,
    /// The most claims within the horizon; at that many, calls with new keys are refused.
    pub max_claims: usize,
    /// How often the claims are appended anew, in milliseconds; at most a third of the retention.
    pub snapshot_every_ms: u64,
    /// The most claims in one record of a snapshot.
    pub snapshot_part_claims: usize,
    /// How long claims gather before an append, in milliseconds.
    pub gather_ms: u64,
    /// The most appends a second of all nodes of the service together.
    pub appends_per_s: u64,
    /// The most entries in one append.
    pub batch_entries: usize,
    /// How long an append without a known outcome waits before it is sent again, in milliseconds.
    pub resend_ms: u64,
    /// How long an append stays unresolved before new calls are refused, in milliseconds.
    pub outage_after_ms: u64,
    /// The longest time between the arrival of a call and its start, in milliseconds.
    pub start_within_ms: u64,
    /// How long to wait before asking a holder again, in milliseconds.
    pub ask_every_ms: u64,
    /// When refused callers should come back, in milliseconds.
    pub retry_after_ms: u64,
    /// The most memory for stored answers, in bytes.
    pub answer_bytes: usize,
    /// The most finished attempts whose outcome is remembered.
    pub remembered_attempts: usize,
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            horizon_ms: 4 * 60 * 60 * 1_000,
            max_claims: 400_000,
            snapshot_every_ms: 30 * 60 * 1_000,
            snapshot_part_claims: 1_000,
            gather_ms: 4,
            appends_per_s: 100,
            batch_entries: 1_000,
            resend_ms: 500,
            outage_after_ms: 2_000,
            start_within_ms: 60_000,
            ask_every_ms: 250,
            retry_after_ms: 1_000,
            answer_bytes: 8 * 1024 * 1024,
            remembered_attempts: 20_000,
        }
    }
}
