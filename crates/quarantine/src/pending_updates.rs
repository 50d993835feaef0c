use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{AttemptId, VmName};

use crate::{RequestFingerprint, UpdateId};

/// A failed attempt whose answer is deferred until peers are notified.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeferredFailure {
    pub(crate) attempt: AttemptId,
    pub(crate) may_retry: bool,
}

/// An update that peers haven't all acknowledged, and the failures deferred until they have.
#[derive(Clone, Debug)]
pub(crate) struct PendingUpdate {
    pub(crate) failures: Vec<DeferredFailure>,
    pub(crate) fingerprints: BTreeSet<RequestFingerprint>,
    /// The number of crashes known when the update was sent; more may become known before it is
    /// acknowledged.
    pub(crate) crashes: usize,
    pub(crate) waiting_for: BTreeSet<VmName>,
    pub(crate) answer_by: ClockTime,
}

/// The updates that peers haven't all acknowledged.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingUpdates {
    updates: BTreeMap<UpdateId, PendingUpdate>,
    next_id: u64,
}

impl PendingUpdates {
    pub(crate) fn add(&mut self, update: PendingUpdate) -> UpdateId {
        let id = UpdateId(self.next_id);
        self.next_id += 1;
        self.updates.insert(id, update);
        id
    }

    pub(crate) fn is_about(&self, fingerprint: RequestFingerprint) -> bool {
        let mut updates = self.updates.values();
        updates.any(|update| update.fingerprints.contains(&fingerprint))
    }

    pub(crate) fn record_ack(&mut self, id: UpdateId, peer: &VmName) {
        if let Some(update) = self.updates.get_mut(&id) {
            update.waiting_for.remove(peer);
        }
    }

    pub(crate) fn retain_peers(&mut self, peers: &[VmName]) {
        for update in self.updates.values_mut() {
            update.waiting_for.retain(|peer| peers.contains(peer));
        }
    }

    /// Removes and returns the updates that all peers have acknowledged or that have timed out.
    pub(crate) fn take_completed(&mut self, now: ClockTime) -> Vec<PendingUpdate> {
        let is_completed =
            |update: &PendingUpdate| update.waiting_for.is_empty() || update.answer_by <= now;
        let completed = self
            .updates
            .extract_if(.., |_, update| is_completed(update));
        completed.map(|(_, update)| update).collect()
    }

    pub(crate) fn next_due(&self) -> Option<ClockTime> {
        self.updates.values().map(|update| update.answer_by).min()
    }
}
