/// Settings of a [`SuspectTable`](crate::SuspectTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectSettings {
    /// How long a request stays suspect after its last crash unless cleared, in milliseconds.
    pub suspect_ms: u64,
    /// How long a request stays in quarantine after its last crash, in milliseconds.
    pub quarantine_ms: u64,
    /// How long a run without a crash exempts a later copy of the request from suspicion, in
    /// milliseconds.
    pub clean_ms: u64,
    /// How long after it was abandoned a run may still be the cause of a crash, in milliseconds.
    pub abandoned_ms: u64,
    /// How long the answer to a crashed request is deferred until peers acknowledge the update, in
    /// milliseconds.
    pub notify_ms: u64,
    /// The largest number of requests listed as suspect or in quarantine.
    pub max_suspects: usize,
    /// The largest number of runs without a crash, and of abandoned runs, that are retained.
    pub max_clean_runs: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            suspect_ms: 10 * 60 * 1_000,
            quarantine_ms: 60 * 60 * 1_000,
            clean_ms: 10_000,
            abandoned_ms: 1_000,
            notify_ms: 500,
            max_suspects: 4_096,
            max_clean_runs: 1_024,
        }
    }
}
