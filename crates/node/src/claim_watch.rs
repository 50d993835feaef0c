use std::rc::Rc;

use clock::ClockTime;
use model::{AttemptId, RefusalReason, RunVerdict, VmName};
use once::{
    CallFingerprint, ClaimAction, ClaimOutcome, ClaimRecord, ClaimRefusal, HolderReply, KeyDigest,
    OnceRequest, StoredAnswer,
};
use streams::{
    AppendError, ClaimShard, LogStream, NewRecord, PlatformLog, RecordBody, RelayBatch, RelayPull,
};
use wire::CallHead;

use crate::call_answer::CallRefusal;
use crate::call_headers::{charged_team, idempotency_key};
use crate::config_watch::pull_from;
use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};
use crate::peer_exchange::exchange_message;
use crate::stream_host::StreamWatch;

/// What a call that must run at most once is told.
pub(crate) enum ClaimDecision {
    /// It owns its key and may run.
    Run,
    /// It is a duplicate, and this is the answer of the one that ran.
    Answer(StoredAnswer),
    /// It is refused.
    Refuse(ClaimRefusal),
}

/// Lets the table of claims act on what its stream brings.
pub(crate) struct ClaimWatch(pub(crate) Rc<NodeCore>);

impl StreamWatch for ClaimWatch {
    fn on_update(&self, _now: ClockTime) {
        act_on_claims(&self.0);
    }

    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch> {
        pull_from(&self.0, peer, pull).await
    }
}

/// Holds the claim of a call until its outcome is known; one that is dropped before its start
/// is released.
pub(crate) struct ClaimGuard {
    core: Rc<NodeCore>,
    attempt: AttemptId,
    is_started: bool,
}

impl ClaimGuard {
    /// Returns whether the call may go to the backend server now.
    pub(crate) fn start(&mut self) -> bool {
        let now = self.core.now();
        self.is_started = self.core.claims.with(|feed| {
            let state = feed.fold();
            state.table.start(now, self.attempt, &mut state.actions)
        });
        act_on_claims(&self.core);
        self.is_started
    }

    /// Notes the outcome.
    pub(crate) fn finish(self, outcome: ClaimOutcome) {
        let now = self.core.now();
        self.core.claims.with(|feed| {
            let state = feed.fold();
            state
                .table
                .finish(now, self.attempt, outcome, &mut state.actions);
        });
        act_on_claims(&self.core);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let now = self.core.now();
        self.core.claim_waiters.forget(self.attempt);
        self.core.claims.with(|feed| {
            let state = feed.fold();
            let (table, actions) = (&mut state.table, &mut state.actions);
            if self.is_started {
                table.finish(now, self.attempt, ClaimOutcome::MayHaveRun, actions);
            } else {
                table.give_up(now, self.attempt, actions);
            }
        });
        act_on_claims(&self.core);
    }
}

/// Claims the key of a call, and waits until the claim is decided.
///
/// # Errors
///
/// Returns what the call is told when it may not run here.
pub(crate) async fn claim_call(
    core: &Rc<NodeCore>,
    head: &CallHead,
    body: &[u8],
    deadline: ClockTime,
) -> Result<ClaimGuard, ClaimDecision> {
    let Some(key) = idempotency_key(head) else {
        return Err(ClaimDecision::Refuse(ClaimRefusal {
            reason: RefusalReason::IdempotencyKeyMissing,
            verdict: RunVerdict::NotRun,
            retry_after_ms: None,
        }));
    };
    let request = OnceRequest {
        attempt: head.attempt,
        key: KeyDigest::new(&charged_team(head), &key),
        fingerprint: CallFingerprint::new(&head.call, &content_of(head, body)),
        deadline,
        key_age_ms: None,
    };
    let waiting = core.claim_waiters.wait_for(head.attempt);
    let pass = ClaimGuard {
        core: Rc::clone(core),
        attempt: head.attempt,
        is_started: false,
    };
    let now = core.now();
    core.claims.with(|feed| {
        let state = feed.fold();
        state.table.begin(now, request, &mut state.actions);
    });
    act_on_claims(core);
    match waiting.await {
        Ok(ClaimDecision::Run) => Ok(pass),
        Ok(decision) => Err(decision),
        Err(_) => Err(ClaimDecision::Refuse(ClaimRefusal {
            reason: RefusalReason::ClaimUnavailable,
            verdict: RunVerdict::NotRun,
            retry_after_ms: None,
        })),
    }
}

