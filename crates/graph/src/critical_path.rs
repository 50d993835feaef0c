use model::ServiceName;

/// The chain of dependencies that takes the longest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CriticalPath {
    /// The services, from the topmost to the lowest.
    pub services: Vec<ServiceName>,
    /// The sum of their own times, in milliseconds.
    pub time_ms: u64,
}
