use clock::ClockTime;

/// The time after which the budget is renewed, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Limits the rate of log lines caused by requests, and counts the omitted ones.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_limit::LogLineBudget;
///
/// let mut budget = LogLineBudget::new(1);
/// assert!(budget.take(ClockTime::ZERO));
/// assert!(!budget.take(ClockTime::ZERO));
/// assert_eq!(budget.take_omitted(ClockTime::from_ms(1_000)), Some(1));
/// assert!(budget.take(ClockTime::from_ms(1_000)));
/// ```
#[derive(Clone, Debug)]
pub struct LogLineBudget {
    lines_per_s: u32,
    window_start: ClockTime,
    used: u32,
    omitted: u64,
}

impl LogLineBudget {
    /// Creates a budget of `lines_per_s` log lines a second.
    #[must_use]
    pub const fn new(lines_per_s: u32) -> Self {
        Self {
            lines_per_s,
            window_start: ClockTime::ZERO,
            used: 0,
            omitted: 0,
        }
    }

    /// Returns whether a line may be written, and counts it as omitted otherwise.
    pub const fn take(&mut self, now: ClockTime) -> bool {
        if now.since_ms(self.window_start) >= WINDOW_MS {
            self.window_start = now;
            self.used = 0;
        }
        if self.used < self.lines_per_s {
            self.used += 1;
            return true;
        }
        self.omitted += 1;
        false
    }

    /// Returns the number of omitted lines, once the second in which they were omitted is over.
    pub const fn take_omitted(&mut self, now: ClockTime) -> Option<u64> {
        if self.omitted == 0 || now.since_ms(self.window_start) < WINDOW_MS {
            return None;
        }
        let count = self.omitted;
        self.omitted = 0;
        Some(count)
    }
}
