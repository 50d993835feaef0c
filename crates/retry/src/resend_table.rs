use clock::ClockTime;

use crate::AllowanceShare;
use crate::recent_keys::RecentKeys;

/// Settings of a [`ResendTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendSettings {
    /// The retries of a request, over its whole call tree and all its resends.
    pub retries: u32,
    /// How many of these are reserved for resends while the request is in progress.
    pub resend_reserve: u32,
    /// How long a key is retained after its last request, in milliseconds.
    pub retention_ms: u64,
    /// The largest number of keys retained.
    pub max_keys: usize,
}

impl Default for ResendSettings {
    fn default() -> Self {
        Self {
            retries: 4,
            resend_reserve: 1,
            retention_ms: 60_000,
            max_keys: 16_384,
        }
    }
}

/// Whether a caller's request may proceed, and with which retries.
#[derive(Debug, PartialEq, Eq)]
pub enum ResendDecision {
    /// The key is new to this node.
    First(AllowanceShare),
    /// The request is a resend; one retry of the first request was spent on it.
    Resend(AllowanceShare),
    /// The request is a resend and no retry of the first one is left, so it must not run.
    Exhausted,
}

/// The idempotency keys that callers have recently sent to this node, and the retries left of each.
///
/// A request resent with its key is charged to the allowance of the first one. While a request is
/// in progress, only the retries reserved for resends are available here.
#[derive(Debug)]
pub struct ResendTable {
    settings: ResendSettings,
    /// The retries left under each key.
    keys: RecentKeys<AllowanceShare>,
}

impl Default for ResendTable {
    fn default() -> Self {
        Self::new(ResendSettings::default())
    }
}

impl ResendTable {
    /// Creates an empty table.
    #[must_use]
    pub const fn new(settings: ResendSettings) -> Self {
        Self {
            settings,
            keys: RecentKeys::new(&settings),
        }
    }

    /// Returns the number of keys retained.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is retained.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Decides on a request by the digest of its team and idempotency key.
    pub fn open(&mut self, now: ClockTime, key: u128) -> ResendDecision {
        let Some(left) = self.keys.touch(now, key) else {
            let mut share = AllowanceShare::new(self.settings.retries);
            let kept = share.split(self.settings.resend_reserve);
            self.keys.insert(now, key, kept);
            return ResendDecision::First(share);
        };
        if left.split(1).retries() == 0 {
            return ResendDecision::Exhausted;
        }
        ResendDecision::Resend(std::mem::take(left))
    }

    /// Adds the unspent retries of a finished request back to its key.
    pub fn close(&mut self, key: u128, unspent: AllowanceShare) {
        if let Some(left) = self.keys.get_mut(key) {
            left.merge(unspent);
        }
    }
}
