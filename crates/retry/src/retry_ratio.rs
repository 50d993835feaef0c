use crate::RetrySource;

/// The price of one retry, in thousandths of a token.
const RETRY_PRICE: u64 = 1_000;

/// Settings of a [`RetryRatio`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RatioSettings {
    /// The retries that a thousand successes pay for.
    pub per_thousand: u64,
    /// The most retries saved up.
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
            saved: settings.max_saved * RETRY_PRICE,
        }
    }

    /// Notes a success.
    pub fn succeed(&mut self) {
        let most = self.settings.max_saved * RETRY_PRICE;
        self.saved = (self.saved + self.settings.per_thousand).min(most);
    }
}

impl RetrySource for RetryRatio {
    fn has_retry(&self) -> bool {
        self.saved >= RETRY_PRICE
    }

    fn spend(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.saved -= RETRY_PRICE;
        true
    }
}
