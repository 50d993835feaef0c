use clock::ClockTime;

use crate::AllowanceShare;
use crate::recent_keys::RecentKeys;

/// Settings of a [`ResendTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendSettings {
    /// The retries of a new request, over its whole call tree.
    pub retries: u32,
    /// How many of these are kept back for resends while the request is under way.
    pub resends: u32,
    /// How long a key is remembered after its last request, in milliseconds.
    pub remember_ms: u64,
    /// The most keys remembered.
    pub max_keys: usize,
}

impl Default for ResendSettings {
    fn default() -> Self {
        Self {
            retries: 4,
            resends: 1,
            remember_ms: 60_000,
            max_keys: 16_384,
        }
    }
}

/// Whether a request of a caller may go on.
#[derive(Debug, PartialEq, Eq)]
pub enum ResendDecision {
    /// The request is new to this node.
    First(AllowanceShare),
    /// The request is sent again and has spent a retry of the first one.
    Resend(AllowanceShare),
    /// The request is sent again and the first one has no retry left: it is not run.
    Exhausted,
}

/// The idempotency keys that callers have sent to this node lately.
///
/// A request sent again under its key is charged to the first one. While a request is under
/// way, only the retries kept back for resends are left here to spend.
#[derive(Debug)]
pub struct ResendTable {
    settings: ResendSettings,
    /// What each key has left.
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

    /// Returns the number of keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Judges a request by the digest of its team and idempotency key.
    pub fn open(&mut self, now: ClockTime, key: u128) -> ResendDecision {
        let Some(left) = self.keys.touch(now, key) else {
            let mut share = AllowanceShare::new(self.settings.retries);
            let kept = share.split(self.settings.resends);
            self.keys.insert(now, key, kept);
            return ResendDecision::First(share);
        };
        if left.split(1).retries() == 0 {
            return ResendDecision::Exhausted;
        }
        ResendDecision::Resend(std::mem::take(left))
    }

    /// Takes back what a request didn't spend.
    pub fn close(&mut self, key: u128, unspent: AllowanceShare) {
        if let Some(left) = self.keys.get_mut(key) {
            left.merge(unspent);
        }
    }
}
