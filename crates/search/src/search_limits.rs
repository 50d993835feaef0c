/// The bounds of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchLimits {
    /// The largest number of events in a sequence.
    pub max_depth: usize,
    /// The largest number of distinct states to visit.
    pub max_states: usize,
}

impl Default for SearchLimits {
    fn default() -> Self {
        Self {
            max_depth: 100,
            max_states: 1_000_000,
        }
    }
}
