use clock::ClockTime;

/// The time constant of the average, in milliseconds.
const MEAN_MS: f64 = 5_000.0;

/// The rate of one kind of event, as an exponential moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventRate {
    per_ms: f64,
    counted_at: ClockTime,
}

impl EventRate {
    /// Counts an event.
    pub(crate) fn count(&mut self, now: ClockTime) {
        self.per_ms = self.per_ms(now) + 1.0 / MEAN_MS;
        self.counted_at = now;
    }

    /// Returns the number of events per millisecond.
    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
    pub(crate) fn per_ms(&self, now: ClockTime) -> f64 {
        let idle_ms = now.since_ms(self.counted_at) as f64;
        self.per_ms * (-idle_ms / MEAN_MS).exp()
    }
}
