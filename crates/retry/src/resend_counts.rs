use std::collections::BTreeSet;

use clock::ClockTime;
use model::RequestId;

use crate::ResendSettings;
use crate::recent_keys::RecentKeys;

/// Whether a request may run on the VM to which all requests with its key are routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountDecision {
    /// It may; it wasn't counted before and is counted now.
    Counted,
    /// It may; an earlier attempt of the same request is counted already.
    Known,
    /// It may not; as many requests with its key have run as retries allow.
    Exhausted,
}

/// Counts the requests with the same idempotency key that ran on this VM recently.
///
/// A caller may resend a request through any node. All requests with the same key are routed to
/// one VM, which runs no more of them than one plus the number of retries.
#[derive(Debug)]
pub struct ResendCounts {
    max_requests: usize,
    keys: RecentKeys<BTreeSet<RequestId>>,
}

impl Default for ResendCounts {
    fn default() -> Self {
        Self::new(ResendSettings::default())
    }
}

impl ResendCounts {
    /// Creates an empty table of counts.
    #[must_use]
    pub const fn new(settings: ResendSettings) -> Self {
        Self {
            max_requests: 1 + settings.retries as usize,
            keys: RecentKeys::new(&settings),
        }
    }

    /// Decides on a request by the digest of its team, call and idempotency key; all attempts of
    /// one request count once.
    pub fn admit(&mut self, now: ClockTime, key: u128, request: RequestId) -> CountDecision {
        let Some(requests) = self.keys.touch(now, key) else {
            self.keys.insert(now, key, BTreeSet::from([request]));
            return CountDecision::Counted;
        };
        if requests.contains(&request) {
            return CountDecision::Known;
        }
        if requests.len() >= self.max_requests {
            return CountDecision::Exhausted;
        }
        requests.insert(request);
        CountDecision::Counted
    }

    /// Removes a request that didn't run from the count.
    pub fn uncount(&mut self, key: u128, request: RequestId) {
        if let Some(requests) = self.keys.get_mut(key) {
            requests.remove(&request);
        }
    }
}
