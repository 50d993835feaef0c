//! The component under test: a [`ClaimTable`], or the naive implementation that it is compared
//! with.

use std::collections::BTreeMap;

use clock::ClockTime;
use lentilshift_once::{
    ClaimAction, ClaimOutcome, ClaimRecord, ClaimRefusal, ClaimTable, HolderReply, KeyDigest,
    OnceRequest, OnceSettings, StoredAnswer,
};
use model::{AttemptId, RecordId, RefusalReason, RunVerdict, VmName};

pub type Actions = Vec<ClaimAction>;

pub trait Decider {
    fn create(settings: OnceSettings, vm: VmName, now: ClockTime, first: u64, seed: u64) -> Self;
    fn begin(&mut self, now: ClockTime, request: OnceRequest, actions: &mut Actions);
    fn start(&mut self, now: ClockTime, attempt: AttemptId, actions: &mut Actions) -> bool;
    fn give_up(&mut self, now: ClockTime, attempt: AttemptId, actions: &mut Actions) -> bool;
    fn finish(&mut self, now: ClockTime, attempt: AttemptId, end: ClaimOutcome, to: &mut Actions);
    fn poll(&mut self, now: ClockTime, actions: &mut Actions);
    fn read(&mut self, _: ClockTime, _: u64, _: &ClaimRecord, _: &mut Actions) {}
    fn gap(&mut self, _: ClockTime, _: u64, _: &mut Actions) {}
    fn failed(&mut self, _: ClockTime, _: RecordId, _: &mut Actions) {}
    fn reply(&mut self, _: ClockTime, _: AttemptId, _: AttemptId, _: HolderReply, _: &mut Actions) {
    }
    fn reply_for(&self, _: AttemptId) -> HolderReply {
        HolderReply::MayHaveRun
    }
    fn next_offset(&self) -> u64;
}

impl Decider for ClaimTable {
    fn create(settings: OnceSettings, vm: VmName, now: ClockTime, first: u64, seed: u64) -> Self {
        Self::new(settings, "filings".into(), vm, now, first, seed)
    }

    fn begin(&mut self, now: ClockTime, request: OnceRequest, actions: &mut Actions) {
        self.begin(now, request, actions);
    }

    fn start(&mut self, now: ClockTime, attempt: AttemptId, actions: &mut Actions) -> bool {
        self.start(now, attempt, actions)
    }

    fn give_up(&mut self, now: ClockTime, attempt: AttemptId, actions: &mut Actions) -> bool {
        self.give_up(now, attempt, actions)
    }

    fn finish(&mut self, now: ClockTime, attempt: AttemptId, end: ClaimOutcome, to: &mut Actions) {
        self.finish(now, attempt, end, to);
    }

    fn poll(&mut self, now: ClockTime, actions: &mut Actions) {
        self.poll(now, actions);
    }

    fn read(&mut self, now: ClockTime, offset: u64, record: &ClaimRecord, to: &mut Actions) {
        self.receive_record(now, offset, record, to);
    }

    fn gap(&mut self, now: ClockTime, first_offset: u64, actions: &mut Actions) {
        self.receive_gap(now, first_offset, actions);
    }

    fn failed(&mut self, now: ClockTime, id: RecordId, actions: &mut Actions) {
        self.append_failed(now, id, actions);
    }

    fn reply(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        owner: AttemptId,
        reply: HolderReply,
        actions: &mut Actions,
    ) {
        self.receive_reply(now, attempt, owner, reply, actions);
    }

    fn reply_for(&self, owner: AttemptId) -> HolderReply {
        self.reply_for(owner)
    }

    fn next_offset(&self) -> u64 {
        self.fold().next_offset()
    }
}

/// Keeps keys only in the memory of each node, and reports a timeout as "not run".
#[derive(Default)]
pub struct NaiveDecider {
    answers: BTreeMap<KeyDigest, Option<StoredAnswer>>,
    running: BTreeMap<AttemptId, OnceRequest>,
}

impl Decider for NaiveDecider {
    fn create(_: OnceSettings, _: VmName, _: ClockTime, _: u64, _: u64) -> Self {
        Self::default()
    }

    fn begin(&mut self, _: ClockTime, request: OnceRequest, actions: &mut Actions) {
        match self.answers.get(&request.key) {
            Some(Some(answer)) => {
                actions.push(ClaimAction::Answer(request.attempt, answer.clone()));
            }
            Some(None) => actions.push(refuse(request.attempt, RunVerdict::MayHaveRun)),
            None => {
                self.answers.insert(request.key, None);
                self.running.insert(request.attempt, request);
                actions.push(ClaimAction::Run(request.attempt));
            }
        }
    }

    fn start(&mut self, _: ClockTime, attempt: AttemptId, _: &mut Actions) -> bool {
        self.running.contains_key(&attempt)
    }

    fn give_up(&mut self, _: ClockTime, attempt: AttemptId, _: &mut Actions) -> bool {
        self.running.remove(&attempt).is_some()
    }

    fn finish(&mut self, _: ClockTime, attempt: AttemptId, end: ClaimOutcome, _: &mut Actions) {
        let Some(request) = self.running.remove(&attempt) else {
            return;
        };
        if let ClaimOutcome::Answered(answer) = end {
            self.answers.insert(request.key, Some(answer));
        }
    }

    fn poll(&mut self, now: ClockTime, actions: &mut Actions) {
        let late = |request: &OnceRequest| request.deadline <= now;
        for request in self.running.values().filter(|request| late(request)) {
            actions.push(refuse(request.attempt, RunVerdict::NotRun));
        }
        self.running.retain(|_, request| !late(request));
    }

    fn next_offset(&self) -> u64 {
        u64::MAX
    }
}

fn refuse(attempt: AttemptId, verdict: RunVerdict) -> ClaimAction {
    let refusal = ClaimRefusal {
        reason: RefusalReason::DeadlinePassed,
        verdict,
        retry_after_ms: None,
    };
    ClaimAction::Refuse(attempt, refusal)
}
