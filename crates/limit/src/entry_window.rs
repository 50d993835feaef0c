use clock::ClockTime;

/// The settings of [`EntryWindows`](crate::EntryWindows).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSettings {
    /// The part of the time that a request may take which its class takes on the mean, for the
    /// class that gives way first. A chain without a queue takes 0.4 of it on the users' platform.
    pub first_part: f64,
    /// The same for the class that gives way last: what is left takes the spread of latencies.
    pub last_part: f64,
    /// The weight of one latency in the mean: some five requests.
    pub mean_gain: f64,
    /// The part of the window that one latency takes away at most; a second of them halves it.
    pub shrink_step: f64,
    /// The part of the window that one latency gives back at most.
    pub widen_step: f64,
    /// The requests that as many latencies as there are in the window give back besides, at most, so
    /// that a window of a few requests opens within some latencies too.
    pub widen_by: f64,
    /// The least that the window shrinks to, as a part of what was in flight when it closed, so
    /// that slowness that no load causes can't shut it.
    pub least_part: f64,
}

impl Default for WindowSettings {
    fn default() -> Self {
        Self {
            first_part: 0.55,
            last_part: 0.85,
            mean_gain: 0.2,
            shrink_step: 0.05,
            widen_step: 0.03,
            widen_by: 1.0,
            least_part: 0.15,
        }
    }
}

/// How much of a step a mean latency takes for each part by which it is off.
const STEP_SLOPE: f64 = 3.0;
/// The time for which a mean without news keeps lesser classes from widening, in milliseconds: the
/// longest that an ordinary request takes.
const LATE_LIFE_MS: u64 = 1_000;

/// Bounds the requests of one kind and class that entered at a node and aren't answered yet.
///
/// It is open until a shrink closes it, and open again once only half of it is used.
#[derive(Clone, Debug)]
pub(crate) struct EntryWindow {
    settings: WindowSettings,
    /// The part of the allowed time that the mean latency may reach.
    part: f64,
    in_flight: u32,
    mean_ms: Option<f64>,
    /// By which part the mean was above what the class may take, and when that was found.
    excess: f64,
    noted_at: ClockTime,
    /// The requests that may be in flight; `None` while the window is open.
    limit: Option<f64>,
    /// The least that the limit falls to.
    least: f64,
}

impl EntryWindow {
    /// Creates an open window for a class, by its place in the shedding order, from 0 for the one
    /// that gives way first to 1.
    pub(crate) fn new(settings: WindowSettings, place: f64) -> Self {
        let span = settings.last_part - settings.first_part;
        Self {
            settings,
            part: settings.first_part + span * place.clamp(0.0, 1.0),
            in_flight: 0,
            mean_ms: None,
            excess: 0.0,
            noted_at: ClockTime::ZERO,
            limit: None,
            least: 1.0,
        }
    }

    /// Counts a request in, unless the window is full.
    pub(crate) fn enter(&mut self) -> bool {
        let wanted = f64::from(self.in_flight) + 1.0;
        if self.limit.is_some_and(|limit| wanted > limit) {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Counts a request out.
    pub(crate) const fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in the latency of a request that was allowed to take `allowed_ms` milliseconds, and
    /// returns by which part the mean is above what the class may take.
    ///
    /// The mean is kept within the allowed time, so that it comes down soon after an overload.
    pub(crate) fn note_latency(&mut self, now: ClockTime, latency_ms: u64, allowed_ms: u64) -> f64 {
        let latency = to_float(latency_ms);
        let mean = self.mean_ms.unwrap_or(latency);
        let mean = mean + self.settings.mean_gain * (latency - mean);
        let mean = mean.min(to_float(allowed_ms));
        self.mean_ms = Some(mean);
        self.excess = mean / (self.part * to_float(allowed_ms.max(1))) - 1.0;
        self.noted_at = now;
        self.excess
    }

    /// Returns the requests that may be in flight, or `None` while the window is open.
    pub(crate) const fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Returns whether requests of the class took too long a short time ago.
    pub(crate) fn is_late(&self, now: ClockTime) -> bool {
        self.excess > 0.0 && now.since_ms(self.noted_at) < LATE_LIFE_MS
    }

    /// Returns whether the window is in use and can shrink further.
    pub(crate) fn can_shrink(&self) -> bool {
        match self.limit {
            Some(limit) => limit > self.least,
            None => self.in_flight > 0,
        }
    }

    /// Takes room away, the more the further a mean latency is above what its class may take.
    pub(crate) fn shrink(&mut self, excess: f64) {
        let held = f64::from(self.in_flight);
        let limit = self.limit.unwrap_or_else(|| {
            self.least = (held * self.settings.least_part).max(1.0);
            held
        });
        let step = self.settings.shrink_step * (excess * STEP_SLOPE).min(1.0);
        self.limit = Some((limit * (1.0 - step)).max(self.least));
    }

    /// Gives room back, and opens the window once only half of it is used.
    pub(crate) fn widen(&mut self, room: f64) {
        let held = f64::from(self.in_flight);
        let Some(limit) = self.limit else {
            return;
        };
        if held * 2.0 < limit {
            self.limit = None;
            return;
        }
        let most = self.settings.widen_step * limit + self.settings.widen_by / limit;
        self.limit = Some(limit + most * (room * STEP_SLOPE).min(1.0));
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
const fn to_float(span_ms: u64) -> f64 {
    span_ms as f64
}
