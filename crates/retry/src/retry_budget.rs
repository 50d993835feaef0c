use std::collections::VecDeque;

use clock::ClockTime;

use crate::RetrySource;

/// The parts of a window that calls and retries are counted in.
const SLICES: u64 = 20;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// The retries that a thousand calls pay for.
    pub per_thousand: u64,
    /// The retries of a window besides, in thousandths.
    pub slack_thousandths: u64,
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
    /// The part of a window's retries that calls of begun requests leave to requests themselves,
    /// in thousandths.
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

/// What was sent in a part of a window.
#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    number: u64,
    calls: u64,
    retries: u64,
}

/// Limits the retries that one node sends to a service in any window of time.
///
/// Load pattern: all backend servers of a service refuse a part of what they get. A budget that
/// successes pay for runs dry just then; this one is paid for by calls, those of the window
/// before included, so that retries go on up to the bound. The bound of a fleet holds when each
/// node keeps its own part, however load moves between the nodes: where a node counts the greater
/// of two windows, the sum over the nodes counts both at most.
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
/// assert!(budget.take(now, false) && budget.take(now, false));
/// assert!(!budget.take(now, false));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    slices: VecDeque<WindowSlice>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent.
    #[must_use]
    pub const fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            slices: VecDeque::new(),
        }
    }

    /// Sets the retries of a window that no calls pay for, in thousandths.
    pub const fn set_slack(&mut self, slack_thousandths: u64) {
        self.settings.slack_thousandths = slack_thousandths;
    }

    /// Notes that a call is sent for the first time.
    pub fn note_call(&mut self, now: ClockTime) {
        self.slice(now).calls += 1;
    }

    /// Returns whether a retry is left, for a call of a begun request or a request itself.
    #[must_use]
    pub fn has_left(&self, now: ClockTime, is_begun: bool) -> bool {
        let number = self.number(now);
        let sum = |from: u64, to: u64, count: fn(&WindowSlice) -> u64| -> u64 {
            let slices = self.slices.iter();
            let within = slices.filter(|slice| slice.number >= from && slice.number < to);
            within.map(count).sum()
        };
        // A window that slides covers parts of one slice more than it has.
        let begin = number.saturating_sub(SLICES);
        let spent = sum(begin, number + 1, |slice| slice.retries);
        let present = sum(begin + 1, number + 1, |slice| slice.calls);
        let before = sum((begin + 1).saturating_sub(SLICES), begin + 1, |slice| {
            slice.calls
        });
        let settings = &self.settings;
        let paid = present.max(before) * settings.per_thousand + settings.slack_thousandths;
        let reserve = if is_begun {
            settings.reserve_per_thousand
        } else {
            0
        };
        let open = paid * (1_000 - reserve.min(1_000)) / 1_000;
        (spent + 1) * 1_000 <= open
    }

    /// Spends a retry, or returns `false` when none is left.
    pub fn take(&mut self, now: ClockTime, is_begun: bool) -> bool {
        let has_left = self.has_left(now, is_begun);
        if has_left {
            self.slice(now).retries += 1;
        }
        has_left
    }

    /// Returns the budget as a call sees it at a moment.
    pub const fn at(&mut self, now: ClockTime, is_begun: bool) -> BudgetView<'_> {
        BudgetView {
            budget: self,
            now,
            is_begun,
        }
    }

    const fn number(&self, now: ClockTime) -> u64 {
        now.as_ms() * SLICES / self.settings.window_ms
    }

    fn slice(&mut self, now: ClockTime) -> &mut WindowSlice {
        let number = self.number(now);
        let newest = self.slices.back().map(|slice| slice.number);
        if newest.is_none_or(|newest| newest < number) {
            let kept_from = number.saturating_sub(2 * SLICES);
            self.slices.retain(|slice| slice.number >= kept_from);
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

/// A [`RetryBudget`] as one call sees it at a moment.
#[derive(Debug)]
pub struct BudgetView<'b> {
    budget: &'b mut RetryBudget,
    now: ClockTime,
    is_begun: bool,
}

impl RetrySource for BudgetView<'_> {
    fn has_retry(&self) -> bool {
        self.budget.has_left(self.now, self.is_begun)
    }

    fn spend(&mut self) -> bool {
        self.budget.take(self.now, self.is_begun)
    }
}
