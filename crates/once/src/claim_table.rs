mod log_return;
mod reconcile;
mod transitions;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use clock::ClockTime;
use model::{AttemptId, RecordId, RefusalReason, RunVerdict, ServiceName, VmName};

use self::log_return::LogReturn;
use crate::claim_maintenance::ClaimMaintenance;
use crate::claim_outbox::ClaimOutbox;
use crate::local_attempts::{EndState, LocalAttempts, LocalState};
use crate::{
    AnswerStore, ClaimAction, ClaimFold, ClaimOutcome, ClaimRecord, ClaimRefusal, FoldEvent,
    HolderReply, KeyDigest, OnceRequest, OnceSettings, SnapshotMark,
};

/// Decides which attempts of once calls may run on the backend server of one node.
///
/// The node passes in calls, records of the stream and outcomes, and carries out the returned
/// [`ClaimAction`]s. An attempt runs only after this node has read the claim that makes the attempt
/// the owner of its key, and only if [`start`](Self::start) returns `true`.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    settings: OnceSettings,
    service: ServiceName,
    vm: VmName,
    fold: ClaimFold,
    local: LocalAttempts,
    answers: AnswerStore,
    outbox: ClaimOutbox,
    maintenance: ClaimMaintenance,
    log_return: LogReturn,
    random: SmallRng,
}

impl ClaimTable {
    /// Creates the table of a VM that reads the stream of claims from `first_offset` on.
    #[must_use]
    pub fn new(
        settings: OnceSettings,
        service: ServiceName,
        vm: VmName,
        now: ClockTime,
        first_offset: u64,
        seed: u64,
    ) -> Self {
        let mut table = Self {
            settings,
            service,
            vm,
            fold: ClaimFold::new(first_offset),
            local: LocalAttempts::new(settings.max_ended_attempts),
            answers: AnswerStore::new(settings.answer_bytes),
            outbox: ClaimOutbox::default(),
            maintenance: ClaimMaintenance::default(),
            log_return: LogReturn::default(),
            random: SmallRng::seed_from_u64(seed),
        };
        table.maintenance.complete_at = now.plus_ms(settings.horizon_ms);
        table.schedule_snapshot(now);
        table
    }

    /// Sets the maximum appends per second of all nodes that write to the stream, which depends on
    /// how many streams of claims the fleet uses.
    pub const fn set_appends_per_s(&mut self, appends_per_s: u64) {
        self.settings.appends_per_s = appends_per_s;
    }

    /// Returns the state derived from the stream.
    #[must_use]
    pub const fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Returns the number of attempts at this node that haven't ended, including waiting ones.
    #[must_use]
    pub fn live_attempts(&self) -> usize {
        self.local.live_len()
    }

    /// Returns the memory that stored answers take, in bytes.
    #[must_use]
    pub const fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    /// Adds an attempt of a call, which is run, answered or refused by a [`ClaimAction`] pushed here
    /// or later.
    ///
    /// An attempt that is already known is ignored.
    pub fn begin(
        &mut self,
        now: ClockTime,
        mut request: OnceRequest,
        actions: &mut Vec<ClaimAction>,
    ) {
        if self.local.is_known(request.attempt) {
            return;
        }
        let start_by = now.plus_ms(self.settings.start_within_ms);
        request.deadline = request.deadline.min(start_by);
        if let Some(refusal) = self.immediate_refusal(now, &request) {
            actions.push(ClaimAction::Refuse(request.attempt, refusal));
            return;
        }
        self.local.insert(request);
        self.reconcile(now, request.key, actions);
        self.append_due(now, actions);
    }

