use std::collections::BTreeSet;

use clock::ClockTime;
use contract::FleetContract;
use model::{RefusalReason, ServiceName, ShedOrder, TeamName};

use crate::retry_slots::RetrySlots;
use crate::{
    AdmissionSettings, CallTarget, ChainRefusal, DownstreamCalls, MinCallTime, RefusedRequest,
    ServiceThresholds, ThresholdReport,
};

/// Admits a request only if all services of the call chain below it are expected to accept it.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_graph::{AdmissionSettings, CallTarget, ChainAdmission, ThresholdReport};
/// use model::{CallImportance, ShedThresholds, ShedOrder};
///
/// let mut admission = ChainAdmission::new(AdmissionSettings::default());
/// let look_up = CallTarget::new("registry", "look-up");
/// let thresholds = ShedThresholds {
///     threshold: ShedOrder::from_parts(CallImportance::High.into(), 0),
///     ..ShedThresholds::default()
/// };
/// let report = |vm: &str| ThresholdReport {
///     service: "archive".into(),
///     vm: vm.into(),
///     thresholds: thresholds.clone(),
///     age_ms: 0,
/// };
/// let now = ClockTime::from_ms(1_000);
/// admission.observe_thresholds(now, &look_up, [report("vm-1"), report("vm-2")]);
///
/// let order = ShedOrder::from_parts(CallImportance::Normal.into(), 9);
/// let refusal = admission.admit(now, &look_up, order, None, 800).unwrap_err();
/// assert_eq!(refusal.service.as_str(), "archive");
/// ```
#[derive(Clone, Debug)]
pub struct ChainAdmission {
    settings: AdmissionSettings,
    thresholds: ServiceThresholds,
    times: MinCallTime,
    downstream: DownstreamCalls,
    retries: RetrySlots,
}

impl ChainAdmission {
    /// Creates an admission without observations, which admits everything.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            thresholds: ServiceThresholds::default(),
            times: MinCallTime::new(settings),
            downstream: DownstreamCalls::new(settings),
            retries: RetrySlots::new(settings),
        }
    }

    /// Checks a request against the shed thresholds that apply to its team and against the minimum
    /// time of its call.
    ///
    /// # Errors
    ///
    /// Returns a [`ChainRefusal`] when a service of the chain would shed the request, or when the
    /// time left is shorter than the minimum time of the call.
    pub fn admit(
        &self,
        now: ClockTime,
        target: &CallTarget,
        order: ShedOrder,
        team: Option<&TeamName>,
        deadline_left_ms: u64,
    ) -> Result<(), ChainRefusal> {
        let shedding_service =
            self.thresholds
                .shedding_service(now, target, order, team, &self.settings);
        if let Some(service) = shedding_service {
            return Err(self.refusal(RefusalReason::Overloaded, service));
        }
        if deadline_left_ms < self.times.min_time_ms(now, target) {
            return Err(self.refusal(RefusalReason::TooLate, &target.service));
        }
        Ok(())
    }

    /// Records the reports that came with an answer: the thresholds of the VM that gave it, and
    /// those of the services below.
    pub fn observe_thresholds(
        &mut self,
        now: ClockTime,
        target: &CallTarget,
        reports: impl IntoIterator<Item = ThresholdReport>,
    ) {
        for report in reports {
            self.thresholds.observe(now, target, report);
        }
        self.thresholds.remove_expired(now, &self.settings);
    }

    /// Returns the reports to send with an answer of the node's own service: those of the shedding
    /// services that `target` requires.
    #[must_use]
    pub fn threshold_reports(&self, now: ClockTime, target: &CallTarget) -> Vec<ThresholdReport> {
        let required: BTreeSet<ServiceName> = self
            .downstream
            .required(target)
            .flat_map(|lower| self.thresholds.services_below(lower))
            .cloned()
            .collect();
        self.thresholds.reports(now, &required, &self.settings)
    }

    /// Returns the minimum time of a call, in milliseconds.
    #[must_use]
    pub fn min_time_ms(&self, now: ClockTime, target: &CallTarget) -> u64 {
        self.times.min_time_ms(now, target)
    }

    /// Records the duration of an answered call.
    pub fn observe_duration(&mut self, now: ClockTime, target: &CallTarget, duration_ms: u64) {
        self.times.observe(now, target, duration_ms);
    }

    /// Records a call that was abandoned after `elapsed_ms` without an answer.
    pub fn observe_unfinished(&mut self, now: ClockTime, target: &CallTarget, elapsed_ms: u64) {
        self.times.observe_unfinished(now, target, elapsed_ms);
    }

    /// Records a request that entered at this node and was served.
    pub fn observe_served(
        &mut self,
        now: ClockTime,
        target: &CallTarget,
        team: Option<&TeamName>,
        run_ms: u64,
    ) {
        self.retries.observe_served(now, target, team, run_ms);
    }

    /// Returns the delay after which a refused caller should retry, in milliseconds. Each caller
    /// gets a delay of its own.
    pub fn retry_after_ms(&mut self, now: ClockTime, refused: RefusedRequest<'_>) -> u64 {
        let thresholds = &self.thresholds;
        self.retries.assign(now, refused, |target| {
            let mut below = thresholds.services_below(target);
            target.service == *refused.service || below.any(|below| below == refused.service)
        })
    }

    /// Returns whether two calls are known to use a common service.
    #[must_use]
    pub fn share_service(&self, one: &CallTarget, other: &CallTarget) -> bool {
        let thresholds = &self.thresholds;
        let uses_service = |service: &ServiceName| {
            *service == other.service
                || thresholds
                    .services_below(other)
                    .any(|below| below == service)
        };
        uses_service(&one.service) || thresholds.services_below(one).any(uses_service)
    }

    /// Records the downstream calls that one complete run of a call of the node's own service made.
    pub fn observe_downstream_calls(&mut self, target: &CallTarget, used: &BTreeSet<CallTarget>) {
        self.downstream.observe(target, used);
    }

    /// Removes the calls that a new contract no longer contains.
    pub fn retain_contract_calls(&mut self, contract: &FleetContract) {
        let is_retained = |target: &CallTarget| contract.has_call(&target.service, &target.call);
        self.thresholds.retain(is_retained);
        self.times.retain(is_retained);
        self.downstream.retain(is_retained);
        self.retries.retain(is_retained);
    }

    fn refusal(&self, reason: RefusalReason, service: &ServiceName) -> ChainRefusal {
        ChainRefusal {
            reason,
            service: service.clone(),
            retry_after_ms: self.settings.min_retry_after_ms,
        }
    }
}
