use clock::ClockTime;

/// A past time on the node's own clock, which may lie before that clock's zero.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_streams::UpdateTime;
///
/// let time = UpdateTime::before(ClockTime::from_ms(10), 5_000);
/// assert_eq!(time.age_ms(ClockTime::from_ms(30)), 5_020);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateTime {
    counted_from: ClockTime,
    age_ms: u64,
}

impl UpdateTime {
    /// Creates a time from a reading of the node's own clock.
    #[must_use]
    pub const fn at(time: ClockTime) -> Self {
        Self::before(time, 0)
    }

    /// Returns the time `age_ms` milliseconds before `time`.
    #[must_use]
    pub const fn before(time: ClockTime, age_ms: u64) -> Self {
        Self {
            counted_from: time,
            age_ms,
        }
    }

    /// Returns the milliseconds elapsed since this time.
    #[must_use]
    pub const fn age_ms(&self, now: ClockTime) -> u64 {
        now.since_ms(self.counted_from).saturating_add(self.age_ms)
    }

    /// Returns the later of two times.
    #[must_use]
    pub fn latest(self, other: Self) -> Self {
        let now = self.counted_from.max(other.counted_from);
        if other.age_ms(now) < self.age_ms(now) {
            other
        } else {
            self
        }
    }
}
