//! Proposes records for slots: snapshots, tables and vacated leases.

use clock::ClockTime;
use model::CentreName;

use super::{RANK_STAGGER_MS, TeamLimiter};
use crate::lease_fold::LeaseFold;
use crate::{LeaseRecord, RateAction, RateRecord, TableRecord};

/// The number of snapshot intervals without a snapshot after which a node without state resets a
/// slot.
const MISSED_SNAPSHOTS: u64 = 3;

impl TeamLimiter {
    /// Appends snapshots before older records expire, and resets slots whose records all have.
    pub(super) fn append_snapshots(&mut self, now: ClockTime, emitted: &mut Vec<RateAction>) {
        for slot in 0..self.settings.slots {
            let tried_at = self.snapshots_tried.get(&slot);
            if tried_at.is_some_and(|time| now.since_ms(*time) < RANK_STAGGER_MS) {
                continue;
            }
            if let Some(record) = self.next_snapshot(now, slot) {
                self.snapshots_tried.insert(slot, now);
                emitted.push(RateAction::Append(record));
            }
        }
    }

    fn next_snapshot(&self, now: ClockTime, slot: u16) -> Option<RateRecord> {
        let fold = self.folds.get(&slot)?;
        let caught_up_at = self.caught_up_at?;
        let silent_ms = now.since_ms(fold.snapshot_at().unwrap_or(caught_up_at));
        if fold.is_missing_records() {
            let rank = self.ranks.get(&slot)?.own?;
            let wait_ms = MISSED_SNAPSHOTS * self.settings.snapshot_ms + RANK_STAGGER_MS * rank;
            let is_lost = now.since_ms(caught_up_at) >= wait_ms && silent_ms >= wait_ms;
            return is_lost.then_some(RateRecord::Reset(slot));
        }
        if !self.allocators.get(&slot)?.may_grant(now, fold) {
            return None;
        }
        let rank = fold.leases().keys().position(|c| *c == self.centre)? as u64;
        let is_due = silent_ms >= self.settings.snapshot_ms + RANK_STAGGER_MS * rank;
        is_due.then(|| RateRecord::Snapshot(fold.snapshot(slot, self.next_offset)))
    }

    /// Appends a table where the contract or the data centres changed.
    pub(super) fn propose_tables(&mut self, now: ClockTime, emitted: &mut Vec<RateAction>) {
        let Some(version) = self.version.filter(|_| self.caught_up_at.is_some()) else {
            return;
        };
        for slot in 0..self.settings.slots {
            let tried_at = self.tables_tried.get(&slot);
            if tried_at.is_some_and(|time| now.since_ms(*time) < RANK_STAGGER_MS) {
                continue;
            }
            if let Some(table) = self.next_table(now, slot, version) {
                self.tables_tried.insert(slot, now);
                emitted.push(RateAction::Append(RateRecord::Table(table)));
            }
        }
    }

    fn next_table(&self, now: ClockTime, slot: u16, version: u64) -> Option<TableRecord> {
        let fold = self.folds.get(&slot)?;
        let teams = self.teams.get(&slot).cloned().unwrap_or_default();
        if fold.is_missing_records() {
            return None;
        }
        let Some(last) = fold.table() else {
            let is_carrying = self.allocators.get(&slot)?.is_carrying();
            let may_claim = is_carrying || self.claim_at(slot).is_some_and(|time| time <= now);
            return (may_claim && !teams.is_empty()).then(|| TableRecord {
                slot,
                epoch: 1,
                contract_version: version,
                centres: self.live_centres.iter().cloned().collect(),
                teams,
            });
        };
        if !self.allocators.get(&slot)?.may_grant(now, fold) {
            return None;
        }
        let is_newer = version > last.contract_version;
        let next = TableRecord {
            slot,
            epoch: last.epoch + 1,
            contract_version: version.max(last.contract_version),
            centres: self.next_centres(fold, last),
            teams: if is_newer { teams } else { last.teams.clone() },
        };
        (next.teams != last.teams || next.centres != last.centres).then_some(next)
    }

    /// Returns the live data centres and those whose lease isn't vacant.
    fn next_centres(&self, fold: &LeaseFold, last: &TableRecord) -> Vec<CentreName> {
        let mut centres = self.live_centres.clone();
        let held = last.centres.iter().filter(|centre| fold.is_held(centre));
        centres.extend(held.cloned());
        centres.into_iter().collect()
    }

    /// Vacates the leases of data centres without nodes once no grant under them can be valid.
    pub(super) fn vacate_leases(&self, now: ClockTime, emitted: &mut Vec<RateAction>) {
        let settings = &self.settings;
        let life_ms =
            settings.longer_ms(settings.abandon_ms) + settings.longer_ms(settings.grant_ms);
        for (slot, fold) in &self.folds {
            let is_ours = self
                .allocators
                .get(slot)
                .is_some_and(|a| a.may_grant(now, fold));
            let Some(epoch) = fold.table().map(|table| table.epoch).filter(|_| is_ours) else {
                continue;
            };
            for (centre, state) in fold.leases() {
                let is_over = now.since_ms(state.read_at) >= life_ms;
                if self.live_centres.contains(centre) || state.record.holder.is_none() || !is_over {
                    continue;
                }
                emitted.push(RateAction::Append(RateRecord::Lease(LeaseRecord {
                    slot: *slot,
                    centre: centre.clone(),
                    base: Some(state.offset),
                    holder: None,
                    successors: Vec::new(),
                    renewal: 0,
                    epoch,
                    released: None,
                })));
            }
        }
    }
}
