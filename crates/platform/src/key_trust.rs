use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::CentreName;

use crate::{CentreOutage, NewsTime};

/// For how long keys are trusted without news.
#[derive(Clone, Copy, Debug)]
pub struct TrustSettings {
    /// The age of news up to which keys are trusted, in milliseconds.
    pub fresh_ms: u64,
    /// The age of news up to which keys are trusted while no data centre can read the log, in
    /// milliseconds; 0 for no longer than `fresh_ms`.
    pub outage_ms: u64,
    /// The age up to which a failure to read counts as a present outage, in milliseconds.
    pub evidence_ms: u64,
    /// The time after which a read without an answer counts as a failure, in milliseconds.
    pub slow_ms: u64,
}

impl Default for TrustSettings {
    fn default() -> Self {
        Self {
            fresh_ms: 4_500,
            outage_ms: 3_600_000,
            evidence_ms: 5_000,
            slow_ms: 1_500,
        }
    }
}

/// Whether a node may admit callers by the keys it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrustState {
    /// The news is fresh, so a key withdrawn more than `fresh_ms` ago is known to be.
    Fresh,
    /// No data centre can read the log, so no withdrawal can have been confirmed by it.
    Outage,
    /// The node may have missed a withdrawal.
    Stale,
}

impl TrustState {
    /// Returns whether keys are trusted.
    #[must_use]
    pub const fn is_trusted(self) -> bool {
        !matches!(self, Self::Stale)
    }
}

/// Decides whether keys are trusted, from the age of the news and from who can't read the log.
///
/// A node that alone is cut off knows it by the age of its news and refuses. When nodes of
/// *every* data centre tell of a failure to read the log, nobody can have confirmed a withdrawal
/// on it, and keys are trusted up to a longer bound.
#[derive(Clone, Debug)]
pub struct KeyTrust {
    settings: TrustSettings,
    own: CentreName,
    centres: BTreeSet<CentreName>,
    has_peers: bool,
    failures: BTreeMap<CentreName, ClockTime>,
    own_failure: Option<ClockTime>,
    reading_since: Option<ClockTime>,
    good_asked: ClockTime,
}

impl KeyTrust {
    /// Creates the trust of a node that knows no other.
    #[must_use]
    pub fn new(own: CentreName, settings: TrustSettings) -> Self {
        Self {
            settings,
            centres: BTreeSet::from([own.clone()]),
            own,
            has_peers: false,
            failures: BTreeMap::new(),
            own_failure: None,
            reading_since: None,
            good_asked: ClockTime::ZERO,
        }
    }

    /// Sets the data centres that have members, and whether there are members besides this node.
    pub fn set_members(&mut self, centres: BTreeSet<CentreName>, has_peers: bool) {
        self.centres = centres;
        self.centres.insert(self.own.clone());
        self.has_peers = has_peers;
    }

    /// Takes in that this node asks the log; several reads may be under way at once.
    pub fn on_read_start(&mut self, now: ClockTime) {
        self.reading_since.get_or_insert(now);
    }

    /// Takes in that a read asked for at `asked` ended.
    ///
    /// A good answer that took long counts as a failure, and a failure counts for nothing when a
    /// later read had a good answer.
    pub fn on_read_end(&mut self, now: ClockTime, asked: ClockTime, is_good: bool) {
        if asked < self.good_asked {
            return;
        }
        self.reading_since = None;
        if is_good {
            self.good_asked = asked;
        }
        if is_good && now.since_ms(asked) <= self.settings.slow_ms {
            self.own_failure = None;
            self.failures.clear();
        } else {
            self.own_failure = Some(now);
        }
    }

    /// Takes in the failures that another node tells of, on a question asked at `asked`.
    pub fn on_outages(&mut self, asked: ClockTime, outages: &[CentreOutage]) {
        for outage in outages {
            let time = asked.minus_ms(outage.age_ms);
            let known = self.failures.entry(outage.centre.clone()).or_insert(time);
            *known = time.max(*known);
        }
    }

    /// Returns the present failures, to tell other nodes.
    #[must_use]
    pub fn outages(&self, now: ClockTime) -> Vec<CentreOutage> {
        let mut times = self.failures.clone();
        if let Some(time) = self.failed_at(now) {
            let known = times.entry(self.own.clone()).or_insert(time);
            *known = time.max(*known);
        }
        times.retain(|_, time| now.since_ms(*time) <= self.settings.evidence_ms);
        let with_age = |(centre, time)| CentreOutage {
            centre,
            age_ms: now.since_ms(time),
        };
        times.into_iter().map(with_age).collect()
    }

    /// Returns whether keys are trusted, given when the news was fresh.
    #[must_use]
    pub fn state(&self, now: ClockTime, fresh_at: Option<NewsTime>) -> TrustState {
        let Some(fresh) = fresh_at else {
            return TrustState::Stale;
        };
        let age = fresh.age_ms(now);
        if age <= self.settings.fresh_ms {
            TrustState::Fresh
        } else if age <= self.settings.outage_ms && self.is_outage(now) {
            TrustState::Outage
        } else {
            TrustState::Stale
        }
    }

    fn is_outage(&self, now: ClockTime) -> bool {
        let is_present = |time: ClockTime| now.since_ms(time) <= self.settings.evidence_ms;
        let is_down =
            |centre: &CentreName| self.failures.get(centre).copied().is_some_and(is_present);
        if !self.has_peers {
            return false;
        }
        let is_down_here = is_down(&self.own) || self.failed_at(now).is_some_and(is_present);
        let mut others = self.centres.iter().filter(|centre| **centre != self.own);
        is_down_here && others.all(is_down) && !self.failures.is_empty()
    }

    fn failed_at(&self, now: ClockTime) -> Option<ClockTime> {
        let is_slow = |since: &ClockTime| now.since_ms(*since) > self.settings.slow_ms;
        let hanging = self.reading_since.filter(is_slow).map(|_| now);
        self.own_failure.max(hanging)
    }
}
