use clock::ClockTime;

use crate::vm_health::VmHealth;
use crate::{LoadSample, RouteSettings, RouteTarget};

/// The weight of one answer in the mean latency.
const LATENCY_GAIN: f64 = 0.05;
/// The greatest load that a report can claim, as a part of capacity.
const MAX_LOAD: f64 = 4.0;
/// The load assumed of a VM of which nothing was heard lately.
const UNKNOWN_LOAD: f64 = 0.5;
/// Bounds on how far a VM's latency against the others' changes its score.
const LATENCY_BOUNDS: (f64, f64) = (0.5, 8.0);
/// How much less attractive a VM is that must stay open though it fails.
const LAST_RESORT_FACTOR: f64 = 1e6;

/// What a caller knows about one VM.
#[derive(Clone, Debug)]
pub(crate) struct VmState {
    pub(crate) target: RouteTarget,
    pub(crate) is_leaving: bool,
    pub(crate) health: VmHealth,
    pub(crate) in_flight: u32,
    latency_ms: Option<f64>,
    sample: Option<(ClockTime, LoadSample)>,
}

impl VmState {
    pub(crate) const fn new(target: RouteTarget) -> Self {
        Self {
            target,
            is_leaving: false,
            health: VmHealth::new(),
            in_flight: 0,
            latency_ms: None,
            sample: None,
        }
    }

    pub(crate) const fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    pub(crate) const fn note_sample(&mut self, now: ClockTime, sample: LoadSample) {
        self.sample = Some((now, sample));
    }

    pub(crate) fn note_latency(&mut self, latency_ms: u64) {
        let latency = to_float(latency_ms).max(0.5);
        let mean = self.latency_ms.get_or_insert(latency);
        *mean += LATENCY_GAIN * (latency - *mean);
    }

    /// Returns the reported load as a part of capacity; the older the report, the nearer to what
    /// is assumed without one.
    pub(crate) fn load(&self, now: ClockTime, settings: &RouteSettings) -> f64 {
        let Some((heard, sample)) = self.sample.filter(|_| settings.uses_reports) else {
            return UNKNOWN_LOAD;
        };
        let age = now.since_ms(heard).min(settings.report_age_ms);
        let trust = 1.0 - to_float(age) / to_float(settings.report_age_ms.max(1));
        let busy = f64::from(sample.in_flight) + f64::from(sample.queued);
        let load = (busy / f64::from(sample.limit.max(1))).clamp(UNKNOWN_LOAD, MAX_LOAD);
        UNKNOWN_LOAD + trust * (load - UNKNOWN_LOAD)
    }

    /// Returns how unattractive the VM is, given the service's usual latency.
    pub(crate) fn score(&self, now: ClockTime, settings: &RouteSettings, usual_ms: f64) -> f64 {
        let own = f64::from(self.in_flight) + 1.0;
        let slowness = self.slowness(usual_ms);
        let score = own * (0.5 + self.load(now, settings)) * slowness;
        if self.health.is_last_resort() {
            return score * LAST_RESORT_FACTOR;
        }
        score
    }

    /// Returns the VM's latency against the service's usual one, within bounds.
    pub(crate) fn slowness(&self, usual_ms: f64) -> f64 {
        let (low, high) = LATENCY_BOUNDS;
        let latency = self.latency_ms.unwrap_or(usual_ms);
        (latency / usual_ms.max(0.5)).clamp(low, high)
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
const fn to_float(span_ms: u64) -> f64 {
    span_ms as f64
}
