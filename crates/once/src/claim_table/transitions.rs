//! State transitions of single attempts, and appends of records.

use rand::Rng;

use clock::ClockTime;
use model::{AttemptId, RecordId, RefusalReason, RunVerdict};

use super::ClaimTable;
use crate::local_attempts::{EndState, LocalState};
use crate::{
    CallFingerprint, ClaimAction, ClaimBody, ClaimEntry, ClaimRecord, ClaimRefusal, HeldClaim,
    KeyDigest, SnapshotChunk, StoredAnswer,
};

impl ClaimTable {
    pub(super) fn is_key_reuse(&self, attempt: AttemptId, owner: &HeldClaim) -> bool {
        self.local
            .get(attempt)
            .is_some_and(|local| local.request.fingerprint != owner.fingerprint)
    }

    pub(super) fn join(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        fingerprint: CallFingerprint,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(local) = self.local.get(attempt) else {
            return;
        };
        if local.request.fingerprint == fingerprint {
            self.local.set_state(attempt, LocalState::Joined);
        } else {
            self.refuse_key_reuse(now, attempt, actions);
        }
    }

    pub(super) fn query_holder(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        owner: &HeldClaim,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(local) = self.local.get(attempt).copied() else {
            return;
        };
        if matches!(local.state, LocalState::QueryingHolder(asked, _) if asked == owner.attempt) {
            return;
        }
        let next_query_at = now.plus_ms(self.settings.query_interval_ms);
        self.local.set_state(
            attempt,
            LocalState::QueryingHolder(owner.attempt, next_query_at),
        );
        actions.push(ClaimAction::QueryHolder {
            attempt,
            vm: owner.vm.clone(),
            key: local.request.key,
            owner: owner.attempt,
        });
    }

    pub(super) fn repeat_queries(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        let is_due = |state| matches!(state, LocalState::QueryingHolder(_, time) if time <= now);
        for attempt in self.local.in_state(is_due) {
            self.local.set_state(attempt, LocalState::New);
            if let Some(local) = self.local.get(attempt).copied() {
                self.reconcile(now, local.request.key, actions);
            }
        }
    }

    pub(super) fn refuse_overdue(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        while let Some(attempt) = self.local.first_overdue(now) {
            self.refuse(now, attempt, RefusalReason::DeadlinePassed, actions);
        }
    }

    /// Refuses an attempt that hasn't started, because its deadline passed or the log is
    /// unavailable.
    pub(super) fn refuse(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        reason: RefusalReason,
        actions: &mut Vec<ClaimAction>,
    ) {
        let state = self.local.get(attempt).map(|local| local.state);
        if matches!(
            state,
            Some(LocalState::Joined | LocalState::QueryingHolder(..))
        ) {
            self.refuse_as_duplicate(now, attempt, RunVerdict::MayHaveRun, actions);
            return;
        }
        let refusal = ClaimRefusal {
            reason,
            verdict: RunVerdict::NotRun,
            retry_after_ms: Some(self.settings.retry_after_ms),
        };
        actions.push(ClaimAction::Refuse(attempt, refusal));
        self.end(now, attempt, EndState::NotRun, actions);
    }

    pub(super) fn refuse_as_duplicate(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        verdict: RunVerdict,
        actions: &mut Vec<ClaimAction>,
    ) {
        let refusal = ClaimRefusal {
            reason: RefusalReason::Duplicate,
            verdict,
            retry_after_ms: None,
        };
        actions.push(ClaimAction::Refuse(attempt, refusal));
        self.end(now, attempt, EndState::NotRun, actions);
    }

    pub(super) fn refuse_key_reuse(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        actions: &mut Vec<ClaimAction>,
    ) {
        let refusal = ClaimRefusal {
            reason: RefusalReason::BadRequest,
            verdict: RunVerdict::NotRun,
            retry_after_ms: None,
        };
        actions.push(ClaimAction::Refuse(attempt, refusal));
        self.end(now, attempt, EndState::NotRun, actions);
    }

    pub(super) fn answer(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        answer: StoredAnswer,
        actions: &mut Vec<ClaimAction>,
    ) {
        actions.push(ClaimAction::Answer(attempt, answer));
        self.end(now, attempt, EndState::NotRun, actions);
    }

    /// Ends an attempt, releases its claim if it never ran, and updates its duplicates.
    pub(super) fn end(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        state: EndState,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(local) = self.local.end(attempt, state) else {
            return;
        };
        let key = local.request.key;
        self.outbox.cancel_claim(attempt);
        self.release_if_given_up(now, key);
        if !matches!(
            local.state,
            LocalState::Joined | LocalState::QueryingHolder(..)
        ) {
            self.reconcile(now, key, actions);
        }
        self.send(now, actions);
    }

    /// Releases a key if its owner is an attempt of this node that never ran.
    pub(super) fn release_if_given_up(&mut self, now: ClockTime, key: KeyDigest) {
        let Some(owner) = self.fold.owner(key).filter(|owner| owner.vm == self.vm) else {
            return;
        };
        let attempt = owner.attempt;
        if self.local.ended(attempt) == Some(EndState::NotRun) {
            let entry = ClaimEntry::Release { key, attempt };
            self.outbox.push(now, &self.settings, entry);
        }
    }

    pub(super) fn send(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        let entries = self.outbox.take_due(now, &self.settings);
        if entries.is_empty() {
            return;
        }
        let record = self.record(ClaimBody::Batch(entries));
        self.outbox.set_sent(now, &self.settings, record.clone());
        actions.push(ClaimAction::Append(record));
    }

    pub(super) fn schedule_snapshot(&mut self, now: ClockTime) {
        let every_ms = self.settings.snapshot_every_ms;
        let spread_ms = self.random.random_range(0..=every_ms / 4);
        self.maintenance.snapshot_at = now.plus_ms(every_ms + spread_ms);
    }

    pub(super) fn run_maintenance(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        if let Some(below) = self.fold.unread_below() {
            if now >= self.maintenance.complete_at {
                self.maintenance.complete_at = now.plus_ms(self.settings.snapshot_every_ms);
                let record = self.record(ClaimBody::Expire { below });
                actions.push(ClaimAction::Append(record));
            }
            return;
        }
        if let Some(below) = self.maintenance.take_expired(now) {
            let record = self.record(ClaimBody::Expire { below });
            actions.push(ClaimAction::Append(record));
        }
        if now >= self.maintenance.snapshot_at {
            self.schedule_snapshot(now);
            self.append_snapshot(now, actions);
        }
    }

    fn append_snapshot(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        if !self.fold.is_exact() {
            return;
        }
        let snapshot = RecordId::from_random(self.random.random());
        let chunks = self
            .fold
            .snapshot_claims(self.settings.snapshot_chunk_claims);
        let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        let mut marks = self.maintenance.copy_marks(now, &self.settings);
        for (index, claims) in (0..count).zip(chunks) {
            let body = ClaimBody::Snapshot(SnapshotChunk {
                snapshot,
                next_offset: self.fold.next_offset(),
                index,
                count,
                claims,
                marks: std::mem::take(&mut marks),
            });
            actions.push(ClaimAction::Append(self.record(body)));
        }
    }

    fn record(&mut self, body: ClaimBody) -> ClaimRecord {
        ClaimRecord {
            id: RecordId::from_random(self.random.random()),
            service: self.service.clone(),
            vm: self.vm.clone(),
            body,
        }
    }
}
