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

/// Tokens of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamTokens {
    /// The team.
    pub team: TeamName,
    /// Whole tokens.
    pub tokens: u32,
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
    /// What the holder leaves to the next one when it steps down; it grants nothing any more.
    pub released: Option<Vec<TeamTokens>>,
}

/// A lease in force and where it stands on the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// The offset of the record.
    pub offset: u64,
    /// The lease.
    pub lease: LeaseRecord,
}

/// What the stream says of a slot up to some offset, for readers who lack older records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The slot.
    pub slot: u16,
    /// The offset of the first record that is left out.
    pub covers: u64,
    /// The tables that may be in force, oldest first.
    pub tables: Vec<TableRecord>,
    /// The newest lease of each data centre.
    pub leases: Vec<LeaseEntry>,
}

/// A record on the stream of rate records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateRecord {
    /// A table of shares.
    Table(TableRecord),
    /// A lease, a renewal or a take-over.
    Lease(LeaseRecord),
    /// The state of a slot.
    Snapshot(SnapshotRecord),
    /// Begins a slot anew, when its whole state has gone from the stream.
    Reset(u16),
}

impl RateRecord {
    /// Returns the slot that the record is about.
    #[must_use]
    pub const fn slot(&self) -> u16 {
        match self {
            Self::Table(table) => table.slot,
            Self::Lease(lease) => lease.slot,
            Self::Snapshot(snapshot) => snapshot.slot,
            Self::Reset(slot) => *slot,
        }
    }
}
