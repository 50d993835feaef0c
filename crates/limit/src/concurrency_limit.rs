/// The settings of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Whether the limit adapts to latency; otherwise it equals the announced slots.
    pub is_adaptive: bool,
    /// The lowest limit, in requests.
    pub min_limit: u32,
    /// The limit is lowered when latency exceeds the baseline times this factor.
    pub tolerance: f64,
    /// The number of runs between two adjustments.
    pub sample_runs: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            is_adaptive: true,
            min_limit: 2,
            tolerance: 2.0,
            sample_runs: 128,
        }
    }
}

/// The fraction of the limit that one adjustment adds.
const RAISE_FRACTION: f64 = 0.1;
/// The fraction of the limit that one adjustment removes.
const LOWER_FRACTION: f64 = 0.2;
/// Lowering the limit counts as effective when latency falls below this fraction of its previous
/// value.
const IMPROVED_LATENCY_FRACTION: f64 = 0.9;

/// A lowered limit under evaluation: it is kept only if it reduces latency.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitProbe {
    previous_limit: f64,
    previous_latency_ms: f64,
}

/// The number of requests that may run at once on a backend server.
///
/// The limit is lowered when the backend server's own latency rises above a baseline, the lowest
/// latency measured, and raised up to the announced slots when it does not. If lowering the limit
/// doesn't reduce latency, concurrency isn't the cause: the limit is restored and the baseline is
/// set to the current latency.
///
/// # Examples
///
/// ```
/// use lentilshift_limit::{ConcurrencyLimit, LimitSettings};
///
/// let limit = ConcurrencyLimit::new(LimitSettings::default(), 25);
/// assert_eq!(limit.current(), 25);
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    slots: u32,
    limit: f64,
    /// The mean latency that others are compared with.
    baseline_ms: Option<f64>,
    /// The sum of latencies since the last adjustment.
    total_ms: f64,
    /// The runs since the last adjustment.
    runs: u32,
    /// Those of `runs` that ended while at least 80 % of the limit was in use.
    busy_runs: u32,
    probe: Option<LimitProbe>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the announced slots.
    #[must_use]
    pub fn new(settings: LimitSettings, slots: u32) -> Self {
        let slots = slots.max(settings.min_limit).max(1);
        Self {
            settings,
            slots,
            limit: f64::from(slots),
            baseline_ms: None,
            total_ms: 0.0,
            runs: 0,
            busy_runs: 0,
            probe: None,
        }
    }

    /// Returns the limit, at least 1.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit lies between 1 and the slots"
    )]
    pub fn current(&self) -> u32 {
        (self.limit.round() as u32).max(1)
    }

    /// Sets the announced slots.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(self.settings.min_limit).max(1);
        if slots != self.slots {
            self.slots = slots;
            self.limit = f64::from(slots);
            self.probe = None;
        }
    }

    /// Discards all measurements, for a backend server that has restarted.
    pub fn reset(&mut self) {
        *self = Self::new(self.settings, self.slots);
    }

    /// Records the latency of a run, and the number of requests that were running when it ended.
    pub fn record(&mut self, own_ms: u64, in_flight: u32) {
        if !self.settings.is_adaptive {
            return;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "latencies are far below 2^52 ms"
        )]
        let latency = own_ms as f64;
        self.total_ms += latency.max(0.5);
        self.runs += 1;
        if f64::from(in_flight) >= 0.8 * self.limit {
            self.busy_runs += 1;
        }
        if self.runs >= self.settings.sample_runs {
            self.decide();
        }
    }

    fn decide(&mut self) {
        let latency = self.total_ms / f64::from(self.runs);
        let is_busy = self.busy_runs * 2 >= self.runs;
        self.total_ms = 0.0;
        self.runs = 0;
        self.busy_runs = 0;
        let baseline = self
            .baseline_ms
            .map_or(latency, |baseline| baseline.min(latency));
        self.baseline_ms = Some(baseline);
        if latency <= baseline * self.settings.tolerance {
            self.raise();
        } else if is_busy {
            self.lower(latency);
        }
    }

    fn raise(&mut self) {
        let step = (self.limit * RAISE_FRACTION).max(1.0);
        self.limit = (self.limit + step).min(f64::from(self.slots));
        self.probe = None;
    }

    fn lower(&mut self, latency: f64) {
        let Some(probe) = self.probe.take() else {
            self.start_probe(latency);
            return;
        };
        if latency > probe.previous_latency_ms * IMPROVED_LATENCY_FRACTION {
            self.limit = probe.previous_limit;
            self.baseline_ms = Some(latency);
        }
    }

    fn start_probe(&mut self, latency: f64) {
        self.probe = Some(LimitProbe {
            previous_limit: self.limit,
            previous_latency_ms: latency,
        });
        let lowest = f64::from(self.settings.min_limit.max(1));
        let step = (self.limit * LOWER_FRACTION).max(1.0);
        self.limit = (self.limit - step).max(lowest);
    }
}
