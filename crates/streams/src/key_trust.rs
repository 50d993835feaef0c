use std::collections::BTreeMap;

use clock::ClockTime;
use model::{CentreName, VmName};

use crate::{CentreOutage, UpdateTime};

/// The most nodes of one data centre whose failure reports are required and relayed.
const MAX_REPORTERS: usize = 2;

/// How long keys are trusted without updates.
#[derive(Clone, Copy, Debug)]
pub struct TrustSettings {
    /// The age of the last update up to which keys are trusted, in milliseconds.
    pub fresh_ms: u64,
    /// The age of the last update up to which keys are trusted while no data centre can read the
    /// log, in milliseconds; 0 for no longer than `fresh_ms`.
    pub outage_ms: u64,
    /// The age up to which a read failure counts as a current outage, in milliseconds.
    pub evidence_ms: u64,
    /// The time after which a read without an answer counts as failed, in milliseconds.
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

/// Whether a node may authenticate callers with the keys it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrustState {
    /// The state is recent: every withdrawal older than `fresh_ms` is known.
    Fresh,
    /// No data centre can read the log, so no operator can have got a withdrawal confirmed.
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

/// Decides whether keys are trusted, from the age of the last update and from reports of nodes that
/// can't read the log.
///
/// A single partitioned node refuses callers once its last update is too old. When nodes of *every*
/// data centre report failed reads of the log, no withdrawal can have been confirmed on it, and
/// keys are trusted up to the longer `outage_ms`. In a data centre where two or more nodes read the
/// log, two of them must report a failure, because one alone may be partitioned. Reads that were in
/// flight while the node's process was paused don't count as evidence.
#[derive(Clone, Debug)]
pub struct KeyTrust {
    settings: TrustSettings,
    own_vm: VmName,
    own_centre: CentreName,
    readers: BTreeMap<CentreName, usize>,
    has_peers: bool,
    failures: BTreeMap<CentreName, BTreeMap<VmName, ClockTime>>,
    own_failure: Option<ClockTime>,
    reading_since: Option<ClockTime>,
    last_success_at: ClockTime,
    last_run_at: ClockTime,
    resumed_at: ClockTime,
}

impl KeyTrust {
    /// Creates the state of a node that knows no other node.
    #[must_use]
    pub fn new(vm: VmName, centre: CentreName, settings: TrustSettings) -> Self {
        Self {
            settings,
            own_vm: vm,
            readers: BTreeMap::from([(centre.clone(), 1)]),
            own_centre: centre,
            has_peers: false,
            failures: BTreeMap::new(),
            own_failure: None,
            reading_since: None,
            last_success_at: ClockTime::ZERO,
            last_run_at: ClockTime::ZERO,
            resumed_at: ClockTime::ZERO,
        }
    }

    /// Sets the number of nodes that read the log in each data centre, and whether there are
    /// members besides this node.
    pub fn set_members(&mut self, readers: BTreeMap<CentreName, usize>, has_peers: bool) {
        self.readers = readers;
        self.readers.entry(self.own_centre.clone()).or_insert(1);
        self.has_peers = has_peers;
    }

    /// Records that the process is running. A gap of more than `slow_ms` between calls means that
    /// it was paused.
    pub fn on_running(&mut self, now: ClockTime) {
        if now.since_ms(self.last_run_at) > self.settings.slow_ms {
            self.resumed_at = now;
            self.reading_since = self.reading_since.map(|_| now);
        }
        self.last_run_at = now;
    }

    /// Records the start of a read of the log; several reads may be in flight at once.
    pub fn on_read_start(&mut self, now: ClockTime) {
        self.on_running(now);
        self.reading_since.get_or_insert(now);
    }

    /// Records the end of a read started at `requested_at`.
    ///
    /// A successful read that took longer than `slow_ms` counts as a failure. A failure is ignored
    /// when a read started later has already succeeded.
    pub fn on_read_end(&mut self, now: ClockTime, requested_at: ClockTime, is_success: bool) {
        self.on_running(now);
        if requested_at < self.last_success_at {
            return;
        }
        self.reading_since = None;
        if is_success {
            self.last_success_at = requested_at;
        }
        if is_success && now.since_ms(requested_at) <= self.settings.slow_ms {
            self.own_failure = None;
            self.failures.clear();
        } else if requested_at >= self.resumed_at {
            self.own_failure = Some(now);
        }
    }

