use std::collections::VecDeque;

use clock::ClockTime;

use crate::RetrySource;

/// The number of slices of a window in which calls and retries are counted.
const WINDOW_SLICES: u64 = 20;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// The retries allowed per thousand calls.
    pub per_thousand: u64,
    /// The retries per window allowed in addition, in thousandths of a retry.
    pub slack_thousandths: u64,
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
    /// The fraction of a window's retries that is reserved for requests themselves and not available
    /// to their nested calls, in thousandths.
    pub reserve_per_thousand: u64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            per_thousand: 100,
            slack_thousandths: 10_000,
            window_ms: 10_000,
            reserve_per_thousand: 250,
        }
    }
}

/// The calls and retries sent in one slice of a window.
#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    number: u64,
    calls: u64,
    retries: u64,
}

/// Limits the retries that one node sends to a service in any window of time.
///
/// When all backend servers of a service refuse some of their calls, a budget based on successes is
/// exhausted just when retries are needed. This budget is based on first calls instead, whether
/// they succeed or not: retries continue up to the limit. It uses the greater number of calls of the
/// current and the previous window. The limit of a fleet holds if each node keeps its own, however
/// load moves between the nodes, as the greater counts of all nodes add up to at most the calls of
/// both windows.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_retry::{BudgetSettings, RetryBudget};
///
/// let settings = BudgetSettings { slack_thousandths: 0, ..BudgetSettings::default() };
/// let mut budget = RetryBudget::new(settings);
/// let now = ClockTime::from_ms(100);
/// (0..20).for_each(|_| budget.note_call(now));
/// assert!(budget.spend(now, false) && budget.spend(now, false));
/// assert!(!budget.spend(now, false));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    slices: VecDeque<WindowSlice>,
}

impl RetryBudget {
    /// Creates a budget without any calls or retries so far.
    #[must_use]
    pub const fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            slices: VecDeque::new(),
        }
    }

    /// Sets [`BudgetSettings::slack_thousandths`].
    pub const fn set_slack(&mut self, slack_thousandths: u64) {
        self.settings.slack_thousandths = slack_thousandths;
    }

    /// Counts a call that is sent for the first time.
    pub fn note_call(&mut self, now: ClockTime) {
        self.slice(now).calls += 1;
    }

    /// Returns whether a retry is left, for a nested call of a request or for a request itself.
    #[must_use]
    pub fn has_retry(&self, now: ClockTime, is_nested: bool) -> bool {
        let number = self.number(now);
        let sum = |from: u64, to: u64, count: fn(&WindowSlice) -> u64| -> u64 {
            let slices = self.slices.iter();
            let within = slices.filter(|slice| slice.number >= from && slice.number < to);
            within.map(count).sum()
        };
        // A sliding window overlaps `WINDOW_SLICES + 1` slices, the outer two in part. Retries are
        // counted in all of these but calls in `WINDOW_SLICES` only, so the limit holds in any window.
        let window_start = number.saturating_sub(WINDOW_SLICES);
        let spent = sum(window_start, number + 1, |slice| slice.retries);
        let present = sum(window_start + 1, number + 1, |slice| slice.calls);
        let before = sum(
            (window_start + 1).saturating_sub(WINDOW_SLICES),
            window_start + 1,
            |slice| slice.calls,
        );
        let settings = &self.settings;
        let paid = present.max(before) * settings.per_thousand + settings.slack_thousandths;
        let reserve = if is_nested {
            settings.reserve_per_thousand
        } else {
            0
        };
        let available = paid * (1_000 - reserve.min(1_000)) / 1_000;
        (spent + 1) * 1_000 <= available
    }

    /// Spends a retry, or returns `false` when none is left.
    pub fn spend(&mut self, now: ClockTime, is_nested: bool) -> bool {
        let has_retry = self.has_retry(now, is_nested);
        if has_retry {
            self.slice(now).retries += 1;
        }
        has_retry
    }

    /// Returns a view of the budget for one call at one time.
    pub const fn view(&mut self, now: ClockTime, is_nested: bool) -> BudgetView<'_> {
        BudgetView {
            budget: self,
            now,
            is_nested,
        }
    }

    const fn number(&self, now: ClockTime) -> u64 {
        now.as_ms() * WINDOW_SLICES / self.settings.window_ms
    }

    fn slice(&mut self, now: ClockTime) -> &mut WindowSlice {
        let number = self.number(now);
        let newest = self.slices.back().map(|slice| slice.number);
        if newest.is_none_or(|newest| newest < number) {
            let oldest_needed = number.saturating_sub(2 * WINDOW_SLICES);
            self.slices.retain(|slice| slice.number >= oldest_needed);
            self.slices.push_back(WindowSlice {
                number,
                calls: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

/// A view of a [`RetryBudget`] for one call at one time.
#[derive(Debug)]
pub struct BudgetView<'b> {
    budget: &'b mut RetryBudget,
    now: ClockTime,
    is_nested: bool,
}

impl RetrySource for BudgetView<'_> {
    fn has_retry(&self) -> bool {
        self.budget.has_retry(self.now, self.is_nested)
    }

    fn spend(&mut self) -> bool {
        self.budget.spend(self.now, self.is_nested)
    }
}
