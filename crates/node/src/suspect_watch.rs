use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use futures_channel::oneshot;
use model::{AttemptId, RefusalReason, VmName};
use quarantine::{
    RequestFingerprint, SuspectAction, SuspectDecision, SuspectTable, SuspectUpdate, UpdateId,
};
use wire::CallHead;

use crate::call_answer::CallRefusal;
use crate::call_headers::{charged_team, idempotency_key};
use crate::node_core::NodeCore;
use crate::node_message::NodeMessage;
use crate::peer_exchange::exchange_message;
use crate::warm_up_watch::doubt_warmth;

/// The delay between the failure of a call and the check for a crash of its backend server, in
/// milliseconds.
const CRASH_CHECK_DELAY_MS: u64 = 10;
/// The interval between checks whether the peers have acknowledged a crash, in milliseconds.
const ACK_CHECK_INTERVAL_MS: u64 = 2;
/// The longest time that a failed call waits until the peers have acknowledged its crash, in
/// milliseconds.
const ACK_TIMEOUT_MS: u64 = 2_000;

/// The decision about a call that waits, or whose backend server crashed.
pub(crate) enum RunDecision {
    /// The call may run.
    Start,
    /// The state of its request has changed; the call must be decided again.
    Reconsider,
    /// The backend server crashed and the peers know of it.
    Fail {
        /// Whether the call may be retried, as it isn't expected to crash another backend server.
        may_retry: bool,
    },
}

/// Why a call may not run here.
pub(crate) enum SuspectRefusal {
    /// The request is in quarantine.
    Quarantined,
    /// Only this other VM may run the request.
    SendTo(VmName),
}

/// Registers a running call as one that a crash of the backend server would make suspect.
pub(crate) struct SuspectGuard {
    core: Rc<NodeCore>,
    attempt: AttemptId,
    fingerprint: RequestFingerprint,
    /// Receives the decision about the call if the backend server crashes while it runs.
    decision: Option<oneshot::Receiver<RunDecision>>,
    stage: RunStage,
}

/// The progress of a call at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunStage {
    /// No byte of the call was sent.
    Unsent,
    /// The call was sent and may run.
    Sent,
    /// The backend server answered.
    Answered,
}

impl SuspectGuard {
    /// Records that the call is about to be sent to the backend server.
    pub(crate) const fn mark_sent(&mut self) {
        self.stage = RunStage::Sent;
    }

    /// Records that no byte of the call was sent after all.
    pub(crate) const fn mark_unsent(&mut self) {
        self.stage = RunStage::Unsent;
    }

    /// Records that the backend server answered.
    pub(crate) const fn mark_answered(&mut self) {
        self.stage = RunStage::Answered;
    }

    /// Ends a call that wasn't sent, and waits until the peers have acknowledged a crash that may be
    /// the cause.
    ///
    /// When the call is then sent to another node, that node knows of the crash. Unless a crash is
    /// known already, this waits first, as a call that was running may be about to detect it.
    pub(crate) async fn fail_unsent(mut self) {
        self.stage = RunStage::Unsent;
        if !self.core.backend.is_marked_down() {
            sleep(Duration::from_millis(2 * CRASH_CHECK_DELAY_MS)).await;
        }
        wait_for_acks(&self.core, self.fingerprint).await;
    }

    /// Checks whether the backend server crashed and, if so, waits until the peers know of it.
    ///
    /// Returns whether sending the call again might crash another backend server.
    pub(crate) async fn fail(mut self) -> bool {
        let core = Rc::clone(&self.core);
        sleep(Duration::from_millis(CRASH_CHECK_DELAY_MS)).await;
        if core.backend.has_crashed().await {
            record_crash(&core);
        }
        let Some(decision) = self
            .decision
            .take()
            .filter(|_| core.backend.is_marked_down())
        else {
            return false;
        };
        let limit = Duration::from_millis(ACK_TIMEOUT_MS);
        match timeout(limit, decision).await {
            Ok(Ok(RunDecision::Fail { may_retry })) => !may_retry,
            // Without a decision, the call might crash another backend server.
            _ => true,
        }
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.core.suspect_waiters.remove(self.attempt);
        update_suspects(&self.core, |table, now, actions| match self.stage {
            RunStage::Unsent => table.withdraw(now, self.attempt, actions),
            RunStage::Sent => table.abandon(now, self.attempt, actions),
            RunStage::Answered => table.finish(now, self.attempt, actions),
        });
    }
}

/// Waits until a call may run: concurrently with other calls, or alone if its request is suspect.
///
/// # Errors
///
/// Returns why the call may not run here.
pub(crate) async fn wait_to_run(
    core: &Rc<NodeCore>,
    head: &CallHead,
    body: &[u8],
) -> Result<SuspectGuard, SuspectRefusal> {
    let fingerprint = fingerprint_of(head, body);
    let is_single = !head.once && idempotency_key(head).is_some();
    loop {
        let waiting = core.suspect_waiters.register(head.attempt);
        let now = core.now();
        let decision = core
            .suspects
            .borrow_mut()
            .begin(now, fingerprint, head.attempt, is_single);
        let mut guard = SuspectGuard {
            core: Rc::clone(core),
            attempt: head.attempt,
            fingerprint,
            decision: Some(waiting),
            stage: RunStage::Unsent,
        };
        match decision {
            SuspectDecision::Run | SuspectDecision::RunAlone => return Ok(guard),
            SuspectDecision::Refuse => {
                return Err(SuspectRefusal::Quarantined);
            }
            SuspectDecision::SendTo(vm) => {
                wait_for_acks(core, fingerprint).await;
                return Err(SuspectRefusal::SendTo(vm));
            }
            SuspectDecision::Wait => {}
        }
        let Some(waiting) = guard.decision.take() else {
            continue;
        };
        if let Ok(RunDecision::Start) = waiting.await {
            guard.decision = Some(core.suspect_waiters.register(head.attempt));
            return Ok(guard);
        }
    }
}

