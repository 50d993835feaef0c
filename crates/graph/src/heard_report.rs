use clock::ClockTime;
use model::{ShedOrder, VmName};

use crate::{AdmissionSettings, ShedReport};

/// The last report of one VM, or its word that nothing is shed.
#[derive(Clone, Debug)]
pub(crate) struct HeardReport {
    pub(crate) vm: VmName,
    pub(crate) report: Option<ShedReport>,
    pub(crate) heard_at: ClockTime,
}

impl HeardReport {
    /// Returns whether the report still counts.
    pub(crate) fn is_live(&self, now: ClockTime, settings: &AdmissionSettings) -> bool {
        match self.aged(now) {
            Some(report) => report.threshold_left(settings) > ShedOrder::FIRST,
            None => now.since_ms(self.heard_at) < settings.calm_ms,
        }
    }

    /// Returns the report with its age now.
    pub(crate) fn aged(&self, now: ClockTime) -> Option<ShedReport> {
        let report = self.report.clone()?;
        let held_ms = now.since_ms(self.heard_at);
        Some(ShedReport {
            age_ms: report.age_ms.saturating_add(held_ms),
            ..report
        })
    }
}
