use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{AttemptId, VmName};

use crate::{RequestFingerprint, SuspectNews, SuspectSettings};

/// What is known of a request that ran in a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectEntry {
    /// The crashed runs.
    pub crashes: BTreeSet<AttemptId>,
    /// The VM that may run it alone: the least of those assigned.
    pub runner: VmName,
    /// Whether it ran alone in one of the crashes.
    pub was_alone: bool,
    /// When the last crash became known.
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
    /// Returns what is known of a request.
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

    /// Takes news, in any order and any number of times.
    pub fn take(&mut self, now: ClockTime, settings: &SuspectSettings, news: &SuspectNews) {
        match news {
            SuspectNews::Crashed {
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
                self.bound(settings);
            }
            SuspectNews::Cleared {
                fingerprint,
                attempt,
            } => self.clear(*fingerprint, *attempt),
        }
    }

    /// Drops what has expired.
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

    /// Returns all that is known, for a peer that has just connected.
    #[must_use]
    pub fn news(&self, now: ClockTime) -> Vec<SuspectNews> {
        let news_of = |(fingerprint, entry): (&RequestFingerprint, &SuspectEntry)| {
            let news = |attempt: &AttemptId| SuspectNews::Crashed {
                fingerprint: *fingerprint,
                attempt: *attempt,
                runner: entry.runner.clone(),
                was_alone: entry.was_alone,
                age_ms: now.since_ms(entry.last_crash),
            };
            entry.crashes.iter().map(news).collect::<Vec<_>>()
        };
        self.entries.iter().flat_map(news_of).collect()
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

    /// Drops the suspect with the oldest crash when there are too many, quarantined ones last.
    fn bound(&mut self, settings: &SuspectSettings) {
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
