use std::collections::{BTreeMap, BTreeSet};

use crate::{AdmissionSettings, CallTarget};

/// A share below which a use is forgotten.
const MIN_KEPT_SHARE: f64 = 0.01;

/// How often each kind of call makes each lower call, learnt from complete runs.
#[derive(Clone, Debug)]
pub struct CallUses {
    settings: AdmissionSettings,
    uses: BTreeMap<CallTarget, RunUses>,
}

/// The lower calls of one kind of call.
#[derive(Clone, Debug, Default)]
struct RunUses {
    runs: u32,
    shares: BTreeMap<CallTarget, f64>,
}

impl CallUses {
    /// Creates an empty record of uses.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            uses: BTreeMap::new(),
        }
    }

    /// Takes in one complete run of a call and the lower calls that it made.
    ///
    /// A run that was refused or cut tells nothing about the calls that it would have made, so
    /// it must not be taken in.
    pub fn observe(&mut self, target: &CallTarget, used: &BTreeSet<CallTarget>) {
        if !self.uses.contains_key(target) {
            self.uses.insert(target.clone(), RunUses::default());
        }
        if let Some(uses) = self.uses.get_mut(target) {
            uses.observe(used, self.settings.use_runs);
        }
    }

    /// Returns the lower calls that a kind of call needs.
    pub fn needed(&self, target: &CallTarget) -> impl Iterator<Item = &CallTarget> {
        let uses = self.uses.get(target);
        let uses = uses.filter(|uses| uses.runs >= self.settings.min_use_runs);
        let shares = uses.into_iter().flat_map(|uses| &uses.shares);
        let needed = shares.filter(|(_, share)| **share >= self.settings.needed_share);
        needed.map(|(lower, _)| lower)
    }

    /// Forgets the kinds of call for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&CallTarget) -> bool) {
        self.uses.retain(|target, _| is_kept(target));
        for uses in self.uses.values_mut() {
            uses.shares.retain(|lower, _| is_kept(lower));
        }
    }
}

impl RunUses {
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
        self.shares.retain(|_, share| *share >= MIN_KEPT_SHARE);
    }
}
