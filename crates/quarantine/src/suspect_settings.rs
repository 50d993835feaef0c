/// Settings of a [`SuspectTable`](crate::SuspectTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectSettings {
    /// How long a request stays suspect without a run, in milliseconds.
    pub suspect_ms: u64,
    /// How long a request stays in quarantine, in milliseconds.
    pub quarantine_ms: u64,
    /// How long a clean run speaks for later copies of a request, in milliseconds.
    pub clean_ms: u64,
    /// How long an abandoned run is still suspected of a crash, in milliseconds.
    pub linger_ms: u64,
    /// How long the answer to a crashed request waits for peers to take the news, in milliseconds.
    pub tell_ms: u64,
    /// The most requests listed as suspect or in quarantine.
    pub max_suspects: usize,
    /// The most clean runs remembered.
    pub max_clean: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            suspect_ms: 10 * 60 * 1_000,
            quarantine_ms: 60 * 60 * 1_000,
            clean_ms: 10_000,
            linger_ms: 1_000,
            tell_ms: 500,
            max_suspects: 4_096,
            max_clean: 1_024,
        }
    }
}
