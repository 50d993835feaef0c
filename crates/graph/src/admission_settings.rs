/// How admission over a whole chain of calls learns and forgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// The time for which the cuts of a VM stand without a newer report, in milliseconds.
    pub cut_hold_ms: u64,
    /// The time in which unrenewed cuts then fall to nothing, in milliseconds.
    pub cut_relax_ms: u64,
    /// The number of recent runs over which the uses of a call are counted.
    pub use_runs: u32,
    /// The number of runs from which on the uses of a call are trusted.
    pub min_use_runs: u32,
    /// The share of its runs from which on a call is taken to need a lower call, from 0 to 1.
    pub needed_share: f64,
    /// The share of calls that need less time than the expected time, from 0 to 1.
    pub time_quantile: f64,
    /// How far one duration moves the expected time, as a share of it.
    pub time_gain: f64,
    /// The number of durations from which on the expected time is trusted.
    pub min_durations: u32,
    /// The time without a duration after which the expected time falls, in milliseconds.
    pub time_hold_ms: u64,
    /// The time in which the expected time then halves, in milliseconds.
    pub time_half_life_ms: u64,
    /// The least time after which a refused caller is told to come back, in milliseconds.
    pub min_retry_after_ms: u64,
    /// The longest time after which a refused caller is told to come back, in milliseconds.
    pub max_retry_after_ms: u64,
    /// The work that comes back at a time, as a part of what is served.
    pub return_share: f64,
    /// The time without a refusal in which the slots handed out before count half, in
    /// milliseconds.
    pub return_half_life_ms: u64,
}

impl AdmissionSettings {
    /// Returns the age at which the cuts of a VM count for nothing, in milliseconds.
    #[must_use]
    pub const fn cut_life_ms(&self) -> u64 {
        self.cut_hold_ms + self.cut_relax_ms
    }
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            cut_hold_ms: 150,
            cut_relax_ms: 350,
            use_runs: 32,
            min_use_runs: 8,
            needed_share: 0.8,
            time_quantile: 0.1,
            time_gain: 0.1,
            min_durations: 16,
            time_hold_ms: 250,
            time_half_life_ms: 1_000,
            min_retry_after_ms: 1_000,
            max_retry_after_ms: 900_000,
            return_share: 0.08,
            return_half_life_ms: 5_000,
        }
    }
}
