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
    /// Returns whether an attempt uses the key of `owner` for a different request.
    pub(super) fn is_key_reuse(&self, attempt: AttemptId, owner: &HeldClaim) -> bool {
        self.local
            .get(attempt)
            .is_some_and(|local| local.request.fingerprint != owner.fingerprint)
    }

    /// Makes an attempt wait for the outcome of another attempt of its key at this node, whose request
    /// has the given fingerprint; refuses it if its own request differs.
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

    /// Queries the node that holds the claim of `owner` for its outcome, unless that is already being
    /// done for this attempt.
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
        if matches!(local.state, LocalState::QueryingHolder(queried, _) if queried == owner.attempt)
        {
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

    /// Queries the holders again whose replies are overdue or left the outcome open.
    pub(super) fn repeat_queries(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        let is_due = |state| matches!(state, LocalState::QueryingHolder(_, time) if time <= now);
        for attempt in self.local.in_state(is_due) {
            self.local.set_state(attempt, LocalState::New);
            if let Some(local) = self.local.get(attempt).copied() {
                self.reconcile(now, local.request.key, actions);
            }
        }
    }

    /// Refuses the attempts that weren't started before their deadline.
    pub(super) fn refuse_overdue(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        while let Some(attempt) = self.local.first_overdue(now) {
            self.refuse(now, attempt, RefusalReason::DeadlinePassed, actions);
        }
    }

    /// Refuses an attempt that hasn't started, because its deadline passed or the log is
    /// unavailable.
    ///
    /// If it was waiting for another attempt of its key, its verdict is that the call may have run.
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

    /// Refuses an attempt whose call was run, or may have been run, by another attempt.
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

    /// Refuses an attempt that uses a key for a different request than an earlier attempt did.
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

    /// Answers an attempt with the stored answer of the attempt that owns its key.
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
        self.release_if_not_run(now, key);
        if !matches!(
            local.state,
            LocalState::Joined | LocalState::QueryingHolder(..)
        ) {
            self.reconcile(now, key, actions);
        }
        self.append_due(now, actions);
    }

    /// Releases a key if its owner is an attempt of this node that never ran.
    pub(super) fn release_if_not_run(&mut self, now: ClockTime, key: KeyDigest) {
        let Some(owner) = self.fold.owner(key).filter(|owner| owner.vm == self.vm) else {
            return;
        };
        let attempt = owner.attempt;
        if self.local.ended(attempt) == Some(EndState::NotRun) {
            let entry = ClaimEntry::Release { key, attempt };
            self.outbox.push(now, &self.settings, entry);
        }
    }

    /// Appends the next claims and releases if they are due.
    pub(super) fn append_due(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        let entries = self.outbox.take_due(now, &self.settings);
        if entries.is_empty() {
            return;
        }
        let record = self.new_record(ClaimBody::Batch(entries));
        self.outbox.set_sent(now, &self.settings, record.clone());
        actions.push(ClaimAction::Append(record));
    }

    /// Schedules the next snapshot, with jitter so that the nodes of the service rarely append
    /// snapshots at the same time.
    pub(super) fn schedule_snapshot(&mut self, now: ClockTime) {
        let interval_ms = self.settings.snapshot_every_ms;
        let jitter_ms = self.random.random_range(0..=interval_ms / 4);
        self.maintenance.snapshot_at = now.plus_ms(interval_ms + jitter_ms);
    }

    /// Appends the expiries and the snapshot that are due. While the fold is incomplete, appends only
    /// the expiry that completes it.
    pub(super) fn run_maintenance(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        if let Some(below) = self.fold.unread_below() {
            if now >= self.maintenance.complete_at {
                self.maintenance.complete_at = now.plus_ms(self.settings.snapshot_every_ms);
                let record = self.new_record(ClaimBody::Expire { below });
                actions.push(ClaimAction::Append(record));
            }
            return;
        }
        if let Some(below) = self.maintenance.take_expired(now) {
            let record = self.new_record(ClaimBody::Expire { below });
            actions.push(ClaimAction::Append(record));
        }
        if now >= self.maintenance.snapshot_at {
            self.schedule_snapshot(now);
            self.append_snapshot(now, actions);
        }
    }

    /// Appends a snapshot of all claims in chunks, if the fold is exact.
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
            actions.push(ClaimAction::Append(self.new_record(body)));
        }
    }

    pub(super) fn new_record(&mut self, body: ClaimBody) -> ClaimRecord {
        ClaimRecord {
            id: RecordId::from_random(self.random.random()),
            service: self.service.clone(),
            vm: self.vm.clone(),
            body,
        }
    }
}