    /// Returns whether the attempt may be sent to the backend server now; if so, marks it as
    /// running.
    ///
    /// After `false`, no byte of the attempt may be sent. The attempt was refused earlier or by
    /// this call.
    pub fn start(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        actions: &mut Vec<ClaimAction>,
    ) -> bool {
        self.refuse_overdue(now, actions);
        let Some(local) = self.local.get(attempt) else {
            return false;
        };
        let owner = self.fold.owner(local.request.key);
        let owns_key = owner.is_some_and(|claim| claim.attempt == attempt);
        if local.state != LocalState::Won || !owns_key {
            return false;
        }
        self.local.set_state(attempt, LocalState::Running);
        true
    }

    /// Ends an attempt whose caller disconnected or that the queue refused.
    ///
    /// Returns whether the attempt has certainly not run and never will; `false` once it was
    /// started.
    pub fn give_up(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        actions: &mut Vec<ClaimAction>,
    ) -> bool {
        let state = self.local.get(attempt).map(|local| local.state);
        if state == Some(LocalState::Running) {
            return false;
        }
        self.end(now, attempt, EndState::NotRun, actions);
        self.local.ended(attempt) == Some(EndState::NotRun)
    }

    /// Records the outcome of a started attempt and answers its duplicates.
    pub fn finish(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        outcome: ClaimOutcome,
        actions: &mut Vec<ClaimAction>,
    ) {
        let state = match outcome {
            ClaimOutcome::Answered(answer) => {
                self.answers.insert(attempt, answer);
                EndState::Ran
            }
            ClaimOutcome::MayHaveRun => EndState::MayHaveRun,
            ClaimOutcome::NotRun => EndState::NotRun,
        };
        self.end(now, attempt, state, actions);
    }

    /// Applies the record at an offset of the stream. Records must come in offset order.
    ///
    /// Several services may share a stream; the records of other services are skipped.
    pub fn receive_record(
        &mut self,
        now: ClockTime,
        offset: u64,
        record: &ClaimRecord,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.outbox.on_record_read(record.id);
        self.outbox.record_writer(now, &record.vm);
        if record.service == self.service {
            for event in self.fold.apply(offset, record) {
                self.handle_event(now, event, actions);
            }
        } else {
            self.fold.skip(offset);
        }
        if self.fold.is_complete() {
            self.maintenance
                .mark(now, &self.settings, self.fold.next_offset());
        }
        self.append_due(now, actions);
    }

    /// Handles the removal of unread records before `first_offset` from the log: starts again with
    /// an incomplete fold, and refuses all attempts that aren't running.
    pub fn receive_gap(
        &mut self,
        now: ClockTime,
        first_offset: u64,
        actions: &mut Vec<ClaimAction>,
    ) {
        if first_offset <= self.fold.next_offset() {
            return;
        }
        for attempt in self.local.in_state(|state| state != LocalState::Running) {
            self.refuse(now, attempt, RefusalReason::ClaimUnavailable, actions);
        }
        self.fold = ClaimFold::new(first_offset);
        self.maintenance = ClaimMaintenance::default();
        self.maintenance.complete_at = now.plus_ms(self.settings.horizon_ms);
        self.schedule_snapshot(now);
    }

    /// Handles an append that certainly had no effect; it is retried.
    pub fn append_failed(&mut self, now: ClockTime, id: RecordId, actions: &mut Vec<ClaimAction>) {
        self.outbox.on_append_failure(id, now, &self.settings);
        self.poll(now, actions);
    }

    /// Handles the reply of a holder that was queried for `attempt`.
    pub fn receive_reply(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        owner: AttemptId,
        reply: HolderReply,
        actions: &mut Vec<ClaimAction>,
    ) {
        let is_querying =
            |state| matches!(state, LocalState::QueryingHolder(queried, _) if queried == owner);
        if !self
            .local
            .get(attempt)
            .is_some_and(|local| is_querying(local.state))
        {
            return;
        }
        self.end_by_reply(now, attempt, reply, actions);
    }

