use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{AttemptId, VmName};

use crate::{NewsId, RequestFingerprint};

/// A failed attempt whose answer waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldFailure {
    pub(crate) attempt: AttemptId,
    pub(crate) may_retry: bool,
}

/// News on its way, and the failures that wait for it.
#[derive(Clone, Debug)]
pub(crate) struct HeldNews {
    pub(crate) failures: Vec<HeldFailure>,
    pub(crate) fingerprints: BTreeSet<RequestFingerprint>,
    /// The crashes told of; more may become known while the news is on its way.
    pub(crate) crashes: usize,
    pub(crate) waiting_for: BTreeSet<VmName>,
    pub(crate) answer_by: ClockTime,
}

/// The news on its way to peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldFailures {
    held: BTreeMap<NewsId, HeldNews>,
    next_id: u64,
}

impl HeldFailures {
    pub(crate) fn add(&mut self, news: HeldNews) -> NewsId {
        let id = NewsId(self.next_id);
        self.next_id += 1;
        self.held.insert(id, news);
        id
    }

    pub(crate) fn is_about(&self, fingerprint: RequestFingerprint) -> bool {
        let mut held = self.held.values();
        held.any(|news| news.fingerprints.contains(&fingerprint))
    }

    pub(crate) fn note_ack(&mut self, id: NewsId, peer: &VmName) {
        if let Some(news) = self.held.get_mut(&id) {
            news.waiting_for.remove(peer);
        }
    }

    pub(crate) fn keep_peers(&mut self, peers: &[VmName]) {
        for news in self.held.values_mut() {
            news.waiting_for.retain(|peer| peers.contains(peer));
        }
    }

    /// Takes the news that no peer has to take any more, or that has waited long enough.
    pub(crate) fn take_done(&mut self, now: ClockTime) -> Vec<HeldNews> {
        let is_done = |news: &HeldNews| news.waiting_for.is_empty() || news.answer_by <= now;
        let done = self.held.extract_if(.., |_, news| is_done(news));
        done.map(|(_, news)| news).collect()
    }

    pub(crate) fn next_due(&self) -> Option<ClockTime> {
        self.held.values().map(|news| news.answer_by).min()
    }
}
