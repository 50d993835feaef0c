use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{AttemptId, VmName};

use crate::{RequestFingerprint, SuspectSettings, SuspectUpdate};

/// The state of a request that was running in a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectEntry {
    /// The attempts that ended in a crash.
    pub crashes: BTreeSet<AttemptId>,
    /// The VM that may run it alone: the one with the least name among those assigned.
    pub runner: VmName,
    /// Whether it was running alone in one of the crashes.
    pub was_alone: bool,
    /// When the last crash occurred.
    pub last_crash: ClockTime,
}

impl SuspectEntry {
    /// Returns whether the request is in quarantine.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.crashes.len() >= 2 || self.was_alone
    }
}

/// The requests known as suspect or in quarantine.
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    entries: BTreeMap<RequestFingerprint, SuspectEntry>,
}

impl SuspectList {
    /// Returns the state of a request, if it is listed.
    #[must_use]
    pub fn get(&self, fingerprint: RequestFingerprint) -> Option<&SuspectEntry> {
        self.entries.get(&fingerprint)
    }

    /// Returns the number of requests listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies an update; updates may arrive repeatedly and in any order.
    pub fn apply(&mut self, now: ClockTime, settings: &SuspectSettings, update: &SuspectUpdate) {
        match update {
            SuspectUpdate::Crashed {
                fingerprint,
                attempt,
                runner,
                was_alone,
                age_ms,
            } => {
                let last_crash = now.minus_ms(*age_ms);
                let entry = self.entries.entry(*fingerprint);
                let entry = entry.or_insert_with(|| SuspectEntry {
                    crashes: BTreeSet::new(),
                    runner: runner.clone(),
                    was_alone: false,
                    last_crash,
                });
                entry.crashes.insert(*attempt);
                entry.runner = entry.runner.clone().min(runner.clone());
                entry.was_alone |= was_alone;
                entry.last_crash = entry.last_crash.max(last_crash);
                self.evict_excess(settings);
            }
            SuspectUpdate::Cleared {
                fingerprint,
                attempt,
            } => self.clear(*fingerprint, *attempt),
        }
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: ClockTime, settings: &SuspectSettings) {
        self.entries.retain(|_, entry| {
            let life_ms = if entry.is_quarantined() {
                settings.quarantine_ms
            } else {
                settings.suspect_ms
            };
            now.since_ms(entry.last_crash) < life_ms
        });
    }

    /// Returns updates about all listed requests, for a peer that has just connected.
    #[must_use]
    pub fn updates(&self, now: ClockTime) -> Vec<SuspectUpdate> {
        let all = self.entries.iter();
        all.flat_map(|(fingerprint, entry)| updates_of(now, *fingerprint, entry))
            .collect()
    }

    /// Returns updates about some requests.
    #[must_use]
    pub fn updates_about(
        &self,
        now: ClockTime,
        fingerprints: &BTreeSet<RequestFingerprint>,
    ) -> Vec<SuspectUpdate> {
        let updates_for = |fingerprint: &RequestFingerprint| {
            let entry = self.entries.get(fingerprint)?;
            Some(updates_of(now, *fingerprint, entry))
        };
        fingerprints
            .iter()
            .filter_map(updates_for)
            .flatten()
            .collect()
    }

    fn clear(&mut self, fingerprint: RequestFingerprint, attempt: AttemptId) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        entry.crashes.remove(&attempt);
        if entry.crashes.is_empty() {
            self.entries.remove(&fingerprint);
        }
    }

    /// Evicts the entry with the oldest crash when there are too many, quarantined ones last.
    fn evict_excess(&mut self, settings: &SuspectSettings) {
        if self.entries.len() <= settings.max_suspects {
            return;
        }
        let age = |(_, entry): &(&RequestFingerprint, &SuspectEntry)| {
            (entry.is_quarantined(), entry.last_crash)
        };
        let oldest = self.entries.iter().min_by_key(age).map(|(key, _)| *key);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}

fn updates_of(
    now: ClockTime,
    fingerprint: RequestFingerprint,
    entry: &SuspectEntry,
) -> Vec<SuspectUpdate> {
    let crashed = |attempt: &AttemptId| SuspectUpdate::Crashed {
        fingerprint,
        attempt: *attempt,
        runner: entry.runner.clone(),
        was_alone: entry.was_alone,
        age_ms: now.since_ms(entry.last_crash),
    };
    entry.crashes.iter().map(crashed).collect()
}
