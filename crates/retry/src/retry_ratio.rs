use crate::RetrySource;

/// The cost of one retry, in the units in which successes earn retries: thousandths of a retry.
const RETRY_COST: u64 = 1_000;

/// Settings of a [`RetryRatio`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RatioSettings {
    /// The retries earned by a thousand successes.
    pub per_thousand: u64,
    /// The largest number of retries saved up.
    pub max_saved: u64,
}

impl Default for RatioSettings {
    fn default() -> Self {
        Self {
            per_thousand: 100,
            max_saved: 10,
        }
    }
}

/// Limits the retries of a route to a ratio of its recent successes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRatio {
    settings: RatioSettings,
    saved: u64,
}

impl RetryRatio {
    /// Creates a ratio with all its retries saved up.
    #[must_use]
    pub const fn new(settings: RatioSettings) -> Self {
        Self {
            settings,
            saved: settings.max_saved * RETRY_COST,
        }
    }

    /// Adds the fraction of a retry that one success earns.
    pub fn record_success(&mut self) {
        let most = self.settings.max_saved * RETRY_COST;
        self.saved = (self.saved + self.settings.per_thousand).min(most);
    }
}

impl RetrySource for RetryRatio {
    fn has_retry(&self) -> bool {
        self.saved >= RETRY_COST
    }

    fn spend(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}
