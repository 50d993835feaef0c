use std::collections::BTreeMap;

/// A simulated backend server.
///
/// Up to its number of slots, requests run at full speed; beyond it they share the capacity of the
/// slots equally. Each request that computes makes the same progress, so `progress_ms` accumulates
/// that progress in one number, and a request finishes when it reaches the value at its start plus
/// its work.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    slots: f64,
    speed: f64,
    thrash_exponent: f64,
    /// The requests that hold a slot, those waiting for a nested call included.
    occupied: u32,
    progress_ms: f64,
    advanced_to_us: u64,
    /// The progress at the start of each piece of running work, by the bits of the progress at its
    /// end, then by call. The bits of non-negative floats sort as the floats do.
    running_work: BTreeMap<(u64, usize), f64>,
    end_by_call: BTreeMap<usize, u64>,
    /// The number of the latest scheduled end of work; events of earlier ones are ignored.
    pub(crate) generation: u64,
}

impl Backend {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots),
            speed: 1.0,
            thrash_exponent: 0.0,
            occupied: 0,
            progress_ms: 0.0,
            advanced_to_us: 0,
            running_work: BTreeMap::new(),
            end_by_call: BTreeMap::new(),
            generation: 0,
        }
    }

    pub(crate) const fn occupied(&self) -> u32 {
        self.occupied
    }

    /// Sets how steeply total throughput falls once more requests run than there are slots: it is
    /// multiplied by (slots / occupied) to this power.
    pub(crate) fn set_thrash_exponent(&mut self, now_us: u64, thrash_exponent: f64) {
        self.advance_to(now_us);
        self.thrash_exponent = thrash_exponent;
    }

    /// Sets the actual number of slots, which may differ from the announced one.
    pub(crate) fn set_slots(&mut self, now_us: u64, slots: f64) {
        self.advance_to(now_us);
        self.slots = slots;
    }

    pub(crate) fn set_speed(&mut self, now_us: u64, speed: f64) {
        self.advance_to(now_us);
        self.speed = speed;
    }

    pub(crate) fn acquire_slot(&mut self, now_us: u64) {
        self.advance_to(now_us);
        self.occupied += 1;
    }

    pub(crate) fn release_slot(&mut self, now_us: u64) {
        self.advance_to(now_us);
        self.occupied = self.occupied.saturating_sub(1);
    }

    /// Starts a piece of work for a request that holds a slot.
    pub(crate) fn start_work(&mut self, now_us: u64, call: usize, work_ms: f64) {
        self.advance_to(now_us);
        let end = (self.progress_ms + work_ms).to_bits();
        self.running_work.insert((end, call), self.progress_ms);
        self.end_by_call.insert(call, end);
    }

    /// Aborts the work of a request and returns the amount completed, in milliseconds.
    pub(crate) fn stop_work(&mut self, now_us: u64, call: usize) -> f64 {
        self.advance_to(now_us);
        let Some(end) = self.end_by_call.remove(&call) else {
            return 0.0;
        };
        let started = self
            .running_work
            .remove(&(end, call))
            .unwrap_or(self.progress_ms);
        self.progress_ms - started
    }

    /// Removes a request whose work is complete and returns it with the amount of work, in
    /// milliseconds.
    pub(crate) fn pop_finished(&mut self, now_us: u64) -> Option<(usize, f64)> {
        self.advance_to(now_us);
        let (&(end, call), &started) = self.running_work.first_key_value()?;
        let end_ms = f64::from_bits(end);
        if end_ms > self.progress_ms + 0.000_5 {
            return None;
        }
        self.running_work.remove(&(end, call));
        self.end_by_call.remove(&call);
        Some((call, end_ms - started))
    }

    /// Returns the time until the next piece of work is complete, in microseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "durations are small and never negative"
    )]
    pub(crate) fn next_end_us(&self) -> Option<u64> {
        let (&(end, _), _) = self.running_work.first_key_value()?;
        let left = (f64::from_bits(end) - self.progress_ms).max(0.0);
        Some((left / self.progress_rate() * 1_000.0).ceil() as u64)
    }

    fn progress_rate(&self) -> f64 {
        let speed_share = (self.slots / f64::from(self.occupied.max(1))).min(1.0);
        self.speed * speed_share.powf(1.0 + self.thrash_exponent)
    }

    #[expect(clippy::cast_precision_loss, reason = "durations are small")]
    fn advance_to(&mut self, now_us: u64) {
        let elapsed_ms = now_us.saturating_sub(self.advanced_to_us) as f64 / 1_000.0;
        self.progress_ms += elapsed_ms * self.progress_rate();
        self.advanced_to_us = now_us;
    }
}
