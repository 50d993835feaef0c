/// The settings of [`ChainAdmission`](crate::ChainAdmission).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// The time for which the thresholds of a VM keep their full weight without a newer report, in
    /// milliseconds.
    pub threshold_hold_ms: u64,
    /// The time in which their weight then falls to zero, in milliseconds.
    pub threshold_decay_ms: u64,
    /// The number of recent runs over which downstream calls are counted.
    pub usage_runs: u32,
    /// The number of runs from which the counted downstream calls are used.
    pub min_usage_runs: u32,
    /// The share of its runs (0 to 1) in which a call must make a downstream call for it to count
    /// as required.
    pub required_share: f64,
    /// The quantile of observed durations (0 to 1) that the minimum time of a call follows.
    pub time_quantile: f64,
    /// The largest step of the minimum time per duration, as a fraction of it.
    pub time_gain: f64,
    /// The number of durations from which the minimum time is used.
    pub min_durations: u32,
    /// The time without a duration after which the minimum time decays, in milliseconds.
    pub time_hold_ms: u64,
    /// The half-life of that decay, in milliseconds.
    pub time_half_life_ms: u64,
    /// The shortest retry delay given to a refused caller, in milliseconds.
    pub min_retry_after_ms: u64,
    /// The longest retry delay given to a refused caller, in milliseconds.
    pub max_retry_after_ms: u64,
    /// The rate of scheduled retries, as a fraction of the rate of served requests.
    pub retry_share: f64,
    /// The time without a refusal in which the backlog of assigned retry slots halves, in
    /// milliseconds.
    pub retry_half_life_ms: u64,
}

impl AdmissionSettings {
    /// Returns the age at which the thresholds of a VM expire, in milliseconds.
    #[must_use]
    pub const fn threshold_lifetime_ms(&self) -> u64 {
        self.threshold_hold_ms + self.threshold_decay_ms
    }
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            threshold_hold_ms: 150,
            threshold_decay_ms: 350,
            usage_runs: 32,
            min_usage_runs: 8,
            required_share: 0.8,
            time_quantile: 0.1,
            time_gain: 0.1,
            min_durations: 16,
            time_hold_ms: 250,
            time_half_life_ms: 1_000,
            min_retry_after_ms: 1_000,
            max_retry_after_ms: 900_000,
            retry_share: 0.08,
            retry_half_life_ms: 5_000,
        }
    }
}
