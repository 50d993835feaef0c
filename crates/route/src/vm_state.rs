use clock::ClockTime;

use crate::room_state::RoomState;
use crate::vm_health::VmHealth;
use crate::{LoadSample, RouteSettings, RouteTarget};

/// The weight of one answer in the moving average of latency.
const LATENCY_GAIN: f64 = 0.05;
/// The highest load taken from a report, as a fraction of capacity.
const MAX_LOAD: f64 = 4.0;
/// The load assumed for a VM without a recent report.
const UNKNOWN_LOAD: f64 = 0.5;
/// The bounds of a VM's latency relative to the service's median.
const RELATIVE_LATENCY_BOUNDS: (f64, f64) = (0.5, 8.0);
/// The factor on the score of a VM that is available only as a last resort.
const LAST_RESORT_PENALTY: f64 = 1e6;

/// The measurements and reports that a caller holds for one VM.
#[derive(Clone, Debug)]
pub(crate) struct VmState {
    pub(crate) target: RouteTarget,
    pub(crate) is_leaving: bool,
    pub(crate) health: VmHealth,
    pub(crate) in_flight: u32,
    /// The time until which other VMs are preferred, as the backend server accepts fewer requests.
    pub(crate) limited_until: ClockTime,
    pub(crate) room: RoomState,
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
            limited_until: ClockTime::ZERO,
            room: RoomState::new(),
            latency_ms: None,
            sample: None,
        }
    }

    pub(crate) const fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Returns whether other VMs are preferred because the backend server accepts fewer requests.
    pub(crate) fn is_limited(&self, now: ClockTime) -> bool {
        now < self.limited_until
    }

    pub(crate) const fn record_sample(&mut self, now: ClockTime, sample: LoadSample) {
        self.sample = Some((now, sample));
    }

    pub(crate) fn record_latency(&mut self, latency_ms: u64) {
        let latency = to_float(latency_ms).max(0.5);
        let mean = self.latency_ms.get_or_insert(latency);
        *mean += LATENCY_GAIN * (latency - *mean);
    }

    /// Returns the reported load as a fraction of capacity. The older the report, the closer the
    /// result is to the load assumed without one.
    pub(crate) fn load(&self, now: ClockTime, settings: &RouteSettings) -> f64 {
        let Some((reported_at, sample)) = self.sample.filter(|_| settings.uses_reports) else {
            return UNKNOWN_LOAD;
        };
        let age = now.since_ms(reported_at).min(settings.report_decay_ms);
        let weight = 1.0 - to_float(age) / to_float(settings.report_decay_ms.max(1));
        let busy = f64::from(sample.in_flight) + f64::from(sample.queued);
        let load = (busy / f64::from(sample.limit.max(1))).clamp(UNKNOWN_LOAD, MAX_LOAD);
        UNKNOWN_LOAD + weight * (load - UNKNOWN_LOAD)
    }

    /// Returns the score of the VM, given the service's median latency; lower is better.
    pub(crate) fn score(&self, now: ClockTime, settings: &RouteSettings, median_ms: f64) -> f64 {
        let own = f64::from(self.in_flight) + 1.0;
        let relative_latency = self.relative_latency(median_ms);
        let score = own * (0.5 + self.load(now, settings)) * relative_latency;
        if self.health.is_last_resort() {
            return score * LAST_RESORT_PENALTY;
        }
        score
    }

    /// Returns the VM's latency relative to the service's median, within bounds.
    pub(crate) fn relative_latency(&self, median_ms: f64) -> f64 {
        let (low, high) = RELATIVE_LATENCY_BOUNDS;
        let latency = self.latency_ms.unwrap_or(median_ms);
        (latency / median_ms.max(0.5)).clamp(low, high)
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
const fn to_float(span_ms: u64) -> f64 {
    span_ms as f64
}
