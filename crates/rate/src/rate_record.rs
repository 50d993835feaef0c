use model::{CentreName, TeamName, VmName};
use serde::{Deserialize, Serialize};

use crate::TeamRate;

/// The rate of one team in a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamEntry {
    /// The team.
    pub team: TeamName,
    /// Its rate and burst over all VMs.
    pub rate: TeamRate,
}

/// How the teams of a slot are split between data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRecord {
    /// The slot.
    pub slot: u16,
    /// One more than the epoch that this table follows.
    pub epoch: u64,
    /// The version of the contract that the rates come from.
    pub contract_version: u64,
    /// The data centres with a share.
    pub centres: Vec<CentreName>,
    /// The teams.
    pub teams: Vec<TeamEntry>,
}

/// Who allocates the tokens of a slot in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The slot.
    pub slot: u16,
    /// The data centre.
    pub centre: CentreName,
    /// The offset of the lease record that this one follows.
    pub base: Option<u64>,
    /// The allocator, or nobody.
    pub holder: Option<VmName>,
    /// The nodes that may take over.
    pub successors: Vec<VmName>,
    /// Tells apart the records of one holder.
    pub renewal: u64,
    /// The newest table that the holder abides by.
    pub epoch: u64,
}

/// A record on the stream of rate records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateRecord {
    /// A table of shares.
    Table(TableRecord),
    /// A lease, a renewal or a take-over.
    Lease(LeaseRecord),
}
