use std::rc::Rc;

use clock::ClockTime;
use model::{AttemptId, RefusalReason, RunVerdict, VmName};
use once::{
    CallFingerprint, ClaimAction, ClaimOutcome, ClaimRecord, ClaimRefusal, HolderReply, KeyDigest,
    OnceRequest, StoredAnswer,
};
use streams::{
    AppendError, ClaimShard, LogEra, LogStream, NewRecord, PlatformLog, RecordBody, RelayBatch,
    RelayPull, StreamFeed,
};
use wire::CallHead;

use crate::call_answer::CallRefusal;
use crate::call_headers::{charged_team, idempotency_key};
use crate::config_watch::pull_from;
use crate::log_return::on_log_return;
use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};
use crate::peer_exchange::exchange_message;
use crate::stream_host::StreamWatch;

/// The decision about a call that must run at most once.
pub(crate) enum ClaimDecision {
    /// The call holds the claim of its key and may run.
    Run,
    /// The call is a duplicate; this is the stored answer of the call that ran.
    Answer(StoredAnswer),
    /// The call is refused.
    Refuse(ClaimRefusal),
}

/// Executes the actions of the claim table after updates of its stream.
pub(crate) struct ClaimWatch(pub(crate) Rc<NodeCore>);

impl StreamWatch for ClaimWatch {
    fn on_update(&self, _now: ClockTime) {
        execute_claim_actions(&self.0);
    }

    fn on_went_back(&self, stream: LogStream, era: LogEra) {
        on_log_return(&self.0, stream, era);
    }

    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch> {
        pull_from(&self.0, peer, pull).await
    }
}

/// Holds the claim of a call until its outcome is known.
///
/// A guard dropped before the start releases the claim; one dropped after it records that the
/// call may have run.
pub(crate) struct ClaimGuard {
    core: Rc<NodeCore>,
    attempt: AttemptId,
    is_started: bool,
}

impl ClaimGuard {
    /// Marks the call as started and returns whether it may be sent to the backend server now.
    pub(crate) fn start(&mut self) -> bool {
        let now = self.core.now();
        self.is_started = self.core.claims.with(|feed| {
            let state = feed.fold();
            state.table.start(now, self.attempt, &mut state.actions)
        });
        execute_claim_actions(&self.core);
        self.is_started
    }

    /// Records the outcome of the call.
    pub(crate) fn finish(self, outcome: ClaimOutcome) {
        let now = self.core.now();
        self.core.claims.with(|feed| {
            let state = feed.fold();
            state
                .table
                .finish(now, self.attempt, outcome, &mut state.actions);
        });
        execute_claim_actions(&self.core);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let now = self.core.now();
        self.core.claim_waiters.remove(self.attempt);
        self.core.claims.with(|feed| {
            let state = feed.fold();
            let (table, actions) = (&mut state.table, &mut state.actions);
            if self.is_started {
                table.finish(now, self.attempt, ClaimOutcome::MayHaveRun, actions);
            } else {
                table.give_up(now, self.attempt, actions);
            }
        });
        execute_claim_actions(&self.core);
    }
}

/// Claims the idempotency key of a call and waits until the claim is decided.
///
/// # Errors
///
/// Returns the stored answer or the refusal of a call that may not run here.
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
        fingerprint: CallFingerprint::new(&head.call, &fingerprint_content(head, body)),
        deadline,
        key_age_ms: None,
    };
    let waiting = core.claim_waiters.register(head.attempt);
    let guard = ClaimGuard {
        core: Rc::clone(core),
        attempt: head.attempt,
        is_started: false,
    };
    let now = core.now();
    core.claims.with(|feed| {
        let state = feed.fold();
        state.table.begin(now, request, &mut state.actions);
    });
    execute_claim_actions(core);
    match waiting.await {
        Ok(ClaimDecision::Run) => Ok(guard),
        Ok(decision) => Err(decision),
        Err(_) => Err(ClaimDecision::Refuse(ClaimRefusal {
            reason: RefusalReason::ClaimUnavailable,
            verdict: RunVerdict::NotRun,
            retry_after_ms: None,
        })),
    }
}

/// Converts the refusal of a claim into the refusal of its call.
pub(crate) fn claim_refusal(refusal: ClaimRefusal) -> CallRefusal {
    CallRefusal {
        verdict: refusal.verdict,
        ..CallRefusal::not_run(refusal.reason)
    }
    .with_retry_after_ms(refusal.retry_after_ms.unwrap_or(0))
}

/// Runs the work of the claim table that is due.
pub(crate) fn poll_claims(core: &Rc<NodeCore>, now: ClockTime) {
    core.claims.with(|feed| {
        let is_caught_up = feed.is_caught_up();
        let state = feed.fold();
        if is_caught_up {
            state.table.log_caught_up(now, &mut state.actions);
        }
        if state.table.next_poll() <= now {
            state.table.poll(now, &mut state.actions);
        }
    });
    execute_claim_actions(core);
}

/// Returns the state of an attempt that holds a claim here, for a node that received a duplicate
/// of its call.
pub(crate) fn answer_holder_query(core: &NodeCore, owner: AttemptId) -> HolderReply {
    core.claims.with(|feed| feed.fold().table.reply_for(owner))
}

/// Returns the content that two requests with the same idempotency key must share.
fn fingerprint_content(head: &CallHead, body: &[u8]) -> Vec<u8> {
    let parts = [head.method.as_bytes(), head.path.as_bytes(), body];
    parts.join(&0)
}

fn execute_claim_actions(core: &Rc<NodeCore>) {
    let actions = core
        .claims
        .with(|feed| std::mem::take(&mut feed.fold().actions));
    for action in actions {
        match action {
            ClaimAction::Append(record) => {
                compio::runtime::spawn(append_claim(Rc::clone(core), record)).detach();
            }
            ClaimAction::Run(attempt) => core.claim_waiters.notify(attempt, ClaimDecision::Run),
            ClaimAction::Answer(attempt, answer) => {
                core.claim_waiters
                    .notify(attempt, ClaimDecision::Answer(answer));
            }
            ClaimAction::Refuse(attempt, refusal) => {
                core.claim_waiters
                    .notify(attempt, ClaimDecision::Refuse(refusal));
            }
            ClaimAction::QueryHolder {
                attempt, vm, owner, ..
            } => {
                let querying = query_holder(Rc::clone(core), attempt, vm, owner);
                compio::runtime::spawn(querying).detach();
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
        execute_claim_actions(&core);
    }
}

async fn query_holder(core: Rc<NodeCore>, attempt: AttemptId, vm: VmName, owner: AttemptId) {
    let reply = if vm == core.settings.vm {
        Some(answer_holder_query(&core, owner))
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
    execute_claim_actions(&core);
}
