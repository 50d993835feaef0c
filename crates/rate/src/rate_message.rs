use model::{TeamName, VmName};
use serde::{Deserialize, Serialize};

/// The tokens of a team that a node requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamName,
    /// The number of tokens requested.
    pub tokens: u32,
}

/// The tokens of a team that an allocator grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamGrant {
    /// The team.
    pub team: TeamName,
    /// The number of tokens granted; it may be less than requested.
    pub tokens: u32,
    /// The time until the allocator expects to have another token, in milliseconds.
    pub next_ms: u32,
}

/// Ends a team's grant before it expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantClose {
    /// The sequence number of the request that was granted.
    pub seq: u64,
    /// The team.
    pub team: TeamName,
    /// The unspent tokens, which the sender no longer spends.
    pub returned: u32,
}

/// A message between the limiters of two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateMessage {
    /// Requests tokens from an allocator.
    #[serde(rename = "Ask")]
    Request {
        /// The slot of the teams.
        slot: u16,
        /// The sequence number of the request, increasing per sender.
        seq: u64,
        /// The longest lifetime that the grant needs, in milliseconds.
        life_ms: u64,
        /// The tokens requested, by team.
        #[serde(rename = "wants")]
        demands: Vec<TeamDemand>,
    },
    /// Answers [`RateMessage::Request`].
    Grant {
        /// The slot of the teams.
        slot: u16,
        /// The sequence number of the request.
        seq: u64,
        /// The lifetime of the grant, in milliseconds. The node that requested it counts from when
        /// it sent the request.
        life_ms: u64,
        /// The tokens granted, by team.
        grants: Vec<TeamGrant>,
    },
    /// Ends grants before they expire.
    Close {
        /// The slot of the teams.
        slot: u16,
        /// Grants that the sender received and has finished with.
        closes: Vec<GrantClose>,
        /// Requests that the sender has abandoned: it ignores a grant that still arrives for them.
        abandoned: Vec<u64>,
    },
    /// Requests a successor's promise not to take over the lease.
    #[serde(rename = "AskPromise")]
    RequestPromise {
        /// The slot of the lease.
        slot: u16,
        /// The sequence number of the request, increasing per sender.
        seq: u64,
    },
    /// Promises not to take over the lease for [`RateSettings::promise_ms`].
    ///
    /// [`RateSettings::promise_ms`]: crate::RateSettings::promise_ms
    Promise {
        /// The slot of the lease.
        slot: u16,
        /// The sequence number of the request.
        seq: u64,
        /// The node that promises.
        by: VmName,
    },
}