    /// Handles the failures reported by another node in answer to a pull sent at `requested_at`.
    /// Called only once the records that the other node had by then have been applied here too.
    pub fn on_outages(&mut self, requested_at: ClockTime, outages: &[CentreOutage]) {
        for outage in outages {
            let time = requested_at.minus_ms(outage.age_ms);
            let reporters = self.failures.entry(outage.centre.clone()).or_default();
            record_failure(reporters, &outage.vm, time);
        }
    }

    /// Returns the current failures, for reporting to other nodes.
    ///
    /// A node whose own state is stale doesn't report its failure, because it can't distinguish an
    /// outage of the log from its own partition.
    #[must_use]
    pub fn outages(&self, now: ClockTime, fresh_at: Option<UpdateTime>) -> Vec<CentreOutage> {
        let mut failures = self.failures.clone();
        let is_reporter = self.state(now, fresh_at).is_trusted();
        if let Some(time) = self.failed_at(now).filter(|_| is_reporter) {
            let reporters = failures.entry(self.own_centre.clone()).or_default();
            record_failure(reporters, &self.own_vm, time);
        }
        let failures = failures.into_iter().flat_map(|(centre, reporters)| {
            let with_centre = move |(vm, time)| (centre.clone(), vm, time);
            reporters.into_iter().map(with_centre)
        });
        failures
            .filter(|(_, _, time)| self.is_current(now, *time))
            .map(|(centre, vm, time)| CentreOutage {
                centre,
                vm,
                age_ms: now.since_ms(time),
            })
            .collect()
    }

    /// Returns whether keys are trusted, given the time up to which the stream is known.
    #[must_use]
    pub fn state(&self, now: ClockTime, fresh_at: Option<UpdateTime>) -> TrustState {
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
            self.reporters(now, centre) >= (*readers).clamp(1, MAX_REPORTERS)
        };
        self.has_peers && !self.failures.is_empty() && self.readers.iter().all(is_down)
    }

    /// Returns the number of nodes of a data centre that currently fail to read the log.
    fn reporters(&self, now: ClockTime, centre: &CentreName) -> usize {
        let reported = self.failures.get(centre).into_iter().flatten();
        let is_other = |vm: &VmName| *centre != self.own_centre || *vm != self.own_vm;
        let others = reported.filter(|(vm, time)| is_other(vm) && self.is_current(now, **time));
        let own_failure = self.failed_at(now).filter(|_| *centre == self.own_centre);
        let own_failure = own_failure.filter(|time| self.is_current(now, *time));
        others.count() + usize::from(own_failure.is_some())
    }

    const fn is_current(&self, now: ClockTime, time: ClockTime) -> bool {
        now.since_ms(time) <= self.settings.evidence_ms
    }

    fn failed_at(&self, now: ClockTime) -> Option<ClockTime> {
        let is_slow = |since: &ClockTime| now.since_ms(*since) > self.settings.slow_ms;
        let is_running = now.since_ms(self.last_run_at) <= self.settings.slow_ms;
        let hanging = self.reading_since.filter(is_slow).filter(|_| is_running);
        self.own_failure.max(hanging.map(|_| now))
    }
}

/// Records a node's failure and keeps only the most recent [`MAX_REPORTERS`].
fn record_failure(reporters: &mut BTreeMap<VmName, ClockTime>, vm: &VmName, time: ClockTime) {
    let known = reporters.entry(vm.clone()).or_insert(time);
    *known = time.max(*known);
    if reporters.len() > MAX_REPORTERS {
        let oldest = reporters.iter().min_by_key(|(_, time)| **time);
        let oldest = oldest.map(|(vm, _)| vm.clone());
        oldest.map(|vm| reporters.remove(&vm));
    }
}
