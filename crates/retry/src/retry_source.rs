/// A limit on the retries of a route, from which each retry is taken.
pub trait RetrySource {
    /// Returns whether a retry is left.
    fn has_retry(&self) -> bool;

    /// Spends a retry, or returns `false` when none is left.
    fn spend(&mut self) -> bool;
}
