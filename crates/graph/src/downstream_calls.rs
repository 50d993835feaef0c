use std::collections::{BTreeMap, BTreeSet};

use crate::{AdmissionSettings, CallTarget};

/// Downstream calls made in a smaller share of runs are removed.
const MIN_USAGE_SHARE: f64 = 0.01;

/// How often each call makes each downstream call, learned from complete runs.
#[derive(Clone, Debug)]
pub struct DownstreamCalls {
    settings: AdmissionSettings,
    uses: BTreeMap<CallTarget, CallUsage>,
}

/// The downstream calls of one call.
#[derive(Clone, Debug, Default)]
struct CallUsage {
    runs: u32,
    shares: BTreeMap<CallTarget, f64>,
}

impl DownstreamCalls {
    /// Creates an empty record.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            uses: BTreeMap::new(),
        }
    }

    /// Records one complete run of a call and the downstream calls that it made.
    ///
    /// A run that was refused or interrupted must not be recorded, as it may not have made all of
    /// its downstream calls.
    pub fn observe(&mut self, target: &CallTarget, used: &BTreeSet<CallTarget>) {
        if !self.uses.contains_key(target) {
            self.uses.insert(target.clone(), CallUsage::default());
        }
        if let Some(uses) = self.uses.get_mut(target) {
            uses.observe(used, self.settings.usage_runs);
        }
    }

    /// Returns the downstream calls that a call requires.
    pub fn required(&self, target: &CallTarget) -> impl Iterator<Item = &CallTarget> {
        let uses = self.uses.get(target);
        let uses = uses.filter(|uses| uses.runs >= self.settings.min_usage_runs);
        let shares = uses.into_iter().flat_map(|uses| &uses.shares);
        let required = shares.filter(|(_, share)| **share >= self.settings.required_share);
        required.map(|(lower, _)| lower)
    }

    /// Removes the calls for which `is_retained` returns false.
    pub fn retain(&mut self, is_retained: impl Fn(&CallTarget) -> bool) {
        self.uses.retain(|target, _| is_retained(target));
        for uses in self.uses.values_mut() {
            uses.shares.retain(|lower, _| is_retained(lower));
        }
    }
}

impl CallUsage {
    fn observe(&mut self, used: &BTreeSet<CallTarget>, max_runs: u32) {
        self.runs = self.runs.saturating_add(1).min(max_runs.max(1));
        let weight = 1.0 / f64::from(self.runs);
        for lower in used {
            if !self.shares.contains_key(lower) {
                self.shares.insert(lower.clone(), 0.0);
            }
        }
        for (lower, share) in &mut self.shares {
            let use_now = if used.contains(lower) { 1.0 } else { 0.0 };
            *share += (use_now - *share) * weight;
        }
        self.shares.retain(|_, share| *share >= MIN_USAGE_SHARE);
    }
}
