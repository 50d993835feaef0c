use serde::{Deserialize, Serialize};

/// Why a node refused or gave up on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The request has no API key, and its route or call requires one.
    KeyMissing,
    /// The API key is unknown or has been withdrawn.
    KeyUnknown,
    /// The node's copy of the keys is too old to be trusted, since it has received no updates.
    KeysStale,
    /// The team has used up its rate and burst.
    OverRate,
    /// No service or call of the contract matches the request.
    NoSuchCall,
    /// The service is overloaded and sheds requests of this importance.
    Overloaded,
    /// The service is overloaded, and the team uses more than its share of it.
    OverShare,
    /// The request is not expected to finish before its deadline.
    TooLate,
    /// The deadline passed while the request was running.
    DeadlinePassed,
    /// No backend server of the service is available.
    NoBackend,
    /// The connection to the backend server's node broke.
    LinkBroken,
    /// The backend server rejected the request without running it.
    BackendBusy,
    /// The backend server failed while running the request.
    BackendFailed,
    /// Identical requests have crashed backend servers.
    Quarantined,
    /// A request with this idempotency key has run or may have run already.
    Duplicate,
    /// The claim of a request that must run at most once can't be recorded at present.
    ClaimUnavailable,
    /// The request must run at most once, but has no idempotency key.
    IdempotencyKeyMissing,
    /// The node is shutting down or has no contract yet.
    NotReady,
    /// The request is malformed.
    BadRequest,
    /// The backend server accepts fewer requests at present than it is sent.
    BackendLimited,
    /// The call would have to wait on this VM, and the calling node knows of another one with room.
    Moved,
}

impl RefusalReason {
    /// All reasons: the values of the metric label, and the rows of the documentation.
    pub const ALL: [Self; 21] = [
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
        Self::BackendLimited,
        Self::Moved,
    ];

    /// Returns whether the request was refused for lack of capacity or time.
    #[must_use]
    pub const fn is_overload(self) -> bool {
        matches!(
            self,
            Self::Overloaded
                | Self::OverShare
                | Self::TooLate
                | Self::DeadlinePassed
                | Self::BackendBusy
                | Self::BackendLimited
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
            Self::BackendLimited => "backend-limited",
            Self::Moved => "moved",
        }
    }

    /// Returns the HTTP status of the answer to the caller.
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
            | Self::BackendLimited
            | Self::Moved
            | Self::ClaimUnavailable
            | Self::NotReady => 503,
            Self::TooLate | Self::DeadlinePassed => 504,
        }
    }
}
