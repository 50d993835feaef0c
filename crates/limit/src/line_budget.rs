use clock::ClockTime;

/// The span that a budget is renewed after, in milliseconds.
const SPAN_MS: u64 = 1_000;

/// Bounds the lines of log that requests cause, and counts those left out.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_limit::LineBudget;
///
/// let mut budget = LineBudget::new(1);
/// assert!(budget.take(ClockTime::ZERO));
/// assert!(!budget.take(ClockTime::ZERO));
/// assert_eq!(budget.take_left_out(ClockTime::from_ms(1_000)), Some(1));
/// assert!(budget.take(ClockTime::from_ms(1_000)));
/// ```
#[derive(Clone, Debug)]
pub struct LineBudget {
    lines_per_s: u32,
    began: ClockTime,
    used: u32,
    left_out: u64,
}

impl LineBudget {
    /// Creates a budget of some lines a second.
    #[must_use]
    pub const fn new(lines_per_s: u32) -> Self {
        Self {
            lines_per_s,
            began: ClockTime::ZERO,
            used: 0,
            left_out: 0,
        }
    }

    /// Returns whether a line may be written, and counts it as left out when it may not.
    pub const fn take(&mut self, now: ClockTime) -> bool {
        if now.since_ms(self.began) >= SPAN_MS {
            self.began = now;
            self.used = 0;
        }
        if self.used < self.lines_per_s {
            self.used += 1;
            return true;
        }
        self.left_out += 1;
        false
    }

    /// Returns how many lines were left out, once the second in which that was is over.
    pub const fn take_left_out(&mut self, now: ClockTime) -> Option<u64> {
        if self.left_out == 0 || now.since_ms(self.began) < SPAN_MS {
            return None;
        }
        let count = self.left_out;
        self.left_out = 0;
        Some(count)
    }
}
