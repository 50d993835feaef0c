use std::collections::BTreeSet;

use clock::ClockTime;
use contract::FleetContract;
use model::{RefusalReason, ShedOrder, VmName};

use crate::{
    AdmissionSettings, CallTarget, CallUses, ChainRefusal, ChainThresholds, ExpectedTime,
    ShedReport,
};

/// Admits a request only when the whole chain of calls below it will take it.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_graph::{AdmissionSettings, CallTarget, ChainAdmission, ShedReport};
/// use model::{CallImportance, ServiceName, ShedOrder, VmName};
///
/// let mut admission = ChainAdmission::new(AdmissionSettings::default());
/// let look_up = CallTarget::new("registry", "look-up");
/// let threshold = ShedOrder::from_parts(CallImportance::High, 0);
/// let report = ShedReport::new(ServiceName::new("archive"), threshold);
/// let now = ClockTime::from_ms(1_000);
/// for vm in ["vm-1", "vm-2"] {
///     admission.observe_report(now, &look_up, &VmName::new(vm), Some(report.clone()));
/// }
///
/// let order = ShedOrder::from_parts(CallImportance::Normal, 9);
/// let refusal = admission.admit(now, &look_up, order, 800).unwrap_err();
/// assert_eq!(refusal.service.as_str(), "archive");
/// ```
#[derive(Clone, Debug)]
pub struct ChainAdmission {
    settings: AdmissionSettings,
    thresholds: ChainThresholds,
    times: ExpectedTime,
    uses: CallUses,
}

impl ChainAdmission {
    /// Creates an admission that knows nothing and admits everything.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            thresholds: ChainThresholds::new(settings),
            times: ExpectedTime::new(settings),
            uses: CallUses::new(settings),
        }
    }

    /// Decides whether a request is sent on its way.
    ///
    /// # Errors
    ///
    /// Returns a [`ChainRefusal`] when a service on the way would shed the request, or when the
    /// time left is shorter than the call needs.
    pub fn admit(
        &self,
        now: ClockTime,
        target: &CallTarget,
        order: ShedOrder,
        deadline_left_ms: u64,
    ) -> Result<(), ChainRefusal> {
        if let Some(report) = self.thresholds.report_for(now, target)
            && order < report.threshold_left(&self.settings)
        {
            return Err(self.overloaded(report));
        }
        if deadline_left_ms < self.times.time_needed_ms(now, target) {
            return Err(ChainRefusal {
                reason: RefusalReason::TooLate,
                service: target.service.clone(),
                retry_after_ms: self.settings.min_retry_after_ms,
            });
        }
        Ok(())
    }

    /// Returns the threshold of a kind of call, the whole chain below it included.
    #[must_use]
    pub fn threshold_for(&self, now: ClockTime, target: &CallTarget) -> ShedOrder {
        self.thresholds.threshold_for(now, target)
    }

    /// Returns the time that a kind of call needs at least, in milliseconds.
    #[must_use]
    pub fn time_needed_ms(&self, now: ClockTime, target: &CallTarget) -> u64 {
        self.times.time_needed_ms(now, target)
    }

    /// Returns the report that goes with an answer of the own service.
    ///
    /// It is the highest of the own threshold and those of the lower calls that `target` needs.
    #[must_use]
    pub fn report_for(
        &self,
        now: ClockTime,
        target: &CallTarget,
        own: ShedOrder,
    ) -> Option<ShedReport> {
        let own = ShedReport::new(target.service.clone(), own);
        let own = (own.threshold > ShedOrder::FIRST).then_some(own);
        let needed = self.uses.needed(target);
        let lower = needed.filter_map(|lower| self.thresholds.report_for(now, lower));
        let reports = lower.chain(own);
        reports.max_by_key(|report| report.threshold_left(&self.settings))
    }

    /// Takes in the report that came with an answer or a refusal of `vm`.
    pub fn observe_report(
        &mut self,
        now: ClockTime,
        target: &CallTarget,
        vm: &VmName,
        report: Option<ShedReport>,
    ) {
        self.thresholds.observe(now, target, vm, report);
    }

    /// Takes in the duration of a call that was answered.
    pub fn observe_duration(&mut self, now: ClockTime, target: &CallTarget, duration_ms: u64) {
        self.times.observe(now, target, duration_ms);
    }

    /// Takes in a call that was given up after `elapsed_ms` without an answer.
    pub fn observe_unfinished(&mut self, now: ClockTime, target: &CallTarget, elapsed_ms: u64) {
        self.times.observe_unfinished(now, target, elapsed_ms);
    }

    /// Takes in the lower calls that one complete run of a call of the own service made.
    pub fn observe_uses(&mut self, target: &CallTarget, used: &BTreeSet<CallTarget>) {
        self.uses.observe(target, used);
    }

    /// Forgets the calls that a new contract no longer has.
    pub fn forget_absent(&mut self, contract: &FleetContract) {
        let is_kept = |target: &CallTarget| {
            let service = contract.services.get(&target.service);
            service.is_some_and(|service| service.calls.contains_key(&target.call))
        };
        self.thresholds.retain(is_kept);
        self.times.retain(is_kept);
        self.uses.retain(is_kept);
    }

    fn overloaded(&self, report: ShedReport) -> ChainRefusal {
        let life_ms = self.settings.threshold_life_ms();
        let left_ms = life_ms.saturating_sub(report.age_ms);
        ChainRefusal {
            reason: RefusalReason::Overloaded,
            service: report.service,
            retry_after_ms: left_ms.max(self.settings.min_retry_after_ms),
        }
    }
}
