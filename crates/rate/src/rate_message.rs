use model::{TeamName, VmName};
use serde::{Deserialize, Serialize};

/// How many tokens of a team a node asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamWant {
    /// The team.
    pub team: TeamName,
    /// Tokens wanted.
    pub tokens: u32,
}

/// How many tokens of a team an allocator grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamGrant {
    /// The team.
    pub team: TeamName,
    /// Tokens granted.
    pub tokens: u32,
    /// When the next token is expected here, in milliseconds.
    pub next_ms: u32,
}

/// The end of a team's grant before its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantClose {
    /// The number of the ask that was granted.
    pub seq: u64,
    /// The team.
    pub team: TeamName,
    /// Tokens that were not and will not be spent.
    pub returned: u32,
}

/// A message between the limiters of two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateMessage {
    /// Asks an allocator for tokens.
    Ask {
        /// The slot of the teams.
        slot: u16,
        /// The number of the ask, rising per sender.
        seq: u64,
        /// What is wanted.
        wants: Vec<TeamWant>,
    },
    /// Answers [`RateMessage::Ask`].
    Grant {
        /// The slot of the teams.
        slot: u16,
        /// The number of the ask.
        seq: u64,
        /// The life of the grant, counted by the holder from its ask, in milliseconds.
        life_ms: u64,
        /// What is granted.
        grants: Vec<TeamGrant>,
    },
    /// Ends grants before their time.
    Close {
        /// The slot of the teams.
        slot: u16,
        /// Grants that were received.
        closes: Vec<GrantClose>,
        /// Asks whose answer, should it still come, will not be used.
        abandoned: Vec<u64>,
    },
    /// Asks a successor not to take over.
    AskPromise {
        /// The slot of the lease.
        slot: u16,
        /// The number of the ask, rising per sender.
        seq: u64,
    },
    /// Promises not to take over for a while.
    Promise {
        /// The slot of the lease.
        slot: u16,
        /// The number of the ask.
        seq: u64,
        /// The node that promises.
        by: VmName,
    },
}
