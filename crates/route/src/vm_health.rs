use clock::ClockTime;

use crate::{RouteOutcome, RouteSettings};

/// The consecutive failures of one VM, and its ejection.
#[derive(Clone, Debug)]
pub(crate) struct VmHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<ClockTime>,
    /// Whether the VM stays available as a last resort while ejected, because too many VMs of its
    /// service are ejected already.
    is_last_resort: bool,
}

impl VmHealth {
    pub(crate) const fn new() -> Self {
        Self {
            failures: 0,
            ejections: 0,
            ejected_until: None,
            is_last_resort: false,
        }
    }

    /// Records an outcome and returns whether the VM is to be ejected.
    pub(crate) fn record(&mut self, outcome: RouteOutcome, settings: &RouteSettings) -> bool {
        match outcome {
            RouteOutcome::Succeeded { .. } | RouteOutcome::Refused | RouteOutcome::Limited => {
                self.failures = 0;
                if self.ejected_until.is_none() {
                    self.ejections = 0;
                }
            }
            RouteOutcome::Failed => self.failures += 1,
            RouteOutcome::Abandoned => {}
        }
        self.ejected_until.is_none() && self.failures >= settings.eject_failures
    }

    /// Ejects the VM for a while, or makes it a last resort for that time.
    pub(crate) fn eject(&mut self, now: ClockTime, is_last_resort: bool, settings: &RouteSettings) {
        self.is_last_resort = is_last_resort;
        let factor = 1_u64 << self.ejections.min(16);
        let span = (settings.base_eject_ms * factor).min(settings.max_eject_ms);
        self.ejected_until = Some(now.plus_ms(span));
        self.ejections += 1;
        self.failures = settings.eject_failures.saturating_sub(1);
    }

    pub(crate) fn readmit(&mut self, now: ClockTime) {
        if self.ejected_until.is_some_and(|until| until <= now) {
            self.ejected_until = None;
        }
    }

    pub(crate) const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some() && !self.is_last_resort
    }

    pub(crate) const fn is_last_resort(&self) -> bool {
        self.ejected_until.is_some() && self.is_last_resort
    }
}
