use model::{RefusalReason, ServiceName};

/// Why a request isn't sent on its way.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{} at service \"{service}\", try again in {retry_after_ms} ms", reason.as_str())]
pub struct ChainRefusal {
    /// The reason: [`RefusalReason::Overloaded`] or [`RefusalReason::TooLate`].
    pub reason: RefusalReason,
    /// The service on the way that is the cause.
    pub service: ServiceName,
    /// The least time after which the caller may come back, in milliseconds; what it is told comes
    /// from [`ChainAdmission::return_after_ms`](crate::ChainAdmission::return_after_ms).
    pub retry_after_ms: u64,
}
