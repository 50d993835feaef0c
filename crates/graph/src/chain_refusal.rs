use model::{RefusalReason, ServiceName};

/// Why a request is refused at the entry of its chain.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{} at service \"{service}\", try again in {retry_after_ms} ms", reason.as_str())]
pub struct ChainRefusal {
    /// The reason: [`RefusalReason::Overloaded`] or [`RefusalReason::TooLate`].
    pub reason: RefusalReason,
    /// The service of the chain that caused the refusal.
    pub service: ServiceName,
    /// The shortest retry delay, in milliseconds; the delay sent to the caller comes from
    /// [`ChainAdmission::retry_after_ms`](crate::ChainAdmission::retry_after_ms).
    pub retry_after_ms: u64,
}
