use model::{CentreName, TeamName, VmName};
use serde::{Deserialize, Serialize};

use crate::TeamRate;

/// The rate limit of one team in a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamEntry {
    /// The team.
    pub team: TeamName,
    /// Its rate and burst, over all VMs together.
    pub rate: TeamRate,
}

/// The teams of a slot and the data centres among which their rates are split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRecord {
    /// The slot.
    pub slot: u16,
    /// The number of this table, one more than that of the table that it replaces.
    pub epoch: u64,
    /// The version of the contract that the rates come from.
    pub contract_version: u64,
    /// The data centres among which the rates are split.
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

/// The lease on a slot in a data centre, whose holder allocates the slot's tokens there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The slot.
    pub slot: u16,
    /// The data centre.
    pub centre: CentreName,
    /// The offset of the lease record that this one follows.
    pub base: Option<u64>,
    /// The allocator, or `None` when the lease is vacant.
    pub holder: Option<VmName>,
    /// The nodes that may take over before the lease counts as abandoned, in order of preference.
    pub successors: Vec<VmName>,
    /// The number of the record among those of one holder.
    pub renewal: u64,
    /// The epoch of the newest table that the holder enforces.
    pub epoch: u64,
    /// The tokens that the holder passes on to the next one when it steps down, after which it
    /// grants none. `None` while it hasn't stepped down.
    pub released: Option<Vec<TeamTokens>>,
}

/// A lease in force and its offset on the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// The offset of the record.
    pub offset: u64,
    /// The lease.
    pub lease: LeaseRecord,
}

/// The state of a slot up to an offset of the stream, for readers that can't read older records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The slot.
    pub slot: u16,
    /// The offset of the first record that isn't included.
    pub covers: u64,
    /// The tables that may be in force, oldest first.
    pub tables: Vec<TableRecord>,
    /// The newest lease of each data centre.
    pub leases: Vec<LeaseEntry>,
}

/// A record on the stream of rate records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateRecord {
    /// A new table of teams and data centres.
    Table(TableRecord),
    /// A new, renewed, taken-over, released or vacated lease.
    Lease(LeaseRecord),
    /// A snapshot of a slot's state.
    Snapshot(SnapshotRecord),
    /// Resets a slot to an empty state, after all records of its state have expired.
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