/// Waits until the peers have acknowledged the crashes attributed to a request.
async fn wait_for_acks(core: &Rc<NodeCore>, fingerprint: RequestFingerprint) {
    while core.suspects.borrow().is_notifying(fingerprint) {
        sleep(Duration::from_millis(ACK_CHECK_INTERVAL_MS)).await;
    }
}

/// Returns the refusal of a call that is in quarantine.
pub(crate) const fn quarantine_refusal() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::Quarantined)
}

/// Polls the table of suspects and executes the resulting actions.
pub(crate) fn poll_suspects(core: &Rc<NodeCore>) {
    update_suspects(core, SuspectTable::poll);
}

/// Applies the updates of a peer; they are acknowledged once their requests no longer run here.
pub(crate) fn receive_updates(
    core: &Rc<NodeCore>,
    from: &VmName,
    id: UpdateId,
    updates: &[SuspectUpdate],
) {
    update_suspects(core, |table, now, actions| {
        table.receive(now, from.clone(), id, updates, actions);
    });
}

/// Records a peer's acknowledgement of updates, and applies the updates that came with it.
pub(crate) fn receive_ack(
    core: &Rc<NodeCore>,
    from: &VmName,
    id: UpdateId,
    updates: &[SuspectUpdate],
) {
    update_suspects(core, |table, now, actions| {
        table.receive_ack(now, from, id, updates, actions);
    });
}

/// Returns the fingerprint of a call, which is equal for copies of the same request: the same team,
/// call, method, path and body.
pub(crate) fn fingerprint_of(head: &CallHead, body: &[u8]) -> RequestFingerprint {
    let mut content = head.method.clone().into_bytes();
    content.extend_from_slice(head.path.as_bytes());
    content.extend_from_slice(&head.body_bytes.unwrap_or_default().to_be_bytes());
    content.extend_from_slice(body);
    RequestFingerprint::new(&charged_team(head), &head.call, &content)
}

/// Marks the backend server as down, and records the crash in the table of suspects.
fn record_crash(core: &Rc<NodeCore>) {
    if core.backend.mark_down() {
        log::error!("event=backend-crashed running={}", core.running.len());
        core.is_backend_up.set(false);
        core.gate.reset();
        doubt_warmth(core, "crash");
    }
    update_suspects(core, SuspectTable::crash);
}

/// Changes the table of suspects and executes the resulting actions.
fn update_suspects(
    core: &Rc<NodeCore>,
    change: impl FnOnce(&mut SuspectTable, ClockTime, &mut Vec<SuspectAction>),
) {
    let mut actions = Vec::new();
    change(&mut core.suspects.borrow_mut(), core.now(), &mut actions);
    execute_suspect_actions(core, actions);
}

fn execute_suspect_actions(core: &Rc<NodeCore>, actions: Vec<SuspectAction>) {
    for action in actions {
        match action {
            SuspectAction::Notify(id, updates) => notify_service(core, id, &updates),
            SuspectAction::Ack { to, id, updates } => {
                send_message(core, to, NodeMessage::SuspectAck(id, updates));
            }
            SuspectAction::Fail { attempt, may_retry } => {
                let decision = RunDecision::Fail { may_retry };
                core.suspect_waiters.notify(attempt, decision);
            }
            SuspectAction::Start(attempt) => {
                core.suspect_waiters.notify(attempt, RunDecision::Start);
            }
            SuspectAction::Reconsider(attempt) => {
                core.suspect_waiters
                    .notify(attempt, RunDecision::Reconsider);
            }
        }
    }
}

/// Sends updates to the other nodes of this service, from which the table expects
/// acknowledgements.
fn notify_service(core: &Rc<NodeCore>, id: UpdateId, updates: &[SuspectUpdate]) {
    let peers = core.suspects.borrow().peers().to_vec();
    for vm in peers {
        send_message(core, vm, NodeMessage::Suspect(id, updates.to_vec()));
    }
}

/// Sets the other VMs of this service, and sends the list of suspects to the added ones.
pub(crate) fn set_service_peers(core: &Rc<NodeCore>, peers: Vec<VmName>) {
    let mut table = core.suspects.borrow_mut();
    let known = table.peers().to_vec();
    table.set_peers(peers.clone());
    drop(table);
    for vm in peers.into_iter().filter(|vm| !known.contains(vm)) {
        send_list(core, vm);
    }
}

/// Sends the list of suspects to the nodes of this service whose link was just opened.
pub(crate) fn sync_opened_peers(core: &Rc<NodeCore>) {
    for vm in core.links.take_opened() {
        let is_service_peer = core.suspects.borrow().peers().contains(&vm);
        if is_service_peer {
            send_list(core, vm);
        }
    }
}

/// Applies the list of suspects of a peer.
pub(crate) fn receive_list(core: &Rc<NodeCore>, updates: &[SuspectUpdate]) {
    update_suspects(core, |table, now, actions| {
        table.apply(now, updates, actions);
    });
}

fn send_list(core: &Rc<NodeCore>, vm: VmName) {
    let updates = core.suspects.borrow().list().updates(core.now());
    if !updates.is_empty() {
        send_message(core, vm, NodeMessage::SuspectList(updates));
    }
}

fn send_message(core: &Rc<NodeCore>, vm: VmName, message: NodeMessage) {
    let core = Rc::clone(core);
    let sending = async move {
        exchange_message(&core, &vm, &message).await;
    };
    compio::runtime::spawn(sending).detach();
}
