use std::collections::BTreeSet;

use clock::ClockTime;
use model::RequestId;

use crate::ResendSettings;
use crate::recent_keys::RecentKeys;

/// Whether a request may run where its copies meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountDecision {
    /// It may, and is counted from now on.
    Counted,
    /// It may, as an attempt of it was counted before.
    Known,
    /// It may not: the first request and its copies have spent the retries.
    Exhausted,
}

/// The requests that ran on this VM lately under each idempotency key.
///
/// A caller may send a request again to any node; its copies meet at one VM, which lets no more
/// of them run than the first request and its retries.
#[derive(Debug)]
pub struct ResendCounts {
    most: usize,
    keys: RecentKeys<BTreeSet<RequestId>>,
}

impl Default for ResendCounts {
    fn default() -> Self {
        Self::new(ResendSettings::default())
    }
}

impl ResendCounts {
    /// Creates counts of no key.
    #[must_use]
    pub const fn new(settings: ResendSettings) -> Self {
        Self {
            most: 1 + settings.retries as usize,
            keys: RecentKeys::new(&settings),
        }
    }

    /// Judges a request by the digest of its team, call and idempotency key; attempts of one
    /// request count once.
    pub fn admit(&mut self, now: ClockTime, key: u128, request: RequestId) -> CountDecision {
        let Some(requests) = self.keys.touch(now, key) else {
            self.keys.insert(now, key, BTreeSet::from([request]));
            return CountDecision::Counted;
        };
        if requests.contains(&request) {
            return CountDecision::Known;
        }
        if requests.len() >= self.most {
            return CountDecision::Exhausted;
        }
        requests.insert(request);
        CountDecision::Counted
    }

    /// Takes back the count of a request that didn't run.
    pub fn take_back(&mut self, key: u128, request: RequestId) {
        if let Some(requests) = self.keys.get_mut(key) {
            requests.remove(&request);
        }
    }
}
