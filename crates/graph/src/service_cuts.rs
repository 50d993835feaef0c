use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{ServiceName, ShedOrder, ShedThresholds, TeamName, VmName};

use crate::{AdmissionSettings, CallTarget, CutReport};

/// The cuts of one VM, and when they were made by the own clock.
#[derive(Clone, Debug)]
struct HeardCuts {
    made_at: ClockTime,
    cuts: ShedThresholds,
    /// When the VM last refused anything.
    shed_at: Option<ClockTime>,
}

/// The cuts of the VMs of one service.
#[derive(Clone, Debug)]
struct HeardService {
    /// The first report since the service was last forgotten.
    first_at: ClockTime,
    vms: BTreeMap<VmName, HeardCuts>,
}

/// What the services below refuse, kept by service and VM.
///
/// The first VM of a service to be heard of is believed only in part until a second one is, or
/// until none was for as long as cuts live, so that one slow VM doesn't stand for its service.
///
/// An answer to any call renews what is known of every service that it passed, for all teams and
/// all kinds of call, so a kind of call of which nothing is let through isn't forgotten.
#[derive(Clone, Debug, Default)]
pub struct ServiceCuts {
    heard: BTreeMap<ServiceName, HeardService>,
    below: BTreeMap<CallTarget, BTreeSet<ServiceName>>,
}

impl ServiceCuts {
    /// Takes in one report that came with an answer to a call of `target`.
    pub fn observe(&mut self, now: ClockTime, target: &CallTarget, report: CutReport) {
        if !self.is_below(target, &report.service) {
            let services = self.below.entry(target.clone()).or_default();
            services.insert(report.service.clone());
        }
        let made_at = now.minus_ms(u64::from(report.age_ms));
        let service = self.heard.entry(report.service).or_insert(HeardService {
            first_at: now,
            vms: BTreeMap::new(),
        });
        let vms = &mut service.vms;
        let known = vms.get(&report.vm);
        if known.is_some_and(|known| known.made_at > made_at) {
            return;
        }
        let shed_at = if report.cuts.is_open() {
            known.and_then(|known| known.shed_at)
        } else {
            Some(made_at)
        };
        let heard = HeardCuts {
            made_at,
            cuts: report.cuts,
            shed_at,
        };
        vms.insert(report.vm, heard);
    }

    /// Returns the service that refuses a new request on its way, if one does.
    #[must_use]
    pub fn refusing(
        &self,
        now: ClockTime,
        target: &CallTarget,
        order: ShedOrder,
        team: Option<&TeamName>,
        settings: &AdmissionSettings,
    ) -> Option<&ServiceName> {
        let level = f64::from(order.level());
        self.below
            .get(target)?
            .iter()
            .find(|service| level < self.mean_level(now, service, team, settings))
    }

    /// Returns the reports that go on with an answer that passed some services.
    ///
    /// A service that has refused nothing for as long as cuts live is left out.
    #[must_use]
    pub fn reports(
        &self,
        now: ClockTime,
        services: &BTreeSet<ServiceName>,
        settings: &AdmissionSettings,
    ) -> Vec<CutReport> {
        services
            .iter()
            .filter(|service| self.sheds(now, service, settings))
            .flat_map(|service| self.reports_of(now, service, settings))
            .collect()
    }

    /// Returns the services that a kind of call is known to pass.
    pub fn services_below(&self, target: &CallTarget) -> impl Iterator<Item = &ServiceName> {
        self.below.get(target).into_iter().flatten()
    }

    /// Forgets the kinds of call for which `is_kept` returns false, and VMs not heard of lately.
    pub fn retain(&mut self, is_kept: impl Fn(&CallTarget) -> bool) {
        self.below.retain(|target, _| is_kept(target));
    }

    /// Forgets what is too old to count.
    pub fn forget_old(&mut self, now: ClockTime, settings: &AdmissionSettings) {
        for service in self.heard.values_mut() {
            let vms = &mut service.vms;
            vms.retain(|_, heard| trust(now, heard, settings) > 0.0);
        }
        self.heard.retain(|_, service| !service.vms.is_empty());
    }

    fn is_below(&self, target: &CallTarget, service: &ServiceName) -> bool {
        self.below
            .get(target)
            .is_some_and(|services| services.contains(service))
    }

    fn live(
        &self,
        now: ClockTime,
        service: &ServiceName,
        settings: &AdmissionSettings,
    ) -> impl Iterator<Item = (&VmName, &HeardCuts, f64)> {
        self.heard
            .get(service)
            .into_iter()
            .flat_map(|service| &service.vms)
            .map(move |(vm, heard)| (vm, heard, trust(now, heard, settings)))
            .filter(|(_, _, trust)| *trust > 0.0)
    }

    fn sheds(&self, now: ClockTime, service: &ServiceName, settings: &AdmissionSettings) -> bool {
        self.live(now, service, settings)
            .filter_map(|(_, heard, _)| heard.shed_at)
            .any(|shed_at| now.since_ms(shed_at) < settings.cut_life_ms())
    }

    fn reports_of(
        &self,
        now: ClockTime,
        service: &ServiceName,
        settings: &AdmissionSettings,
    ) -> impl Iterator<Item = CutReport> {
        self.live(now, service, settings)
            .map(move |(vm, heard, _)| CutReport {
                service: service.clone(),
                vm: vm.clone(),
                cuts: heard.cuts.clone(),
                age_ms: u32::try_from(now.since_ms(heard.made_at)).unwrap_or(u32::MAX),
            })
    }

    /// Returns the mean threshold of a service's VMs for a team, the older the lower.
    fn mean_level(
        &self,
        now: ClockTime,
        service: &ServiceName,
        team: Option<&TeamName>,
        settings: &AdmissionSettings,
    ) -> f64 {
        let mut total = 0.0;
        let mut count = 0.0;
        for (_, heard, trust) in self.live(now, service, settings) {
            total += f64::from(heard.cuts.threshold_of(team).level()) * trust;
            count += 1.0;
        }
        if count == 0.0 {
            return 0.0;
        }
        total / f64::max(count, self.least_count(now, service, settings))
    }

    /// Returns the number of VMs over which a mean is taken at least.
    fn least_count(
        &self,
        now: ClockTime,
        service: &ServiceName,
        settings: &AdmissionSettings,
    ) -> f64 {
        let first_at = self.heard.get(service).map(|service| service.first_at);
        match first_at {
            Some(first_at) if now.since_ms(first_at) < settings.cut_life_ms() => 2.0,
            _ => 1.0,
        }
    }
}

/// Returns how far cuts still count at their age, from 1 down to 0.
#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
fn trust(now: ClockTime, heard: &HeardCuts, settings: &AdmissionSettings) -> f64 {
    let age = now.since_ms(heard.made_at);
    let over = age.saturating_sub(settings.cut_hold_ms) as f64;
    (1.0 - over / settings.cut_relax_ms.max(1) as f64).max(0.0)
}