/// Returns the refusal that tells a caller about its claim.
pub(crate) fn claim_refusal(refusal: ClaimRefusal) -> CallRefusal {
    CallRefusal {
        verdict: refusal.verdict,
        ..CallRefusal::not_run(refusal.reason)
    }
    .with_retry_after_ms(refusal.retry_after_ms.unwrap_or(0))
}

/// Does what is due for the claims.
pub(crate) fn poll_claims(core: &Rc<NodeCore>, now: ClockTime) {
    core.claims.with(|feed| {
        let state = feed.fold();
        if state.table.next_poll() <= now {
            state.table.poll(now, &mut state.actions);
        }
    });
    act_on_claims(core);
}

/// Answers a node that holds a duplicate of an attempt of this node.
pub(crate) fn answer_holder(core: &NodeCore, owner: AttemptId) -> HolderReply {
    core.claims.with(|feed| feed.fold().table.reply_for(owner))
}

/// Returns what two requests under one idempotency key must have in common.
fn content_of(head: &CallHead, body: &[u8]) -> Vec<u8> {
    let parts = [head.method.as_bytes(), head.path.as_bytes(), body];
    parts.join(&0)
}

fn act_on_claims(core: &Rc<NodeCore>) {
    let actions = core
        .claims
        .with(|feed| std::mem::take(&mut feed.fold().actions));
    for action in actions {
        match action {
            ClaimAction::Append(record) => {
                compio::runtime::spawn(append_claim(Rc::clone(core), record)).detach();
            }
            ClaimAction::Run(attempt) => core.claim_waiters.tell(attempt, ClaimDecision::Run),
            ClaimAction::Answer(attempt, answer) => {
                core.claim_waiters
                    .tell(attempt, ClaimDecision::Answer(answer));
            }
            ClaimAction::Refuse(attempt, refusal) => {
                core.claim_waiters
                    .tell(attempt, ClaimDecision::Refuse(refusal));
            }
            ClaimAction::QueryHolder {
                attempt, vm, owner, ..
            } => {
                let asking = ask_holder(Rc::clone(core), attempt, vm, owner);
                compio::runtime::spawn(asking).detach();
            }
        }
    }
}

async fn append_claim(core: Rc<NodeCore>, record: ClaimRecord) {
    let id = record.id;
    let body = RecordBody::encode(&record);
    let stream = LogStream::Claims(ClaimShard::of(&core.settings.service));
    let appended = core.log.append(stream, vec![NewRecord { id, body }]).await;
    let Err(error) = appended else { return };
    log::warn!(
        "event=append-failed stream={stream} error={:?}",
        error.to_string()
    );
    if let AppendError::NotWritten(_) = error {
        let now = core.now();
        core.claims.with(|feed| {
            let state = feed.fold();
            state.table.append_failed(now, id, &mut state.actions);
        });
        act_on_claims(&core);
    }
}

async fn ask_holder(core: Rc<NodeCore>, attempt: AttemptId, vm: VmName, owner: AttemptId) {
    let reply = if vm == core.settings.vm {
        Some(answer_holder(&core, owner))
    } else {
        match exchange_message(&core, &vm, &NodeMessage::QueryHolder(owner)).await {
            Some(NodeReply::Holder(reply)) => Some(reply),
            _ => None,
        }
    };
    let Some(reply) = reply else { return };
    let now = core.now();
    core.claims.with(|feed| {
        let state = feed.fold();
        let (table, actions) = (&mut state.table, &mut state.actions);
        table.receive_reply(now, attempt, owner, reply, actions);
    });
    act_on_claims(&core);
}
