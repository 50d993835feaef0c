use std::collections::BTreeMap;

use clock::ClockTime;
use model::{CentreName, TeamName, VmName};

use crate::team_share::{TeamShare, allocating_centres};
use crate::{LeaseEntry, LeaseRecord, RateRecord, SnapshotRecord, TableRecord, TeamEntry};

/// The lease in force for a slot in a data centre.
#[derive(Clone, Debug)]
pub(crate) struct LeaseState {
    pub(crate) record: LeaseRecord,
    pub(crate) offset: u64,
    pub(crate) read_at: ClockTime,
    /// Whether a later record may have been lost when the log came back without its last ones.
    pub(crate) is_returned: bool,
}

/// Records read by a node that can't read those before offset `first`.
#[derive(Clone, Debug)]
struct PartialHistory {
    first: u64,
    retained: Vec<(u64, RateRecord)>,
}

/// The state of one slot, folded from the records on the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseFold {
    tables: BTreeMap<u64, (TableRecord, ClockTime)>,
    leases: BTreeMap<CentreName, LeaseState>,
    first_epoch: Option<u64>,
    partial: Option<PartialHistory>,
    snapshot_at: Option<ClockTime>,
    reset_at: Option<ClockTime>,
    /// The tables known before the log came back, which other allocators may still enforce.
    carried_tables: Vec<TableRecord>,
    /// Whether the records from before the log came back are being read again.
    is_returning: bool,
}

impl LeaseFold {
    /// Starts again from the first record, as the log has come back without its last ones.
    ///
    /// The tables known so far stay in force beside those read from now on.
    pub(crate) fn go_back(&mut self) {
        let mut carried_tables = std::mem::take(&mut self.carried_tables);
        carried_tables.extend(self.tables.values().map(|(table, _)| table.clone()));
        *self = Self {
            first_epoch: Some(0),
            reset_at: self.reset_at,
            carried_tables,
            is_returning: true,
            ..Self::default()
        };
    }

    /// Records that the log has been read to its end after it came back.
    pub(crate) const fn finish_return(&mut self) {
        self.is_returning = false;
    }

    /// Drops the tables known before the log came back, when no grant under them can be valid.
    pub(crate) fn drop_carried_tables(&mut self) {
        self.carried_tables.clear();
    }

    /// Applies a record and returns whether it changed the state.
    pub(crate) fn apply(&mut self, now: ClockTime, offset: u64, record: &RateRecord) -> bool {
        match record {
            RateRecord::Reset(_) => {
                self.reset(now);
                return true;
            }
            RateRecord::Snapshot(snapshot) => return self.apply_snapshot(now, snapshot),
            RateRecord::Table(_) | RateRecord::Lease(_) => {}
        }
        if let Some(partial) = &mut self.partial {
            partial.retained.push((offset, record.clone()));
            return false;
        }
        match record {
            RateRecord::Table(table) => self.apply_table(now, table),
            RateRecord::Lease(lease) => self.apply_lease(now, offset, lease),
            RateRecord::Snapshot(_) | RateRecord::Reset(_) => false,
        }
    }

    /// Drops the state, as the records before `first` can't be read any more.
    pub(crate) fn lose_before(&mut self, first: u64) {
        let retained = Vec::new();
        *self = Self {
            partial: Some(PartialHistory { first, retained }),
            carried_tables: std::mem::take(&mut self.carried_tables),
            is_returning: self.is_returning,
            ..Self::default()
        };
    }

