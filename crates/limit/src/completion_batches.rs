/// The weight of the newest round in the moving average.
const MEAN_GAIN: f64 = 0.1;

/// Measures how many runs a node finds ended in one round of its event loop.
///
/// A node short of processor time runs its loop seldom and then finds many runs ended at once.
/// Until it does, it counts them all as running, although their slots at the backend server are
/// already idle.
///
/// # Examples
///
/// ```
/// use lentilshift_limit::CompletionBatches;
///
/// let mut batches = CompletionBatches::default();
/// for round in 0..50 {
///     for _ in 0..8 {
///         batches.record_completion(round);
///     }
/// }
/// assert_eq!(batches.mean_excess(), 6);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CompletionBatches {
    round: u64,
    completions: u32,
    mean: f64,
}

impl CompletionBatches {
    /// Records that a run was found ended in a round of the node's event loop.
    pub fn record_completion(&mut self, round: u64) {
        if round != self.round {
            self.mean += MEAN_GAIN * (f64::from(self.completions) - self.mean);
            self.round = round;
            self.completions = 0;
        }
        self.completions += 1;
    }

    /// Returns the mean number of runs found ended in one round, beyond the first.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the mean is small and never negative"
    )]
    pub fn mean_excess(&self) -> u32 {
        (self.mean - 1.0).max(0.0) as u32
    }
}
