use std::fmt;

use serde::{Deserialize, Serialize};

/// A moment on one process's monotonic clock, in milliseconds since an arbitrary start.
///
/// Moments of different processes can't be compared; what crosses a link is a span.
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

    /// Creates a moment from milliseconds since the start of the clock.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the start of the clock.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the moment `span_ms` milliseconds later, or the end of the clock.
    #[must_use]
    pub const fn plus_ms(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Returns the moment `span_ms` milliseconds earlier, or the start of the clock.
    #[must_use]
    pub const fn minus_ms(self, span_ms: u64) -> Self {
        Self(self.0.saturating_sub(span_ms))
    }

    /// Returns the milliseconds since `earlier`, or 0 when `earlier` is still to come.
    #[must_use]
    pub const fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds left until `later`, or 0 when it has passed.
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