    /// Returns whether records are missing that no snapshot has replaced.
    pub(crate) const fn is_missing_records(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns when the slot was reset, if it was.
    pub(crate) const fn reset_at(&self) -> Option<ClockTime> {
        self.reset_at
    }

    /// Returns when the last snapshot was read.
    pub(crate) const fn snapshot_at(&self) -> Option<ClockTime> {
        self.snapshot_at
    }

    /// Returns the state, where `covers` is the offset of the next record.
    pub(crate) fn snapshot(&self, slot: u16, covers: u64) -> SnapshotRecord {
        let entry = |state: &LeaseState| LeaseEntry {
            offset: state.offset,
            lease: state.record.clone(),
        };
        SnapshotRecord {
            slot,
            covers,
            tables: self
                .tables
                .values()
                .map(|(table, _)| table.clone())
                .collect(),
            leases: self.leases.values().map(entry).collect(),
        }
    }

    fn reset(&mut self, now: ClockTime) {
        *self = Self {
            first_epoch: Some(0),
            reset_at: Some(now),
            carried_tables: std::mem::take(&mut self.carried_tables),
            is_returning: self.is_returning,
            ..Self::default()
        };
    }

    /// Applies a snapshot if it replaces the missing records.
    fn apply_snapshot(&mut self, now: ClockTime, snapshot: &SnapshotRecord) -> bool {
        self.snapshot_at = Some(now);
        let Some(partial) = self
            .partial
            .take_if(|partial| snapshot.covers >= partial.first)
        else {
            return false;
        };
        let tables = snapshot.tables.iter();
        self.tables = tables
            .map(|table| (table.epoch, (table.clone(), now)))
            .collect();
        let state = |entry: &LeaseEntry| LeaseState {
            record: entry.lease.clone(),
            offset: entry.offset,
            read_at: now,
            is_returned: self.is_returning,
        };
        let leases = snapshot.leases.iter();
        self.leases = leases
            .map(|entry| (entry.lease.centre.clone(), state(entry)))
            .collect();
        self.first_epoch = Some(0);
        for (offset, record) in &partial.retained {
            if *offset >= snapshot.covers {
                self.apply(now, *offset, record);
            }
        }
        true
    }

    fn apply_table(&mut self, now: ClockTime, table: &TableRecord) -> bool {
        let is_next = self.table().is_none_or(|last| {
            table.epoch == last.epoch + 1 && table.contract_version >= last.contract_version
        });
        if is_next {
            self.tables.insert(table.epoch, (table.clone(), now));
        }
        is_next
    }

    fn apply_lease(&mut self, now: ClockTime, offset: u64, lease: &LeaseRecord) -> bool {
        let last = self.leases.get(&lease.centre);
        let follows = last.map(|state| state.offset) == lease.base;
        let is_renewal = last.is_some_and(|state| {
            state.record.holder == lease.holder && lease.epoch >= state.record.epoch
        });
        let is_current = self.table().is_some_and(|table| table.epoch == lease.epoch);
        if !follows || !(is_renewal || is_current) {
            return false;
        }
        let state = LeaseState {
            record: lease.clone(),
            offset,
            read_at: now,
            is_returned: self.is_returning,
        };
        self.leases.insert(lease.centre.clone(), state);
        self.first_epoch.get_or_insert(lease.epoch);
        let oldest = self.oldest_epoch_in_use();
        self.tables.retain(|epoch, _| *epoch >= oldest);
        true
    }

    /// Returns the newest table.
    pub(crate) fn table(&self) -> Option<&TableRecord> {
        self.tables.values().next_back().map(|(table, _)| table)
    }

    /// Returns the newest epoch whose table has been known for `age_ms`.
    pub(crate) fn settled_epoch(&self, now: ClockTime, age_ms: u64) -> u64 {
        let is_settled = |at: ClockTime| now.since_ms(at) >= age_ms;
        let settled = self
            .tables
            .iter()
            .rev()
            .find(|(_, (_, at))| is_settled(*at));
        settled.map_or(0, |(epoch, _)| *epoch)
    }

    /// Returns the lease of a data centre.
    pub(crate) fn lease(&self, centre: &CentreName) -> Option<&LeaseState> {
        self.leases.get(centre)
    }

    /// Returns all leases.
    pub(crate) const fn leases(&self) -> &BTreeMap<CentreName, LeaseState> {
        &self.leases
    }

    /// Returns whether no tokens of a data centre's share can have been granted before its lease.
    ///
    /// This holds when the lease is the data centre's first and all leases of the slot so far were
    /// under the same table.
    pub(crate) fn is_never_granted(&self, centre: &CentreName) -> bool {
        let newest = self.table().map(|table| table.epoch);
        let is_first = self
            .leases
            .get(centre)
            .is_some_and(|state| state.record.base.is_none());
        is_first && newest.is_some() && newest == self.first_epoch
    }

    /// Returns the allocator of a data centre, unless it has stepped down.
    pub(crate) fn holder(&self, centre: &CentreName) -> Option<&VmName> {
        let record = &self.leases.get(centre)?.record;
        record.holder.as_ref().filter(|_| record.released.is_none())
    }

    /// Returns whether a data centre's lease isn't vacant, so its tokens may be in use.
    pub(crate) fn is_held(&self, centre: &CentreName) -> bool {
        let state = self.leases.get(centre);
        state.is_some_and(|state| state.record.holder.is_some())
    }

    /// Returns the smallest share over all tables that other allocators may still enforce.
    pub(crate) fn share(&self, team: &TeamName, centre: &CentreName) -> TeamShare {
        let tables = self.tables.values().map(|(table, _)| table);
        let shares = tables
            .chain(&self.carried_tables)
            .map(|table| TeamShare::of(table, team, centre));
        shares.reduce(TeamShare::min).unwrap_or_default()
    }

    /// Returns the data centres that allocate each team's tokens according to the newest table.
    pub(crate) fn allocating_centres(&self) -> BTreeMap<TeamName, Vec<CentreName>> {
        let table = self.table();
        let teams = table.into_iter().flat_map(|table| {
            let centres = |entry: &TeamEntry| allocating_centres(table, &entry.team, entry.rate);
            let teams = table.teams.iter();
            teams.map(move |entry| (entry.team.clone(), centres(entry)))
        });
        teams
            .map(|(team, centres)| (team, centres.into_iter().cloned().collect()))
            .collect()
    }

    /// Returns whether no table but that of `epoch` may be in force.
    pub(crate) fn is_only_table(&self, epoch: u64) -> bool {
        self.tables.keys().all(|other| *other == epoch)
    }

    /// Returns the oldest epoch that an allocator may still enforce.
    fn oldest_epoch_in_use(&self) -> u64 {
        let held = self
            .leases
            .values()
            .filter(|state| state.record.holder.is_some());
        let newest = self.table().map_or(0, |table| table.epoch);
        held.map(|state| state.record.epoch).min().unwrap_or(newest)
    }
}
