use clock::ClockTime;
use model::VmName;

use crate::ShedReport;

/// The last report of one VM, or its word that nothing is shed.
#[derive(Clone, Debug)]
pub(crate) struct HeardReport {
    /// The VM, or `None` for the assumption that an unknown second VM sheds nothing.
    pub(crate) vm: Option<VmName>,
    pub(crate) report: Option<ShedReport>,
    pub(crate) heard_at: ClockTime,
    pub(crate) counts_until: ClockTime,
}

impl HeardReport {
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
