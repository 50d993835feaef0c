use std::fmt;

use serde::{Deserialize, Serialize};

/// A time of a process's monotonic clock, in milliseconds since an arbitrary start.
///
/// Times of different processes can't be compared; messages between nodes carry durations instead.
///
/// # Examples
///
/// ```
/// use lentilshift_clock::ClockTime;
///
/// let start = ClockTime::from_ms(1_000);
/// let later = start.plus_ms(250);
/// assert_eq!(later.since_ms(start), 250);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a time from the milliseconds since the start of the clock.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the start of the clock.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the time `span_ms` milliseconds later, saturating at the maximum.
    #[must_use]
    pub const fn plus_ms(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Returns the time `span_ms` milliseconds earlier, saturating at the start of the clock.
    #[must_use]
    pub const fn minus_ms(self, span_ms: u64) -> Self {
        Self(self.0.saturating_sub(span_ms))
    }

    /// Returns the milliseconds since `earlier`, or 0 if `earlier` is in the future.
    #[must_use]
    pub const fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds until `later`, or 0 if `later` is in the past.
    #[must_use]
    pub const fn until_ms(self, later: Self) -> u64 {
        later.0.saturating_sub(self.0)
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
