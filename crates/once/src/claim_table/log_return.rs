//! Claims after the log has come back without its last records.

use std::collections::BTreeMap;

use clock::ClockTime;
use model::{RefusalReason, VmName};

use super::ClaimTable;
use crate::claim_maintenance::ClaimMaintenance;
use crate::local_attempts::{EndState, LocalState};
use crate::{ClaimAction, ClaimBody, ClaimEntry, ClaimFold, ClaimRecord, HeldClaim, KeyDigest};

/// What is known from before the log came back without its last records.
#[derive(Clone, Debug, Default)]
pub(super) struct LogReturn {
    /// The claims that were read before and haven't been read again.
    pub(super) carried: BTreeMap<KeyDigest, HeldClaim>,
    /// Whether the log has to be read to its end before claims can be decided.
    pub(super) is_reading: bool,
    /// Until when a key without a known claim can't be claimed.
    guard_until: ClockTime,
    /// When claims that are missing from the log are written again.
    rewrite_at: ClockTime,
    /// When this node also does so for the claims of other nodes, which may have ended.
    rewrite_others_at: ClockTime,
}

impl ClaimTable {
    /// Starts again from the first record of the stream, as the log has come back without its last
    /// ones.
    ///
    /// No attempt that hasn't started runs any more. All claims known so far stay binding, and are
    /// written again unless they are still on the log. Keys without a known claim can't be claimed
    /// until the other nodes have had the time for that too.
    pub fn go_back(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        for attempt in self.local.in_state(|state| state != LocalState::Running) {
            self.refuse(now, attempt, RefusalReason::ClaimUnavailable, actions);
        }
        let fold = std::mem::replace(&mut self.fold, ClaimFold::new(0));
        let mut carried = std::mem::take(&mut self.log_return.carried);
        let has_ended = |claim: &HeldClaim| {
            claim.vm == self.vm && self.local.ended(claim.attempt) == Some(EndState::NotRun)
        };
        carried.extend(fold.into_claims().filter(|(_, claim)| !has_ended(claim)));
        self.log_return = LogReturn {
            carried,
            is_reading: true,
            guard_until: now.plus_ms(self.settings.return_guard_ms),
            rewrite_at: now,
            rewrite_others_at: now.plus_ms(self.settings.rewrite_ms),
        };
        self.maintenance = ClaimMaintenance::default();
        self.maintenance.complete_at = now.plus_ms(self.settings.horizon_ms);
        self.schedule_snapshot(now);
    }

    /// Records that the stream has been read to its end.
    pub fn log_caught_up(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        if std::mem::take(&mut self.log_return.is_reading) {
            self.rewrite_claims(now, actions);
        }
    }

    /// Returns the number of claims from before the log came back that haven't been read again.
    #[must_use]
    pub fn carried_claims(&self) -> usize {
        self.log_return.carried.len()
    }

    /// Returns the claim that owns a key, on the log or from before it came back.
    pub(super) fn owner(&self, key: KeyDigest) -> Option<&HeldClaim> {
        let carried = || self.log_return.carried.get(&key);
        self.fold.owner(key).or_else(carried)
    }

    /// Returns whether a key without a known claim may have one that the log has lost.
    pub(super) fn is_guarded(&self, now: ClockTime) -> bool {
        self.log_return.is_reading || now < self.log_return.guard_until
    }

    /// Forgets a claim from before the log came back once it has been read again.
    pub(super) fn drop_carried(&mut self, key: KeyDigest) {
        let owner = self.fold.owner(key).map(|claim| claim.attempt);
        let carried = self.log_return.carried.get(&key);
        if carried.is_some_and(|claim| Some(claim.attempt) == owner) {
            self.log_return.carried.remove(&key);
        }
    }

    /// Returns when claims are written again, if any are missing from the log.
    pub(super) fn next_rewrite(&self) -> Option<ClockTime> {
        let is_due = !self.log_return.is_reading && !self.log_return.carried.is_empty();
        is_due.then_some(self.log_return.rewrite_at)
    }

    /// Writes the claims again that the log has lost: at first those of this node, later those of
    /// all nodes.
    pub(super) fn rewrite_claims(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        if self.next_rewrite().is_none_or(|time| now < time) {
            return;
        }
        self.log_return.rewrite_at = now.plus_ms(self.settings.rewrite_ms);
        let is_for_all = now >= self.log_return.rewrite_others_at;
        let mut entries: BTreeMap<VmName, Vec<ClaimEntry>> = BTreeMap::new();
        for (key, claim) in &self.log_return.carried {
            let is_missing = self.fold.owner(*key).is_none();
            if is_missing && (is_for_all || claim.vm == self.vm) {
                let entry = ClaimEntry::Claim {
                    key: *key,
                    attempt: claim.attempt,
                    fingerprint: claim.fingerprint,
                };
                entries.entry(claim.vm.clone()).or_default().push(entry);
            }
        }
        let batch_entries = self.settings.batch_entries.max(1);
        for (vm, entries) in entries {
            for batch in entries.chunks(batch_entries) {
                let record = self.new_record(ClaimBody::Batch(batch.to_vec()));
                let vm = vm.clone();
                actions.push(ClaimAction::Append(ClaimRecord { vm, ..record }));
            }
        }
    }
}
