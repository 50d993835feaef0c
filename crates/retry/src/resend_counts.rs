use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::RequestId;

use crate::ResendSettings;

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
#[derive(Debug, Default)]
pub struct ResendCounts {
    settings: ResendSettings,
    keys: BTreeMap<u128, KeyRequests>,
    by_age: BTreeSet<(ClockTime, u128)>,
}

#[derive(Debug)]
struct KeyRequests {
    requests: BTreeSet<RequestId>,
    last: ClockTime,
}

impl ResendCounts {
    /// Creates counts of no key.
    #[must_use]
    pub const fn new(settings: ResendSettings) -> Self {
        Self {
            settings,
            keys: BTreeMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    /// Judges a request by the digest of its team, call and idempotency key; attempts of one
    /// request count once.
    pub fn admit(&mut self, now: ClockTime, key: u128, request: RequestId) -> CountDecision {
        self.forget(now);
        let sent = self.keys.entry(key).or_insert_with(|| KeyRequests {
            requests: BTreeSet::new(),
            last: now,
        });
        self.by_age.remove(&(sent.last, key));
        self.by_age.insert((now, key));
        sent.last = now;
        let most = 1 + self.settings.retries as usize;
        let decision = if sent.requests.contains(&request) {
            CountDecision::Known
        } else if sent.requests.len() >= most {
            CountDecision::Exhausted
        } else {
            CountDecision::Counted
        };
        if decision == CountDecision::Counted {
            sent.requests.insert(request);
        }
        if self.keys.len() > self.settings.max_keys {
            self.forget_oldest();
        }
        decision
    }

    /// Takes back the count of a request that didn't run.
    pub fn take_back(&mut self, key: u128, request: RequestId) {
        if let Some(sent) = self.keys.get_mut(&key) {
            sent.requests.remove(&request);
        }
    }

    fn forget(&mut self, now: ClockTime) {
        let remember_ms = self.settings.remember_ms;
        let is_old = |time: ClockTime| now.since_ms(time) >= remember_ms;
        while self.by_age.first().is_some_and(|(time, _)| is_old(*time)) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, key)) = self.by_age.pop_first() {
            self.keys.remove(&key);
        }
    }
}
