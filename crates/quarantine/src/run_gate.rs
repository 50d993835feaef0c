use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::AttemptId;

use crate::RequestFingerprint;

/// The run of a request on the backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateRun {
    pub(crate) fingerprint: RequestFingerprint,
    /// Whether nothing else may run at the same time.
    pub(crate) is_alone: bool,
    /// Whether no copy of the same request may run at the same time.
    pub(crate) is_single: bool,
}

/// An attempt that waits to run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateWaiter {
    pub(crate) attempt: AttemptId,
    pub(crate) run: GateRun,
}

/// Admits runs like a reader-writer lock, in order of arrival: either many ordinary runs at a time,
/// or one that must run alone.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunGate {
    running: BTreeMap<AttemptId, GateRun>,
    waiting: VecDeque<GateWaiter>,
}

impl RunGate {
    /// Admits the attempt, or queues it and returns `false`.
    pub(crate) fn enter(&mut self, attempt: AttemptId, run: GateRun) -> bool {
        let must_wait = self.waiting.iter().any(|waiter| waiter.run.is_alone);
        if !must_wait && self.has_room(run) {
            self.running.insert(attempt, run);
            return true;
        }
        self.waiting.push_back(GateWaiter { attempt, run });
        false
    }

    pub(crate) fn leave(&mut self, attempt: AttemptId) -> Option<GateRun> {
        self.waiting.retain(|waiter| waiter.attempt != attempt);
        self.running.remove(&attempt)
    }

    /// Admits and returns the waiting attempts that may run now; none overtakes an attempt that must
    /// run alone.
    pub(crate) fn admit(&mut self) -> Vec<AttemptId> {
        let mut admitted = Vec::new();
        let mut alone_ahead = false;
        for waiter in std::mem::take(&mut self.waiting) {
            if !alone_ahead && self.has_room(waiter.run) {
                self.running.insert(waiter.attempt, waiter.run);
                admitted.push(waiter.attempt);
                continue;
            }
            alone_ahead |= waiter.run.is_alone;
            self.waiting.push_back(waiter);
        }
        admitted
    }

    pub(crate) fn take_running(&mut self) -> BTreeMap<AttemptId, GateRun> {
        std::mem::take(&mut self.running)
    }

    /// Removes and returns the waiting attempts that `matches` selects.
    pub(crate) fn take_waiting(&mut self, matches: impl Fn(&GateRun) -> bool) -> Vec<AttemptId> {
        let (out, stay): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiter| matches(&waiter.run));
        self.waiting = stay;
        out.into_iter().map(|waiter| waiter.attempt).collect()
    }

    /// Returns whether one of the requests is running.
    pub(crate) fn runs_any(&self, fingerprints: &BTreeSet<RequestFingerprint>) -> bool {
        let is_one = |run: &GateRun| fingerprints.contains(&run.fingerprint);
        self.running.values().any(is_one)
    }

    fn has_room(&self, run: GateRun) -> bool {
        if run.is_alone {
            return self.running.is_empty();
        }
        let is_copy = |other: &GateRun| run.is_single && other.fingerprint == run.fingerprint;
        let excludes = |other: &GateRun| other.is_alone || is_copy(other);
        !self.running.values().any(excludes)
    }
}
