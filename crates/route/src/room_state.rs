use std::collections::VecDeque;

use clock::ClockTime;

use crate::{LoadSample, RoomSettings};

/// The most sends that are remembered for one VM.
const MAX_SENDS: usize = 64;
/// The number of runs that count as measured at the mean speed before the first one.
const PRIOR_RUNS: f64 = 4.0;
/// The lowest weight of one run in the moving average of a VM's run times.
const RUN_GAIN: f64 = 0.04;
/// The greatest load taken from figures, as a fraction of the limit.
const MAX_LOAD: f64 = 4.0;
/// The greatest slowness taken from figures, in percent of the usual run time.
const MAX_SLOWNESS: u16 = 400;
/// The slowness of a host at its usual speed, in percent.
const USUAL_SLOWNESS: u16 = 100;
/// The limit assumed for a VM without figures.
const USUAL_LIMIT: u32 = 16;
/// The weight of the load beyond the limit in the cost of a VM.
const QUEUE_WEIGHT: f64 = 12.0;

/// The figures and own measurements by which a VM is chosen for its room.
#[derive(Clone, Debug)]
pub(crate) struct RoomState {
    figures: Option<(ClockTime, LoadSample)>,
    /// The times of the own sends that the figures may not include.
    sends: VecDeque<ClockTime>,
    run_ratio: f64,
    runs: f64,
}

impl RoomState {
    pub(crate) const fn new() -> Self {
        Self {
            figures: None,
            sends: VecDeque::new(),
            run_ratio: 1.0,
            runs: PRIOR_RUNS,
        }
    }

    /// Records a send at `now`.
    pub(crate) fn record_send(&mut self, now: ClockTime) {
        if self.sends.len() == MAX_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Records figures taken at `taken_at`, unless newer ones are known.
    pub(crate) fn record_figures(&mut self, taken_at: ClockTime, sample: LoadSample) -> bool {
        if self.figures.is_some_and(|(known, _)| known >= taken_at) {
            return false;
        }
        self.figures = Some((taken_at, sample));
        while self.sends.front().is_some_and(|sent| *sent < taken_at) {
            self.sends.pop_front();
        }
        true
    }

    /// Records the time of a run, relative to the mean of its kind of call.
    pub(crate) fn record_run(&mut self, ratio: f64) {
        self.runs += 1.0;
        self.run_ratio += RUN_GAIN.max(1.0 / self.runs) * (ratio - self.run_ratio);
    }

    /// Returns the figures and their age in milliseconds, unless they are too old.
    pub(crate) fn fresh(
        &self,
        now: ClockTime,
        settings: &RoomSettings,
    ) -> Option<(u64, LoadSample)> {
        let (taken_at, sample) = self.figures?;
        let age_ms = now.since_ms(taken_at);
        (age_ms < settings.fresh_ms).then_some((age_ms, sample))
    }

    /// Returns the load that one more request would make, as a fraction of the limit. The older the
    /// figures, the closer the result is to the service's mean load.
    pub(crate) fn load(&self, now: ClockTime, settings: &RoomSettings, mean_load: f64) -> f64 {
        let is_recent = |sent: &&ClockTime| now.since_ms(**sent) < settings.fresh_ms;
        let own = to_float(self.sends.iter().rev().take_while(is_recent).count()) + 1.0;
        let Some((age_ms, sample)) = self.fresh(now, settings) else {
            let limit = self
                .figures
                .map_or(USUAL_LIMIT, |(_, sample)| sample.limit.max(1));
            return (mean_load + own / f64::from(limit)).min(MAX_LOAD);
        };
        let weight = freshness(age_ms, settings);
        let limit = f64::from(sample.limit.max(1));
        let load = (load_of(&sample) + own / limit).min(MAX_LOAD);
        weight * load + (1.0 - weight) * (mean_load + own / limit).min(MAX_LOAD)
    }

    /// Returns how long work takes on the VM now, relative to the mean of the service.
    pub(crate) fn run_factor(&self, now: ClockTime, settings: &RoomSettings) -> f64 {
        let Some((age_ms, sample)) = self.fresh(now, settings) else {
            return self.run_ratio;
        };
        let extra = slow_factor(sample.slowness) - 1.0;
        self.run_ratio * (1.0 + freshness(age_ms, settings) * extra)
    }

    /// Returns the cost of sending one more request to the VM; lower is better.
    pub(crate) fn cost(&self, now: ClockTime, settings: &RoomSettings, mean_load: f64) -> f64 {
        let load = self.load(now, settings, mean_load);
        let queue = QUEUE_WEIGHT * (load - 1.0).max(0.0);
        self.run_factor(now, settings) * (1.0 + settings.load_weight * load * load + queue)
    }
}

/// Returns a load as a fraction of the limit, within bounds.
pub(crate) fn load_of(sample: &LoadSample) -> f64 {
    let busy = f64::from(sample.in_flight) + f64::from(sample.queued);
    (busy / f64::from(sample.limit.max(1))).min(MAX_LOAD)
}

/// Returns the factor by which work takes longer on a host. A host that claims to be faster than
/// usual counts as usual, so that a false figure attracts no load.
fn slow_factor(slowness: u16) -> f64 {
    f64::from(slowness.clamp(USUAL_SLOWNESS, MAX_SLOWNESS)) / f64::from(USUAL_SLOWNESS)
}

#[expect(clippy::cast_precision_loss, reason = "ages are far below 2^52 ms")]
fn freshness(age_ms: u64, settings: &RoomSettings) -> f64 {
    1.0 - age_ms as f64 / settings.fresh_ms.max(1) as f64
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
const fn to_float(count: usize) -> f64 {
    count as f64
}
