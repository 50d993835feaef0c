/// What pays for the retries of a route.
pub trait RetrySource {
    /// Returns whether a retry is left.
    fn has_retry(&self) -> bool;

    /// Spends a retry, or returns `false` when none is left.
    fn spend(&mut self) -> bool;
}
