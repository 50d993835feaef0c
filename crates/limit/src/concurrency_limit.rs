/// The settings of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Whether the limit adapts to latency; else it is the announced slots.
    pub is_adaptive: bool,
    /// The limit never falls below this number of requests.
    pub min_limit: u32,
    /// Latency above the floor times this factor lowers the limit.
    pub tolerance: f64,
    /// The number of runs between two decisions.
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

/// The part of the limit that one decision gives back.
const RAISE_SHARE: f64 = 0.1;
/// The part of the limit that a dip takes away.
const DIP_SHARE: f64 = 0.2;
/// Latency must fall below this part of what it was for a dip to have helped.
const HELPED_SHARE: f64 = 0.9;

/// A lowering of the limit, on trial until it is known whether it shortens latency.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitDip {
    first_limit: f64,
    first_latency_ms: f64,
}

/// The number of requests that may run at once on a backend server.
///
/// The limit follows the backend server's own latency against the lowest it has shown. It is
/// capped by the announced slots. When lowering it doesn't shorten latency, concurrency isn't the
/// cause; then the limit is restored and the floor is raised.
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
    floor_ms: Option<f64>,
    total_ms: f64,
    runs: u32,
    busy_runs: u32,
    dip: Option<LimitDip>,
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
            floor_ms: None,
            total_ms: 0.0,
            runs: 0,
            busy_runs: 0,
            dip: None,
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
            self.dip = None;
        }
    }

    /// Forgets all that was measured, for a backend server that has restarted.
    pub fn reset(&mut self) {
        *self = Self::new(self.settings, self.slots);
    }

    /// Notes the latency of a run, with the requests that ran when it ended.
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
        let floor = self.floor_ms.map_or(latency, |floor| floor.min(latency));
        self.floor_ms = Some(floor);
        if latency <= floor * self.settings.tolerance {
            self.raise();
        } else if is_busy {
            self.lower(latency);
        }
    }

    fn raise(&mut self) {
        let step = (self.limit * RAISE_SHARE).max(1.0);
        self.limit = (self.limit + step).min(f64::from(self.slots));
        self.dip = None;
    }

    fn lower(&mut self, latency: f64) {
        let Some(dip) = self.dip.take() else {
            self.start_dip(latency);
            return;
        };
        if latency > dip.first_latency_ms * HELPED_SHARE {
            self.limit = dip.first_limit;
            self.floor_ms = Some(latency);
        }
    }

    fn start_dip(&mut self, latency: f64) {
        self.dip = Some(LimitDip {
            first_limit: self.limit,
            first_latency_ms: latency,
        });
        let lowest = f64::from(self.settings.min_limit.max(1));
        let step = (self.limit * DIP_SHARE).max(1.0);
        self.limit = (self.limit - step).max(lowest);
    }
}
