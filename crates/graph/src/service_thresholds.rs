use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{ServiceName, ShedOrder, ShedThresholds, TeamName, VmName};

use crate::{AdmissionSettings, CallTarget, ThresholdReport};

/// The thresholds of one VM, and when they were set by the clock of this node.
#[derive(Clone, Debug)]
struct ReportedThresholds {
    created_at: ClockTime,
    thresholds: ShedThresholds,
    /// When the VM last shed anything.
    shed_at: Option<ClockTime>,
}

/// The thresholds of the VMs of one service.
#[derive(Clone, Debug)]
struct ReportedService {
    /// The time of the first report since the service was last removed.
    first_at: ClockTime,
    vms: BTreeMap<VmName, ReportedThresholds>,
}

/// The shed thresholds of downstream services, by service and VM.
///
/// While only one VM of a service has reported, its thresholds are averaged with those of an
/// assumed second VM that sheds nothing, for up to the lifetime of thresholds, so that one slow VM
/// does not count for its whole service.
///
/// An answer to any call renews the thresholds of every service that it used, for all teams and all
/// calls, so that a call does not lose them while none of its requests is admitted.
#[derive(Clone, Debug, Default)]
pub struct ServiceThresholds {
    reported: BTreeMap<ServiceName, ReportedService>,
    below: BTreeMap<CallTarget, BTreeSet<ServiceName>>,
}

impl ServiceThresholds {
    /// Records one report that came with an answer to a call of `target`.
    pub fn observe(&mut self, now: ClockTime, target: &CallTarget, report: ThresholdReport) {
        if !self.is_below(target, &report.service) {
            let services = self.below.entry(target.clone()).or_default();
            services.insert(report.service.clone());
        }
        let created_at = now.minus_ms(u64::from(report.age_ms));
        let service = self
            .reported
            .entry(report.service)
            .or_insert(ReportedService {
                first_at: now,
                vms: BTreeMap::new(),
            });
        let vms = &mut service.vms;
        let known = vms.get(&report.vm);
        if known.is_some_and(|known| known.created_at > created_at) {
            return;
        }
        let shed_at = if report.thresholds.is_open() {
            known.and_then(|known| known.shed_at)
        } else {
            Some(created_at)
        };
        let reported = ReportedThresholds {
            created_at,
            thresholds: report.thresholds,
            shed_at,
        };
        vms.insert(report.vm, reported);
    }

    /// Returns a downstream service that would shed a new request, if there is one.
    #[must_use]
    pub fn shedding_service(
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
            .find(|service| level < self.mean_threshold_level(now, service, team, settings))
    }

    /// Returns the reports to forward with an answer that used `services`.
    ///
    /// A service that has shed nothing during the lifetime of thresholds is left out.
    #[must_use]
    pub fn reports(
        &self,
        now: ClockTime,
        services: &BTreeSet<ServiceName>,
        settings: &AdmissionSettings,
    ) -> Vec<ThresholdReport> {
        services
            .iter()
            .filter(|service| self.sheds(now, service, settings))
            .flat_map(|service| self.reports_of(now, service, settings))
            .collect()
    }

    /// Returns the services that a call is known to use.
    pub fn services_below(&self, target: &CallTarget) -> impl Iterator<Item = &ServiceName> {
        self.below.get(target).into_iter().flatten()
    }

    /// Removes the calls for which `is_retained` returns false.
    pub fn retain(&mut self, is_retained: impl Fn(&CallTarget) -> bool) {
        self.below.retain(|target, _| is_retained(target));
    }

    /// Removes expired thresholds.
    pub fn remove_expired(&mut self, now: ClockTime, settings: &AdmissionSettings) {
        for service in self.reported.values_mut() {
            let vms = &mut service.vms;
            vms.retain(|_, reported| weight(now, reported, settings) > 0.0);
        }
        self.reported.retain(|_, service| !service.vms.is_empty());
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
    ) -> impl Iterator<Item = (&VmName, &ReportedThresholds, f64)> {
        self.reported
            .get(service)
            .into_iter()
            .flat_map(|service| &service.vms)
            .map(move |(vm, reported)| (vm, reported, weight(now, reported, settings)))
            .filter(|(_, _, weight)| *weight > 0.0)
    }

    fn sheds(&self, now: ClockTime, service: &ServiceName, settings: &AdmissionSettings) -> bool {
        self.live(now, service, settings)
            .filter_map(|(_, reported, _)| reported.shed_at)
            .any(|shed_at| now.since_ms(shed_at) < settings.threshold_lifetime_ms())
    }

    fn reports_of(
        &self,
        now: ClockTime,
        service: &ServiceName,
        settings: &AdmissionSettings,
    ) -> impl Iterator<Item = ThresholdReport> {
        self.live(now, service, settings)
            .map(move |(vm, reported, _)| ThresholdReport {
                service: service.clone(),
                vm: vm.clone(),
                thresholds: reported.thresholds.clone(),
                age_ms: u32::try_from(now.since_ms(reported.created_at)).unwrap_or(u32::MAX),
            })
    }

    /// Returns the mean threshold of a service's VMs for a team, weighted down by age.
    fn mean_threshold_level(
        &self,
        now: ClockTime,
        service: &ServiceName,
        team: Option<&TeamName>,
        settings: &AdmissionSettings,
    ) -> f64 {
        let mut total = 0.0;
        let mut count = 0.0;
        for (_, reported, weight) in self.live(now, service, settings) {
            total += f64::from(reported.thresholds.threshold_of(team).level()) * weight;
            count += 1.0;
        }
        if count == 0.0 {
            return 0.0;
        }
        total / f64::max(count, self.min_vm_count(now, service, settings))
    }

    /// Returns the lowest number of VMs that the mean is taken over.
    fn min_vm_count(
        &self,
        now: ClockTime,
        service: &ServiceName,
        settings: &AdmissionSettings,
    ) -> f64 {
        let first_at = self.reported.get(service).map(|service| service.first_at);
        match first_at {
            Some(first_at) if now.since_ms(first_at) < settings.threshold_lifetime_ms() => 2.0,
            _ => 1.0,
        }
    }
}

/// Returns the weight of thresholds at their age, from 1 down to 0.
#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
fn weight(now: ClockTime, reported: &ReportedThresholds, settings: &AdmissionSettings) -> f64 {
    let age = now.since_ms(reported.created_at);
    let over = age.saturating_sub(settings.threshold_hold_ms) as f64;
    (1.0 - over / settings.threshold_decay_ms.max(1) as f64).max(0.0)
}
