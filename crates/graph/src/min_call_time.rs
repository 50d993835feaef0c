use std::collections::BTreeMap;

use clock::ClockTime;

use crate::duration_cast::{to_f64, to_ms};
use crate::{AdmissionSettings, CallTarget};

/// The minimum time of each call, learned from observed durations.
///
/// The estimate follows a low quantile, so that a request is refused as too late only if almost no
/// recent call was fast enough. Without new durations it decays, so that calls are tried again.
#[derive(Clone, Debug)]
pub struct MinCallTime {
    settings: AdmissionSettings,
    estimates: BTreeMap<CallTarget, TimeEstimate>,
}

#[derive(Clone, Copy, Debug)]
struct TimeEstimate {
    time_ms: f64,
    durations: u32,
    observed_at: ClockTime,
}

impl MinCallTime {
    /// Creates an estimator whose minimum times are all zero.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            estimates: BTreeMap::new(),
        }
    }

    /// Records the duration of an answered call.
    pub fn observe(&mut self, now: ClockTime, target: &CallTarget, duration_ms: u64) {
        let duration_ms = to_f64(duration_ms);
        let Some(estimate) = self.estimates.get_mut(target) else {
            self.insert(now, target, duration_ms);
            return;
        };
        let idle_factor = idle_factor(now, estimate.observed_at, &self.settings);
        let time_ms = estimate.time_ms * idle_factor;
        let moved_ms = step_towards_quantile_ms(time_ms, duration_ms, &self.settings);
        estimate.time_ms = moved_ms;
        estimate.durations = estimate.durations.saturating_add(1);
        estimate.observed_at = now;
    }

    /// Records a call that was abandoned after `elapsed_ms` without an answer.
    ///
    /// It counts only if it already took longer than the minimum time.
    pub fn observe_unfinished(&mut self, now: ClockTime, target: &CallTarget, elapsed_ms: u64) {
        if elapsed_ms >= self.min_time_ms(now, target) {
            self.observe(now, target, elapsed_ms);
        }
    }

    /// Returns the minimum time of a call in milliseconds, or 0 while it is unknown.
    #[must_use]
    pub fn min_time_ms(&self, now: ClockTime, target: &CallTarget) -> u64 {
        let estimate = self.estimates.get(target);
        let trusted = estimate.filter(|known| known.durations >= self.settings.min_durations);
        trusted.map_or(0, |known| {
            let factor = idle_factor(now, known.observed_at, &self.settings);
            to_ms(known.time_ms * factor)
        })
    }

    /// Removes the calls for which `is_retained` returns false.
    pub fn retain(&mut self, is_retained: impl Fn(&CallTarget) -> bool) {
        self.estimates.retain(|target, _| is_retained(target));
    }

    fn insert(&mut self, now: ClockTime, target: &CallTarget, duration_ms: f64) {
        let estimate = TimeEstimate {
            time_ms: duration_ms,
            durations: 1,
            observed_at: now,
        };
        self.estimates.insert(target.clone(), estimate);
    }
}

/// Moves an estimate one step towards the quantile.
fn step_towards_quantile_ms(time_ms: f64, duration_ms: f64, settings: &AdmissionSettings) -> f64 {
    const MIN_STEP_MS: f64 = 0.1;
    let gain_ms = (time_ms * settings.time_gain).max(MIN_STEP_MS);
    if duration_ms > time_ms {
        let raised_ms = time_ms + gain_ms * settings.time_quantile;
        return raised_ms.min(duration_ms);
    }
    let lowered_ms = time_ms - gain_ms * (1.0 - settings.time_quantile);
    lowered_ms.max(duration_ms)
}

/// Returns the factor by which an estimate has decayed without new durations, from 0 to 1.
fn idle_factor(now: ClockTime, observed_at: ClockTime, settings: &AdmissionSettings) -> f64 {
    let idle_ms = now
        .since_ms(observed_at)
        .saturating_sub(settings.time_hold_ms);
    let half_lives = to_f64(idle_ms) / to_f64(settings.time_half_life_ms.max(1));
    (-half_lives).exp2()
}
