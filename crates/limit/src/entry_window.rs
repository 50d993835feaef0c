/// The settings of an [`EntryWindow`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSettings {
    /// The part of the time that a request may take which its class takes on the mean, for the
    /// class that gives way first. A chain without a queue takes 0.4 of it on the users' platform.
    pub first_part: f64,
    /// The same for the class that gives way last: what is left takes the spread of latencies.
    pub last_part: f64,
    /// The weight of one latency in the mean: some ten requests, a second's at one node.
    pub mean_gain: f64,
    /// The part of the window that one latency takes away at most; a second of them halves it.
    pub shrink_step: f64,
    /// The part of the window that one latency gives back at most.
    pub widen_step: f64,
    /// The least that the window shrinks to, as a part of what was in flight when it closed, so
    /// that slowness that no load causes can't shut it.
    pub least_part: f64,
}

impl Default for WindowSettings {
    fn default() -> Self {
        Self {
            first_part: 0.55,
            last_part: 0.85,
            mean_gain: 0.1,
            shrink_step: 0.05,
            widen_step: 0.03,
            least_part: 0.15,
        }
    }
}

/// How much of a step a mean latency takes for each part by which it is off.
const STEP_SLOPE: f64 = 3.0;

/// Bounds the requests of one kind and class that entered at a node and aren't answered yet.
///
/// Load pattern: a service deep in the chain has too little room for what all entries let in, and
/// what is known of it at the entry is as old as a whole request. A bound on requests in flight
/// needs no news: when the chain slows down, fewer enter at once. The window closes once the mean
/// latency is above what the class may take, and widens below that. Classes that give way first
/// may take less, so theirs close while those of others stay open.
///
/// # Examples
///
/// ```
/// use lentilshift_limit::{EntryWindow, WindowSettings};
///
/// let mut window = EntryWindow::new(WindowSettings::default(), 0.0);
/// assert!(window.enter());
/// assert!(window.enter());
/// window.leave(Some(900), 1_000);
/// assert!(!window.enter(), "the first latency is above 0.55 of what is allowed");
/// ```
#[derive(Clone, Debug)]
pub struct EntryWindow {
    settings: WindowSettings,
    /// The part of the allowed time that the mean latency may reach.
    part: f64,
    in_flight: u32,
    mean_ms: Option<f64>,
    /// The requests that may be in flight; `None` while the window is open.
    limit: Option<f64>,
    /// The least that the limit falls to.
    least: f64,
}

impl EntryWindow {
    /// Creates an open window for a class, by its place in the shedding order, from 0 for the one
    /// that gives way first to 1.
    #[must_use]
    pub fn new(settings: WindowSettings, place: f64) -> Self {
        let span = settings.last_part - settings.first_part;
        Self {
            settings,
            part: settings.first_part + span * place.clamp(0.0, 1.0),
            in_flight: 0,
            mean_ms: None,
            limit: None,
            least: 1.0,
        }
    }

    /// Counts a request in, unless the window is full.
    pub fn enter(&mut self) -> bool {
        let wanted = f64::from(self.in_flight) + 1.0;
        if self.limit.is_some_and(|limit| wanted > limit) {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Counts a request out that was allowed to take `allowed_ms` milliseconds, with its latency in
    /// milliseconds where that says how loaded the chain is.
    pub fn leave(&mut self, latency_ms: Option<u64>, allowed_ms: u64) {
        let held = f64::from(self.in_flight);
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(latency_ms) = latency_ms else {
            return;
        };
        let latency = to_float(latency_ms);
        let mean = self.mean_ms.unwrap_or(latency);
        let mean = mean + self.settings.mean_gain * (latency - mean);
        self.mean_ms = Some(mean);
        let excess = mean / (self.part * to_float(allowed_ms.max(1))) - 1.0;
        if excess > 0.0 {
            self.shrink(held, excess);
        } else {
            self.widen(held, -excess);
        }
    }

    /// Returns the requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the requests that may be in flight, or `None` while the window is open.
    #[must_use]
    pub const fn limit(&self) -> Option<f64> {
        self.limit
    }

    fn shrink(&mut self, held: f64, excess: f64) {
        let limit = self.limit.unwrap_or_else(|| {
            self.least = (held * self.settings.least_part).max(1.0);
            held
        });
        let step = self.settings.shrink_step * (excess * STEP_SLOPE).min(1.0);
        self.limit = Some((limit * (1.0 - step)).max(self.least));
    }

    /// Gives room back, and opens the window once only half of it is used.
    fn widen(&mut self, held: f64, room: f64) {
        let Some(limit) = self.limit else {
            return;
        };
        if held * 2.0 < limit {
            self.limit = None;
            return;
        }
        let step = self.settings.widen_step * (room * STEP_SLOPE).min(1.0);
        self.limit = Some(limit * (1.0 + step));
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
const fn to_float(span_ms: u64) -> f64 {
    span_ms as f64
}
