use std::collections::BTreeMap;

use clock::ClockTime;
use model::{ShedOrder, VmName};

use crate::heard_report::HeardReport;
use crate::{AdmissionSettings, CallTarget, ShedReport};

/// The number of VMs whose last reports are kept for each kind of call.
const REPORTS_KEPT: usize = 2;

/// The thresholds last reported for each kind of call, with their age.
///
/// Of the last reports of two VMs the lower threshold counts, so that one VM that is slow doesn't
/// stand for its service. After a pause the first report is only believed when a second VM
/// agrees, or when no second VM answers for as long as a threshold lasts.
#[derive(Clone, Debug)]
pub struct ChainThresholds {
    settings: AdmissionSettings,
    reports: BTreeMap<CallTarget, Vec<HeardReport>>,
}

impl ChainThresholds {
    /// Creates thresholds that shed nothing.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            reports: BTreeMap::new(),
        }
    }

    /// Takes in the report that came with an answer of `vm`, `None` when nothing is shed.
    pub fn observe(
        &mut self,
        now: ClockTime,
        target: &CallTarget,
        vm: &VmName,
        report: Option<ShedReport>,
    ) {
        if !self.reports.contains_key(target) {
            self.reports.insert(target.clone(), Vec::new());
        }
        let Some(reports) = self.reports.get_mut(target) else {
            return;
        };
        reports.retain(|heard| heard.counts_until > now);
        if reports.is_empty() {
            reports.push(assumed_calm(now, &self.settings));
        }
        reports.retain(|heard| heard.vm.as_ref() != Some(vm));
        reports.push(HeardReport {
            vm: Some(vm.clone()),
            report,
            heard_at: now,
            counts_until: now.plus_ms(self.settings.report_life_ms),
        });
        let surplus = reports.len().saturating_sub(REPORTS_KEPT);
        reports.drain(..surplus);
    }

    /// Returns what is shed of a kind of call now, or `None` when nothing is.
    #[must_use]
    pub fn report_for(&self, now: ClockTime, target: &CallTarget) -> Option<ShedReport> {
        let heard = self.reports.get(target)?.iter();
        let live = heard.filter(|heard| heard.counts_until > now);
        let reports = live.map(|heard| heard.aged(now));
        let lowest =
            reports.min_by_key(|report| report.as_ref().map(|report| self.left_of(report)));
        lowest?.filter(|report| self.left_of(report) > ShedOrder::FIRST)
    }

    /// Returns the threshold of a kind of call now; requests whose order is less are shed.
    #[must_use]
    pub fn threshold_for(&self, now: ClockTime, target: &CallTarget) -> ShedOrder {
        let report = self.report_for(now, target);
        report.map_or(ShedOrder::FIRST, |report| self.left_of(&report))
    }

    fn left_of(&self, report: &ShedReport) -> ShedOrder {
        report.threshold_left(&self.settings)
    }

    /// Forgets the kinds of call for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&CallTarget) -> bool) {
        self.reports.retain(|target, _| is_kept(target));
    }
}

/// Stands for a second VM until one is heard.
const fn assumed_calm(now: ClockTime, settings: &AdmissionSettings) -> HeardReport {
    HeardReport {
        vm: None,
        report: None,
        heard_at: now,
        counts_until: now.plus_ms(settings.threshold_life_ms()),
    }
}
