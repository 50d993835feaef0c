use std::collections::BTreeSet;

use clock::ClockTime;
use contract::FleetContract;
use model::{RefusalReason, ServiceName, ShedOrder, TeamName};

use crate::return_slots::ReturnSlots;
use crate::{
    AdmissionSettings, CallTarget, CallUses, ChainRefusal, CutReport, ExpectedTime, RefusedRequest,
    ServiceCuts,
};

/// Admits a request only when the whole chain of calls below it will take it.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_graph::{AdmissionSettings, CallTarget, ChainAdmission, CutReport};
/// use model::{CallImportance, ShedThresholds, ShedOrder};
///
/// let mut admission = ChainAdmission::new(AdmissionSettings::default());
/// let look_up = CallTarget::new("registry", "look-up");
/// let cuts = ShedThresholds {
///     threshold: ShedOrder::from_parts(CallImportance::High.into(), 0),
///     ..ShedThresholds::default()
/// };
/// let report = |vm: &str| CutReport {
///     service: "archive".into(),
///     vm: vm.into(),
///     cuts: cuts.clone(),
///     age_ms: 0,
/// };
/// let now = ClockTime::from_ms(1_000);
/// admission.observe_cuts(now, &look_up, [report("vm-1"), report("vm-2")]);
///
/// let order = ShedOrder::from_parts(CallImportance::Normal.into(), 9);
/// let refusal = admission.admit(now, &look_up, order, None, 800).unwrap_err();
/// assert_eq!(refusal.service.as_str(), "archive");
/// ```
#[derive(Clone, Debug)]
pub struct ChainAdmission {
    settings: AdmissionSettings,
    cuts: ServiceCuts,
    times: ExpectedTime,
    uses: CallUses,
    returns: ReturnSlots,
}

impl ChainAdmission {
    /// Creates an admission that knows nothing and admits everything.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            cuts: ServiceCuts::default(),
            times: ExpectedTime::new(settings),
            uses: CallUses::new(settings),
            returns: ReturnSlots::new(settings),
        }
    }

    /// Decides whether a request is sent on its way, by the cuts that apply to its team.
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
        team: Option<&TeamName>,
        deadline_left_ms: u64,
    ) -> Result<(), ChainRefusal> {
        let refusing = self.cuts.refusing(now, target, order, team, &self.settings);
        if let Some(service) = refusing {
            return Err(self.refusal(RefusalReason::Overloaded, service));
        }
        if deadline_left_ms < self.times.time_needed_ms(now, target) {
            return Err(self.refusal(RefusalReason::TooLate, &target.service));
        }
        Ok(())
    }

    /// Takes in what came with an answer: the cuts of the VM that gave it, and those of services
    /// below.
    pub fn observe_cuts(
        &mut self,
        now: ClockTime,
        target: &CallTarget,
        reports: impl IntoIterator<Item = CutReport>,
    ) {
        for report in reports {
            self.cuts.observe(now, target, report);
        }
        self.cuts.forget_old(now, &self.settings);
    }

    /// Returns the reports that go with an answer of the own service: those of the services below
    /// that `target` needs and that shed.
    #[must_use]
    pub fn cut_reports(&self, now: ClockTime, target: &CallTarget) -> Vec<CutReport> {
        let needed: BTreeSet<ServiceName> = self
            .uses
            .needed(target)
            .flat_map(|lower| self.cuts.services_below(lower))
            .cloned()
            .collect();
        self.cuts.reports(now, &needed, &self.settings)
    }

    /// Returns the time that a kind of call needs at least, in milliseconds.
    #[must_use]
    pub fn time_needed_ms(&self, now: ClockTime, target: &CallTarget) -> u64 {
        self.times.time_needed_ms(now, target)
    }

    /// Takes in the duration of a call that was answered.
    pub fn observe_duration(&mut self, now: ClockTime, target: &CallTarget, duration_ms: u64) {
        self.times.observe(now, target, duration_ms);
    }

    /// Takes in a call that was given up after `elapsed_ms` without an answer.
    pub fn observe_unfinished(&mut self, now: ClockTime, target: &CallTarget, elapsed_ms: u64) {
        self.times.observe_unfinished(now, target, elapsed_ms);
    }

    /// Takes in a whole request that entered here and was served.
    pub fn observe_served(
        &mut self,
        now: ClockTime,
        target: &CallTarget,
        team: Option<&TeamName>,
        run_ms: u64,
    ) {
        self.returns.observe_served(now, target, team, run_ms);
    }

    /// Returns the time after which a refused caller should come back, in milliseconds; it
    /// differs from caller to caller.
    pub fn return_after_ms(&mut self, now: ClockTime, refused: RefusedRequest<'_>) -> u64 {
        let cuts = &self.cuts;
        self.returns.hand_out(now, refused, |target| {
            let mut below = cuts.services_below(target);
            target.service == *refused.service || below.any(|below| below == refused.service)
        })
    }

    /// Returns whether two kinds of call are known to pass a service that is the same.
    #[must_use]
    pub fn share_service(&self, one: &CallTarget, other: &CallTarget) -> bool {
        let cuts = &self.cuts;
        let passes = |service: &ServiceName| {
            *service == other.service || cuts.services_below(other).any(|below| below == service)
        };
        passes(&one.service) || cuts.services_below(one).any(passes)
    }

    /// Takes in the lower calls that one complete run of a call of the own service made.
    pub fn observe_uses(&mut self, target: &CallTarget, used: &BTreeSet<CallTarget>) {
        self.uses.observe(target, used);
    }

    /// Forgets the calls that a new contract no longer has.
    pub fn forget_absent(&mut self, contract: &FleetContract) {
        let is_kept = |target: &CallTarget| contract.has_call(&target.service, &target.call);
        self.cuts.retain(is_kept);
        self.times.retain(is_kept);
        self.uses.retain(is_kept);
        self.returns.retain(is_kept);
    }

    fn refusal(&self, reason: RefusalReason, service: &ServiceName) -> ChainRefusal {
        ChainRefusal {
            reason,
            service: service.clone(),
            retry_after_ms: self.settings.min_retry_after_ms,
        }
    }
}
