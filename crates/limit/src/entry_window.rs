use clock::ClockTime;

/// The settings of [`EntryWindows`](crate::EntryWindows).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSettings {
    /// The fraction of a request's allowed time that the mean latency may reach, for the class that
    /// is shed first. Without a queue, a chain takes 0.4 of the allowed time on the users'
    /// platform.
    pub lowest_class_fraction: f64,
    /// The same for the class that is shed last; the rest is headroom for the spread of latencies.
    pub highest_class_fraction: f64,
    /// The weight of one latency in the moving average, which so covers about five requests.
    pub mean_gain: f64,
    /// The largest fraction of the window that one latency removes; a second of such latencies
    /// halves it.
    pub shrink_step: f64,
    /// The largest fraction of the window that one latency adds.
    pub widen_step: f64,
    /// The requests that a full window of latencies adds at most besides `widen_step`, so that a
    /// window of a few requests also opens within a few latencies.
    pub widen_by: f64,
    /// The smallest window, as a fraction of the requests in flight when it was closed, so that
    /// slowness not caused by load cannot close it entirely.
    pub min_fraction: f64,
}

impl Default for WindowSettings {
    fn default() -> Self {
        Self {
            lowest_class_fraction: 0.55,
            highest_class_fraction: 0.85,
            mean_gain: 0.2,
            shrink_step: 0.05,
            widen_step: 0.03,
            widen_by: 1.0,
            min_fraction: 0.15,
        }
    }
}

/// The step size per unit of relative deviation of the mean latency.
const STEP_GAIN: f64 = 3.0;
/// The time for which a mean latency above its target keeps lower classes from widening after its
/// last update, in milliseconds: the longest that an ordinary request takes.
const LATE_HOLD_MS: u64 = 1_000;

/// Limits the requests of one kind and class that entered at a node and are not answered yet.
///
/// The window is open (unlimited) until it is shrunk, and opens again once less than half of it is
/// used.
#[derive(Clone, Debug)]
pub(crate) struct EntryWindow {
    settings: WindowSettings,
    /// The fraction of the allowed time that the mean latency may reach.
    latency_fraction: f64,
    in_flight: u32,
    mean_ms: Option<f64>,
    /// The relative excess of the mean latency over its target at the last update.
    excess: f64,
    updated_at: ClockTime,
    /// The requests that may be in flight; `None` while the window is open.
    limit: Option<f64>,
    /// The lowest value of the limit.
    min_limit: f64,
}

impl EntryWindow {
    /// Creates an open window for a class, by its rank in the shedding order: from 0 for the class
    /// that is shed first to 1.
    pub(crate) fn new(settings: WindowSettings, rank: f64) -> Self {
        let span = settings.highest_class_fraction - settings.lowest_class_fraction;
        Self {
            settings,
            latency_fraction: settings.lowest_class_fraction + span * rank.clamp(0.0, 1.0),
            in_flight: 0,
            mean_ms: None,
            excess: 0.0,
            updated_at: ClockTime::ZERO,
            limit: None,
            min_limit: 1.0,
        }
    }

    /// Admits and counts a request, unless the window is full.
    pub(crate) fn enter(&mut self) -> bool {
        let wanted = f64::from(self.in_flight) + 1.0;
        if self.limit.is_some_and(|limit| wanted > limit) {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Removes an answered request from the count.
    pub(crate) const fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the latency of a request that was allowed to take `allowed_ms` milliseconds, and
    /// returns the relative excess of the mean latency over its target (negative when below).
    ///
    /// The mean is capped at the allowed time, so that it falls soon after an overload.
    pub(crate) fn record_latency(
        &mut self,
        now: ClockTime,
        latency_ms: u64,
        allowed_ms: u64,
    ) -> f64 {
        let latency = to_float(latency_ms);
        let mean = self.mean_ms.unwrap_or(latency);
        let mean = mean + self.settings.mean_gain * (latency - mean);
        let mean = mean.min(to_float(allowed_ms));
        self.mean_ms = Some(mean);
        self.excess = mean / (self.latency_fraction * to_float(allowed_ms.max(1))) - 1.0;
        self.updated_at = now;
        self.excess
    }

    /// Returns the requests that may be in flight, or `None` while the window is open.
    pub(crate) const fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Returns whether the mean latency of the class was recently above its target.
    pub(crate) fn is_late(&self, now: ClockTime) -> bool {
        self.excess > 0.0 && now.since_ms(self.updated_at) < LATE_HOLD_MS
    }

    /// Returns whether the window is in use and above its lowest limit.
    pub(crate) fn can_shrink(&self) -> bool {
        match self.limit {
            Some(limit) => limit > self.min_limit,
            None => self.in_flight > 0,
        }
    }

    /// Reduces the limit in proportion to the relative excess of a mean latency, up to the largest
    /// step.
    pub(crate) fn shrink(&mut self, excess: f64) {
        let in_flight = f64::from(self.in_flight);
        let limit = self.limit.unwrap_or_else(|| {
            self.min_limit = (in_flight * self.settings.min_fraction).max(1.0);
            in_flight
        });
        let step = self.settings.shrink_step * (excess * STEP_GAIN).min(1.0);
        self.limit = Some((limit * (1.0 - step)).max(self.min_limit));
    }

    /// Raises the limit in proportion to `slack`, the relative distance of the mean latency below
    /// its target, and opens the window once less than half of it is used.
    pub(crate) fn widen(&mut self, slack: f64) {
        let in_flight = f64::from(self.in_flight);
        let Some(limit) = self.limit else {
            return;
        };
        if in_flight * 2.0 < limit {
            self.limit = None;
            return;
        }
        let max_step = self.settings.widen_step * limit + self.settings.widen_by / limit;
        self.limit = Some(limit + max_step * (slack * STEP_GAIN).min(1.0));
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
const fn to_float(span_ms: u64) -> f64 {
    span_ms as f64
}
