use serde::{Deserialize, Serialize};

/// Why a node refused or gave up on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The request came without a key, on a route that isn't open to all.
    KeyMissing,
    /// The key isn't known or was withdrawn.
    KeyUnknown,
    /// The node has heard nothing for so long that it trusts no key.
    KeysStale,
    /// The team is over its rate and burst.
    OverRate,
    /// No service or call of the contract matches the request.
    NoSuchCall,
    /// The service is shedding calls of this importance.
    Overloaded,
    /// The team uses more than its share of a service that is shedding.
    OverShare,
    /// The request can't be finished before its deadline.
    TooLate,
    /// The deadline passed while the request ran.
    DeadlinePassed,
    /// No backend server of the service can take the request.
    NoBackend,
    /// The link to the backend server broke.
    LinkBroken,
    /// The backend server turned the request away without running it.
    BackendBusy,
    /// The backend server failed while the request ran.
    BackendFailed,
    /// The request has crashed backend servers.
    Quarantined,
    /// A request with this idempotency key has run or may have run.
    Duplicate,
    /// The claim of a request that must run at most once can't be recorded now.
    ClaimUnavailable,
    /// The request must run at most once and came without an idempotency key.
    IdempotencyKeyMissing,
    /// The node is leaving or has no contract yet.
    NotReady,
    /// The request is malformed.
    BadRequest,
}

impl RefusalReason {
    /// All reasons, for bounded metric labels and documentation.
    pub const ALL: [Self; 19] = [
        Self::KeyMissing,
        Self::KeyUnknown,
        Self::KeysStale,
        Self::OverRate,
        Self::NoSuchCall,
        Self::Overloaded,
        Self::OverShare,
        Self::TooLate,
        Self::DeadlinePassed,
        Self::NoBackend,
        Self::LinkBroken,
        Self::BackendBusy,
        Self::BackendFailed,
        Self::Quarantined,
        Self::Duplicate,
        Self::ClaimUnavailable,
        Self::IdempotencyKeyMissing,
        Self::NotReady,
        Self::BadRequest,
    ];

    /// Returns whether the reason is that there was too little room or time.
    #[must_use]
    pub const fn is_load(self) -> bool {
        matches!(
            self,
            Self::Overloaded
                | Self::OverShare
                | Self::TooLate
                | Self::DeadlinePassed
                | Self::BackendBusy
        )
    }

    /// Returns the name used in problem documents, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::KeyMissing => "key-missing",
            Self::KeyUnknown => "key-unknown",
            Self::KeysStale => "keys-stale",
            Self::OverRate => "over-rate",
            Self::NoSuchCall => "no-such-call",
            Self::Overloaded => "overloaded",
            Self::OverShare => "over-share",
            Self::TooLate => "too-late",
            Self::DeadlinePassed => "deadline-passed",
            Self::NoBackend => "no-backend",
            Self::LinkBroken => "link-broken",
            Self::BackendBusy => "backend-busy",
            Self::BackendFailed => "backend-failed",
            Self::Quarantined => "quarantined",
            Self::Duplicate => "duplicate",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::IdempotencyKeyMissing => "idempotency-key-missing",
            Self::NotReady => "not-ready",
            Self::BadRequest => "bad-request",
        }
    }

    /// Returns the HTTP status that callers see.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::KeyMissing | Self::KeyUnknown => 401,
            Self::NoSuchCall => 404,
            Self::Duplicate => 409,
            Self::Quarantined => 422,
            Self::OverRate | Self::OverShare => 429,
            Self::IdempotencyKeyMissing | Self::BadRequest => 400,
            Self::BackendFailed | Self::LinkBroken => 502,
            Self::KeysStale
            | Self::Overloaded
            | Self::NoBackend
            | Self::BackendBusy
            | Self::ClaimUnavailable
            | Self::NotReady => 503,
            Self::TooLate | Self::DeadlinePassed => 504,
        }
    }
}