    /// Returns the reply to another node's query about `owner`, an attempt of this node that owns a
    /// key.
    #[must_use]
    pub fn reply_for(&self, owner: AttemptId) -> HolderReply {
        if let Some(answer) = self.answers.get(owner) {
            return HolderReply::Answer(answer.clone());
        }
        match self.local.ended(owner) {
            Some(EndState::Ran) => HolderReply::Ran,
            Some(EndState::NotRun) => HolderReply::NotRun,
            None if self.local.get(owner).is_some() => HolderReply::Running,
            Some(EndState::MayHaveRun) | None => HolderReply::MayHaveRun,
        }
    }

    /// Performs everything that is due: refusals, appends, holder queries, expiry and snapshots.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        self.refuse_overdue(now, actions);
        if self.outbox.is_append_overdue(now, &self.settings) {
            for attempt in self.local.in_state(|state| state == LocalState::Pending) {
                self.refuse(now, attempt, RefusalReason::ClaimUnavailable, actions);
            }
        }
        self.repeat_queries(now, actions);
        if let Some(record) = self.outbox.resend_due(now, &self.settings) {
            actions.push(ClaimAction::Append(record));
        }
        self.append_due(now, actions);
        self.rewrite_claims(now, actions);
        self.run_maintenance(now, actions);
    }

    /// Returns when [`poll`](Self::poll) is due next.
    #[must_use]
    pub fn next_poll(&self) -> ClockTime {
        let maintenance = if self.fold.is_complete() {
            self.maintenance.next_poll()
        } else {
            self.maintenance.complete_at
        };
        let due = [
            self.local.next_deadline(),
            self.local.next_query(),
            self.outbox.next_poll(),
            self.next_rewrite(),
        ];
        due.into_iter().flatten().fold(maintenance, ClockTime::min)
    }

    /// Returns the refusal of a call that can't be accepted: its key is older than the horizon, so an
    /// earlier claim may have expired; the fold is incomplete; or the key is new and there are too
    /// many claims, appends are overdue, or the log may have lost a claim of the key.
    fn immediate_refusal(&self, now: ClockTime, request: &OnceRequest) -> Option<ClaimRefusal> {
        let is_expired = |age_ms| age_ms >= self.settings.horizon_ms;
        if request.key_age_ms.is_some_and(is_expired) {
            return Some(ClaimRefusal {
                reason: RefusalReason::Duplicate,
                verdict: RunVerdict::MayHaveRun,
                retry_after_ms: None,
            });
        }
        let is_new = self.owner(request.key).is_none();
        let is_full = self.fold.len() >= self.settings.max_claims;
        let is_unavailable =
            is_full || self.outbox.is_append_overdue(now, &self.settings) || self.is_guarded(now);
        ((is_new && is_unavailable) || !self.fold.is_complete()).then_some(ClaimRefusal {
            reason: RefusalReason::ClaimUnavailable,
            verdict: RunVerdict::NotRun,
            retry_after_ms: Some(self.settings.retry_after_ms),
        })
    }

    fn handle_event(&mut self, now: ClockTime, event: FoldEvent, actions: &mut Vec<ClaimAction>) {
        match event {
            FoldEvent::KeyChanged(key) => {
                self.drop_carried(key);
                self.release_if_not_run(now, key);
                self.reconcile(now, key, actions);
            }
            FoldEvent::SnapshotSeen => self.schedule_snapshot(now),
            FoldEvent::Completed(marks) => self.handle_completion(now, &marks),
        }
    }

    /// Handles the completion of the fold: from now on it knows all claims that haven't expired.
    fn handle_completion(&mut self, now: ClockTime, marks: &[SnapshotMark]) {
        self.maintenance.restore_marks(now, &self.settings, marks);
        self.schedule_snapshot(now);
        let carried: Vec<KeyDigest> = self.log_return.carried.keys().copied().collect();
        for key in carried {
            self.drop_carried(key);
        }
        let keys: Vec<KeyDigest> = self.fold.claims_of(&self.vm).map(|(key, _)| key).collect();
        for key in keys {
            self.release_if_not_run(now, key);
        }
    }
}
