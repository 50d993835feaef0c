/// The weight of the newest round in the mean.
const ROUND_GAIN: f64 = 0.1;

/// Counts how many runs a node finds ended each time it looks.
///
/// Load pattern: a node that is short of processor time looks seldom, and finds many runs ended at
/// once. Their slots at the backend server stood idle since, and nothing shows it: all are counted
/// as running until the node looks.
///
/// # Examples
///
/// ```
/// use lentilshift_limit::EndBatches;
///
/// let mut batches = EndBatches::default();
/// for round in 0..50 {
///     for _ in 0..8 {
///         batches.note_end(round);
///     }
/// }
/// assert_eq!(batches.mean_beyond_one(), 6);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EndBatches {
    round: u64,
    ends: u32,
    mean: f64,
}

impl EndBatches {
    /// Notes that a run has ended, as found in a round of the node's loop.
    pub fn note_end(&mut self, round: u64) {
        if round != self.round {
            self.mean += ROUND_GAIN * (f64::from(self.ends) - self.mean);
            self.round = round;
            self.ends = 0;
        }
        self.ends += 1;
    }

    /// Returns how many runs beside the first are found ended at once, in the mean.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the mean is small and never negative"
    )]
    pub fn mean_beyond_one(&self) -> u32 {
        (self.mean - 1.0).max(0.0) as u32
    }
}
