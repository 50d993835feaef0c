use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{AttemptId, VmName};

use crate::{RequestFingerprint, UpdateId};

/// An attempt that ended with a crash of the backend server.
///
/// Its failure is reported only when the peers know that its request is suspect. Otherwise a retry
/// could run on a peer as an ordinary request and crash that backend server too.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeferredFailure {
    pub(crate) attempt: AttemptId,
    /// Whether the call may be retried if it is idempotent.
    pub(crate) may_retry: bool,
}

/// An update about suspect requests that some peers haven't acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingUpdate {
    /// The failures to report when all peers have acknowledged the update, or at `answer_by`.
    pub(crate) failures: Vec<DeferredFailure>,
    /// The requests that the update is about.
    pub(crate) fingerprints: BTreeSet<RequestFingerprint>,
    /// The recorded crashes of these requests when the update was sent. If more have become known by
    /// the time it is acknowledged, the peers are notified again.
    pub(crate) known_crashes: usize,
    /// The peers that haven't acknowledged the update.
    pub(crate) unacknowledged: BTreeSet<VmName>,
    /// The time at which the failures are reported even if some peers haven't acknowledged.
    pub(crate) answer_by: ClockTime,
}

/// The updates that some peers haven't acknowledged yet.
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

    /// Returns whether an update about the request is pending.
    pub(crate) fn has_update_about(&self, fingerprint: RequestFingerprint) -> bool {
        let mut updates = self.updates.values();
        updates.any(|update| update.fingerprints.contains(&fingerprint))
    }

    pub(crate) fn record_ack(&mut self, id: UpdateId, peer: &VmName) {
        if let Some(update) = self.updates.get_mut(&id) {
            update.unacknowledged.remove(peer);
        }
    }

    /// Stops waiting for the acknowledgement of peers that aren't among `peers`.
    pub(crate) fn retain_peers(&mut self, peers: &[VmName]) {
        for update in self.updates.values_mut() {
            update.unacknowledged.retain(|peer| peers.contains(peer));
        }
    }

    /// Removes and returns the updates that all peers have acknowledged, and those whose `answer_by` has passed.
    pub(crate) fn take_completed(&mut self, now: ClockTime) -> Vec<PendingUpdate> {
        let is_completed =
            |update: &PendingUpdate| update.unacknowledged.is_empty() || update.answer_by <= now;
        let completed = self
            .updates
            .extract_if(.., |_, update| is_completed(update));
        completed.map(|(_, update)| update).collect()
    }

    /// Returns when the next update times out.
    pub(crate) fn next_timeout(&self) -> Option<ClockTime> {
        self.updates.values().map(|update| update.answer_by).min()
    }
}
