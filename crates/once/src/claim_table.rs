mod settle;
mod steps;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use clock::ClockTime;
use model::{AttemptId, RecordId, RefusalReason, RunVerdict, ServiceName, VmName};

use crate::claim_outbox::ClaimOutbox;
use crate::claim_upkeep::ClaimUpkeep;
use crate::local_attempts::{EndState, LocalAttempts, LocalState};
use crate::{
    AnswerStore, ClaimAction, ClaimFold, ClaimOutcome, ClaimRecord, ClaimRefusal, FoldEvent,
    HolderReply, KeyDigest, OnceRequest, OnceSettings, SnapshotMark,
};

/// Decides which attempts of calls that must run at most once may run beside one backend server.
///
/// The node passes in calls, records of the stream and outcomes, and carries out the
/// [`ClaimAction`]s it gets. An attempt runs only when this node has read the stream up to a
/// claim that makes the attempt the owner of its key, and [`start`](Self::start) agrees.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    settings: OnceSettings,
    service: ServiceName,
    vm: VmName,
    fold: ClaimFold,
    local: LocalAttempts,
    answers: AnswerStore,
    outbox: ClaimOutbox,
    upkeep: ClaimUpkeep,
    random: SmallRng,
}

impl ClaimTable {
    /// Creates the table of a VM that reads the stream of a service from `first_offset` on.
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
            local: LocalAttempts::new(settings.remembered_attempts),
            answers: AnswerStore::new(settings.answer_bytes),
            outbox: ClaimOutbox::default(),
            upkeep: ClaimUpkeep::default(),
            random: SmallRng::seed_from_u64(seed),
        };
        table.upkeep.complete_at = now.plus_ms(settings.horizon_ms);
        table.plan_snapshot(now);
        table
    }

    /// Sets the most appends a second of all nodes that write to the stream, which depends on
    /// how many streams of claims the fleet uses.
    pub const fn set_appends_per_s(&mut self, appends_per_s: u64) {
        self.settings.appends_per_s = appends_per_s;
    }

    /// Returns the state derived from the stream.
    #[must_use]
    pub const fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Returns the number of attempts under way at this node, waiting ones included.
    #[must_use]
    pub fn live_attempts(&self) -> usize {
        self.local.live_len()
    }

    /// Returns the memory that stored answers take, in bytes.
    #[must_use]
    pub const fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    /// Takes a call; every call is answered by a later [`ClaimAction`], or by one pushed here.
    ///
    /// An attempt that was here before is ignored.
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
        if let Some(refusal) = self.refusal_at_once(now, &request) {
            actions.push(ClaimAction::Refuse(request.attempt, refusal));
            return;
        }
        self.local.insert(request);
        self.settle(now, request.key, actions);
        self.send(now, actions);
    }

    /// Returns whether the attempt may go to the backend server now, and notes that it did.
    ///
    /// After `false` not a byte of the attempt may be sent; it was refused or is refused here.
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

    /// Gives an attempt up when its caller left or the queue refused it.
    ///
    /// Returns whether it is sure that the attempt never runs; `false` once it was started.
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

    /// Notes the outcome of a started attempt and answers its duplicates.
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

    /// Takes the record at an offset of the stream; records come in the order of offsets.
    ///
    /// Several services may share a stream; the records of others are passed over.
    pub fn receive_record(
        &mut self,
        now: ClockTime,
        offset: u64,
        record: &ClaimRecord,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.outbox.resolve(record.id);
        self.outbox.note_writer(now, &record.vm);
        if record.service == self.service {
            for event in self.fold.apply(offset, record) {
                self.take_event(now, event, actions);
            }
        } else {
            self.fold.skip(offset);
        }
        if self.fold.is_complete() {
            self.upkeep
                .mark(now, &self.settings, self.fold.next_offset());
        }
        self.send(now, actions);
    }

    /// Notes that the records before `first_offset` are gone and weren't read.
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
        self.upkeep = ClaimUpkeep::default();
        self.upkeep.complete_at = now.plus_ms(self.settings.horizon_ms);
        self.plan_snapshot(now);
    }

    /// Notes that an append surely has no effect; it is tried again.
    pub fn append_failed(&mut self, now: ClockTime, id: RecordId, actions: &mut Vec<ClaimAction>) {
        self.outbox.expect_failure(id, now, &self.settings);
        self.poll(now, actions);
    }

    /// Takes the answer of a holder that was asked for `attempt`.
    pub fn receive_reply(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        owner: AttemptId,
        reply: HolderReply,
        actions: &mut Vec<ClaimAction>,
    ) {
        let is_asking = |state| matches!(state, LocalState::Asking(asked, _) if asked == owner);
        if !self.local.get(attempt).is_some_and(|l| is_asking(l.state)) {
            return;
        }
        self.end_with(now, attempt, reply, actions);
    }

    /// Returns what this node knows of an attempt that owns a key, for a node that asks.
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

    /// Does what has become due: refusals, appends, questions, expiry and snapshots.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        self.refuse_overdue(now, actions);
        if self.outbox.is_stuck(now, &self.settings) {
            for attempt in self.local.in_state(|state| state == LocalState::Pending) {
                self.refuse(now, attempt, RefusalReason::ClaimUnavailable, actions);
            }
        }
        self.ask_again(now, actions);
        if let Some(record) = self.outbox.resend_due(now, &self.settings) {
            actions.push(ClaimAction::Append(record));
        }
        self.send(now, actions);
        self.keep_up(now, actions);
    }

    /// Returns when [`poll`](Self::poll) has something to do next.
    #[must_use]
    pub fn next_poll(&self) -> ClockTime {
        let upkeep = if self.fold.is_complete() {
            self.upkeep.next_poll()
        } else {
            self.upkeep.complete_at
        };
        let due = [
            self.local.next_deadline(),
            self.local.next_ask(),
            self.outbox.next_poll(),
        ];
        due.into_iter().flatten().fold(upkeep, ClockTime::min)
    }

    fn refusal_at_once(&self, now: ClockTime, request: &OnceRequest) -> Option<ClaimRefusal> {
        let outlived = |age_ms| age_ms >= self.settings.horizon_ms;
        if request.key_age_ms.is_some_and(outlived) {
            return Some(ClaimRefusal {
                reason: RefusalReason::Duplicate,
                verdict: RunVerdict::MayHaveRun,
                retry_after_ms: None,
            });
        }
        let is_new = self.fold.owner(request.key).is_none();
        let is_full = self.fold.len() >= self.settings.max_claims;
        let is_out = is_full || self.outbox.is_stuck(now, &self.settings);
        ((is_new && is_out) || !self.fold.is_complete()).then_some(ClaimRefusal {
            reason: RefusalReason::ClaimUnavailable,
            verdict: RunVerdict::NotRun,
            retry_after_ms: Some(self.settings.retry_after_ms),
        })
    }

    fn take_event(&mut self, now: ClockTime, event: FoldEvent, actions: &mut Vec<ClaimAction>) {
        match event {
            FoldEvent::KeyChanged(key) => {
                self.release_if_given_up(now, key);
                self.settle(now, key, actions);
            }
            FoldEvent::SnapshotSeen => self.plan_snapshot(now),
            FoldEvent::Completed(marks) => self.take_completion(now, &marks),
        }
    }

    fn take_completion(&mut self, now: ClockTime, marks: &[SnapshotMark]) {
        self.upkeep.adopt(now, &self.settings, marks);
        self.plan_snapshot(now);
        let keys: Vec<KeyDigest> = self.fold.claims_of(&self.vm).map(|(key, _)| key).collect();
        for key in keys {
            self.release_if_given_up(now, key);
        }
    }
}
