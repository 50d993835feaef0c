use std::collections::BTreeMap;

/// A fake of a backend server: slots that share its speed once more requests run than it has.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    slots: f64,
    speed: f64,
    thrash: f64,
    held: u32,
    progress_ms: f64,
    changed_us: u64,
    phases: BTreeMap<(u64, usize), f64>,
    ends: BTreeMap<usize, u64>,
    pub(crate) generation: u64,
}

impl Backend {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots),
            speed: 1.0,
            thrash: 0.0,
            held: 0,
            progress_ms: 0.0,
            changed_us: 0,
            phases: BTreeMap::new(),
            ends: BTreeMap::new(),
            generation: 0,
        }
    }

    pub(crate) const fn held(&self) -> u32 {
        self.held
    }

    /// Sets the power of occupancy by which throughput falls beyond the slots.
    pub(crate) fn set_thrash(&mut self, now_us: u64, thrash: f64) {
        self.catch_up(now_us);
        self.thrash = thrash;
    }

    /// Sets the slots that the backend server really has.
    pub(crate) fn set_slots(&mut self, now_us: u64, slots: f64) {
        self.catch_up(now_us);
        self.slots = slots;
    }

    pub(crate) fn set_speed(&mut self, now_us: u64, speed: f64) {
        self.catch_up(now_us);
        self.speed = speed;
    }

    /// Takes a slot for a request.
    pub(crate) fn hold(&mut self, now_us: u64) {
        self.catch_up(now_us);
        self.held += 1;
    }

    /// Gives a slot back.
    pub(crate) fn release(&mut self, now_us: u64) {
        self.catch_up(now_us);
        self.held = self.held.saturating_sub(1);
    }

    /// Starts own work of a request that holds a slot.
    pub(crate) fn begin(&mut self, now_us: u64, call: usize, work_ms: f64) {
        self.catch_up(now_us);
        let end = (self.progress_ms + work_ms).to_bits();
        self.phases.insert((end, call), self.progress_ms);
        self.ends.insert(call, end);
    }

    /// Stops own work of a request and returns what was done of it, in milliseconds.
    pub(crate) fn stop(&mut self, now_us: u64, call: usize) -> f64 {
        self.catch_up(now_us);
        let Some(end) = self.ends.remove(&call) else {
            return 0.0;
        };
        let started = self.phases.remove(&(end, call)).unwrap_or(self.progress_ms);
        self.progress_ms - started
    }

    /// Returns the request whose own work has ended by now.
    pub(crate) fn pop_ended(&mut self, now_us: u64) -> Option<(usize, f64)> {
        self.catch_up(now_us);
        let (&(end, call), &started) = self.phases.first_key_value()?;
        let end_ms = f64::from_bits(end);
        if end_ms > self.progress_ms + 0.000_5 {
            return None;
        }
        self.phases.remove(&(end, call));
        self.ends.remove(&call);
        Some((call, end_ms - started))
    }

    /// Returns the time until the next end of own work, in microseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "spans are small and never negative"
    )]
    pub(crate) fn next_end_us(&self) -> Option<u64> {
        let (&(end, _), _) = self.phases.first_key_value()?;
        let left = (f64::from_bits(end) - self.progress_ms).max(0.0);
        Some((left / self.rate() * 1_000.0).ceil() as u64)
    }

    fn rate(&self) -> f64 {
        let part = (self.slots / f64::from(self.held.max(1))).min(1.0);
        self.speed * part.powf(1.0 + self.thrash)
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are small")]
    fn catch_up(&mut self, now_us: u64) {
        let span = now_us.saturating_sub(self.changed_us) as f64 / 1_000.0;
        self.progress_ms += span * self.rate();
        self.changed_us = now_us;
    }
}
