use std::collections::BTreeMap;

use clock::ClockTime;
use model::{CentreName, VmName};

use crate::{CentreOutage, NewsTime};

/// The most nodes of one data centre whose failures are asked for and handed on.
const MAX_WITNESSES: usize = 2;

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
/// on it, and keys are trusted up to a longer bound. Two nodes have to tell of it for a data
/// centre where two read the log, since one may be cut off by itself; and what a node was
/// waiting for while its process was paused tells nothing.
#[derive(Clone, Debug)]
pub struct KeyTrust {
    settings: TrustSettings,
    own_vm: VmName,
    own: CentreName,
    readers: BTreeMap<CentreName, usize>,
    has_peers: bool,
    failures: BTreeMap<CentreName, BTreeMap<VmName, ClockTime>>,
    own_failure: Option<ClockTime>,
    reading_since: Option<ClockTime>,
    good_asked: ClockTime,
    seen_at: ClockTime,
    woke_at: ClockTime,
}

impl KeyTrust {
    /// Creates the trust of a node that knows no other.
    #[must_use]
    pub fn new(vm: VmName, centre: CentreName, settings: TrustSettings) -> Self {
        Self {
            settings,
            own_vm: vm,
            readers: BTreeMap::from([(centre.clone(), 1)]),
            own: centre,
            has_peers: false,
            failures: BTreeMap::new(),
            own_failure: None,
            reading_since: None,
            good_asked: ClockTime::ZERO,
            seen_at: ClockTime::ZERO,
            woke_at: ClockTime::ZERO,
        }
    }

    /// Sets how many nodes of each data centre read the log, and whether there are members besides
    /// this node.
    pub fn set_members(&mut self, readers: BTreeMap<CentreName, usize>, has_peers: bool) {
        self.readers = readers;
        self.readers.entry(self.own.clone()).or_insert(1);
        self.has_peers = has_peers;
    }

    /// Takes in that the process runs now; one that didn't for `slow_ms` was paused.
    pub fn on_running(&mut self, now: ClockTime) {
        if now.since_ms(self.seen_at) > self.settings.slow_ms {
            self.woke_at = now;
            self.reading_since = self.reading_since.map(|_| now);
        }
        self.seen_at = now;
    }

    /// Takes in that this node asks the log; several reads may be under way at once.
    pub fn on_read_start(&mut self, now: ClockTime) {
        self.on_running(now);
        self.reading_since.get_or_insert(now);
    }

    /// Takes in that a read asked for at `asked` ended.
    ///
    /// A good answer that took long counts as a failure, and a failure counts for nothing when a
    /// later read had a good answer.
    pub fn on_read_end(&mut self, now: ClockTime, asked: ClockTime, is_good: bool) {
        self.on_running(now);
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
        } else if asked >= self.woke_at {
            self.own_failure = Some(now);
        }
    }

    /// Takes in the failures that another node tells of, on a question asked at `asked`, once all
    /// that this node knew has been taken in too.
    pub fn on_outages(&mut self, asked: ClockTime, outages: &[CentreOutage]) {
        for outage in outages {
            let time = asked.minus_ms(outage.age_ms);
            let witnesses = self.failures.entry(outage.centre.clone()).or_default();
            put_witness(witnesses, &outage.vm, time);
        }
    }

    /// Returns the present failures, to tell other nodes.
    ///
    /// A node whose own news is stale is no witness: it can't tell an outage from a cut.
    #[must_use]
    pub fn outages(&self, now: ClockTime, fresh_at: Option<NewsTime>) -> Vec<CentreOutage> {
        let mut failures = self.failures.clone();
        let is_witness = self.state(now, fresh_at).is_trusted();
        if let Some(time) = self.failed_at(now).filter(|_| is_witness) {
            let witnesses = failures.entry(self.own.clone()).or_default();
            put_witness(witnesses, &self.own_vm, time);
        }
        let failures = failures.into_iter().flat_map(|(centre, witnesses)| {
            let of_centre = move |(vm, time)| (centre.clone(), vm, time);
            witnesses.into_iter().map(of_centre)
        });
        failures
            .filter(|(_, _, time)| self.is_present(now, *time))
            .map(|(centre, vm, time)| CentreOutage {
                centre,
                vm,
                age_ms: now.since_ms(time),
            })
            .collect()
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
        let is_down = |(centre, readers): (&CentreName, &usize)| {
            self.witnesses(now, centre) >= (*readers).clamp(1, MAX_WITNESSES)
        };
        self.has_peers && !self.failures.is_empty() && self.readers.iter().all(is_down)
    }

    /// Returns how many nodes of a data centre fail to read the log at present.
    fn witnesses(&self, now: ClockTime, centre: &CentreName) -> usize {
        let told = self.failures.get(centre).into_iter().flatten();
        let is_other = |vm: &VmName| *centre != self.own || *vm != self.own_vm;
        let others = told.filter(|(vm, time)| is_other(vm) && self.is_present(now, **time));
        let own = self.failed_at(now).filter(|_| *centre == self.own);
        let own = own.filter(|time| self.is_present(now, *time));
        others.count() + usize::from(own.is_some())
    }

    const fn is_present(&self, now: ClockTime, time: ClockTime) -> bool {
        now.since_ms(time) <= self.settings.evidence_ms
    }

    fn failed_at(&self, now: ClockTime) -> Option<ClockTime> {
        let is_slow = |since: &ClockTime| now.since_ms(*since) > self.settings.slow_ms;
        let is_running = now.since_ms(self.seen_at) <= self.settings.slow_ms;
        let hanging = self.reading_since.filter(is_slow).filter(|_| is_running);
        self.own_failure.max(hanging.map(|_| now))
    }
}

/// Notes a node's failure, and keeps the newest few.
fn put_witness(witnesses: &mut BTreeMap<VmName, ClockTime>, vm: &VmName, time: ClockTime) {
    let known = witnesses.entry(vm.clone()).or_insert(time);
    *known = time.max(*known);
    if witnesses.len() > MAX_WITNESSES {
        let oldest = witnesses.iter().min_by_key(|(_, time)| **time);
        let oldest = oldest.map(|(vm, _)| vm.clone());
        oldest.map(|vm| witnesses.remove(&vm));
    }
}
