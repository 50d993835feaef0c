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

/// The time for which a failed call waits to learn whether its backend server crashed, in
/// milliseconds.
const CRASH_LOOK_MS: u64 = 10;
/// The time between two looks at whether the peers know of a crash, in milliseconds.
const TELL_LOOK_MS: u64 = 2;
/// The longest time for which a failed call waits for peers to learn of it, in milliseconds.
const FAIL_WAIT_MS: u64 = 2_000;

/// What a call is told about whether it may run.
pub(crate) enum RunDecision {
    /// It may run.
    Start,
    /// The node has news of it, and it must be looked at again.
    Reconsider,
    /// Its backend server crashed and the peers know of it.
    Fail {
        /// Whether a retry can't take the next backend server down.
        may_retry: bool,
    },
}

/// Why a call may not run here.
pub(crate) enum SuspectRefusal {
    /// It is in quarantine.
    Quarantined,
    /// Only another VM may run it.
    SendTo(VmName),
}

/// Holds the place of a running call among those that a crash would make suspect.
pub(crate) struct SuspectGuard {
    core: Rc<NodeCore>,
    attempt: AttemptId,
    fingerprint: RequestFingerprint,
    decision: Option<oneshot::Receiver<RunDecision>>,
    stage: RunStage,
}

/// How far a call has come at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunStage {
    /// No byte of it was sent.
    Unsent,
    /// It may run.
    Sent,
    /// The backend server answered.
    Answered,
}

impl SuspectGuard {
    /// Notes that the call goes to the backend server.
    pub(crate) const fn mark_sent(&mut self) {
        self.stage = RunStage::Sent;
    }

    /// Notes that the backend server answered.
    pub(crate) const fn mark_answered(&mut self) {
        self.stage = RunStage::Answered;
    }

    /// Waits until the peers know of the crash that may have kept the call from being sent, so
    /// that it meets nodes that know when it is sent to another one.
    pub(crate) async fn fail_unsent(mut self) {
        self.stage = RunStage::Unsent;
        if !self.core.backend.is_marked_down() {
            sleep(Duration::from_millis(2 * CRASH_LOOK_MS)).await;
        }
        wait_told(&self.core, self.fingerprint).await;
    }

    /// Learns whether the backend server crashed, and then waits until the peers know of it.
    ///
    /// Returns whether sending the call again might crash another backend server.
    pub(crate) async fn fail(mut self) -> bool {
        let core = Rc::clone(&self.core);
        sleep(Duration::from_millis(CRASH_LOOK_MS)).await;
        if core.backend.has_crashed().await {
            note_crash(&core);
        }
        let Some(decision) = self
            .decision
            .take()
            .filter(|_| core.backend.is_marked_down())
        else {
            return false;
        };
        let limit = Duration::from_millis(FAIL_WAIT_MS);
        match timeout(limit, decision).await {
            Ok(Ok(RunDecision::Fail { may_retry })) => !may_retry,
            _ => true,
        }
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.core.suspect_waiters.forget(self.attempt);
        change_suspects(&self.core, |table, now, actions| match self.stage {
            RunStage::Unsent => table.withdraw(now, self.attempt, actions),
            RunStage::Sent => table.abandon(now, self.attempt, actions),
            RunStage::Answered => table.finish(now, self.attempt, actions),
        });
    }
}

/// Waits until a call may run beside, or without, the others.
///
/// # Errors
///
/// Returns why it may not run here.
pub(crate) async fn enter_run(
    core: &Rc<NodeCore>,
    head: &CallHead,
    body: &[u8],
) -> Result<SuspectGuard, SuspectRefusal> {
    let fingerprint = fingerprint_of(head, body);
    let is_single = !head.once && idempotency_key(head).is_some();
    loop {
        let waiting = core.suspect_waiters.wait_for(head.attempt);
        let now = core.now();
        let decision = core
            .suspects
            .borrow_mut()
            .begin(now, fingerprint, head.attempt, is_single);
        let mut pass = SuspectGuard {
            core: Rc::clone(core),
            attempt: head.attempt,
            fingerprint,
            decision: Some(waiting),
            stage: RunStage::Unsent,
        };
        match decision {
            SuspectDecision::Run | SuspectDecision::RunAlone => return Ok(pass),
            SuspectDecision::Refuse => {
                return Err(SuspectRefusal::Quarantined);
            }
            SuspectDecision::SendTo(vm) => {
                wait_told(core, fingerprint).await;
                return Err(SuspectRefusal::SendTo(vm));
            }
            SuspectDecision::Wait => {}
        }
        let Some(waiting) = pass.decision.take() else {
            continue;
        };
        if let Ok(RunDecision::Start) = waiting.await {
            pass.decision = Some(core.suspect_waiters.wait_for(head.attempt));
            return Ok(pass);
        }
    }
}

/// Waits until the peers know of the crashes of a request.
async fn wait_told(core: &Rc<NodeCore>, fingerprint: RequestFingerprint) {
    while core.suspects.borrow().is_notifying(fingerprint) {
        sleep(Duration::from_millis(TELL_LOOK_MS)).await;
    }
}

/// Returns the refusal of a call that is in quarantine.
pub(crate) const fn quarantine_refusal() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::Quarantined)
}

/// Does what is due for the suspects.
pub(crate) fn poll_suspects(core: &Rc<NodeCore>) {
    change_suspects(core, SuspectTable::poll);
}

/// Takes news of a peer.
pub(crate) fn receive_news(
    core: &Rc<NodeCore>,
    from: &VmName,
    id: UpdateId,
    news: &[SuspectUpdate],
) {
    change_suspects(core, |table, now, actions| {
        table.receive(now, from.clone(), id, news, actions);
    });
}

/// Takes a peer's acknowledgement of news.
pub(crate) fn receive_ack(
    core: &Rc<NodeCore>,
    from: &VmName,
    id: UpdateId,
    news: &[SuspectUpdate],
) {
    change_suspects(core, |table, now, actions| {
        table.receive_ack(now, from, id, news, actions);
    });
}

/// Returns what makes two calls the same request.
pub(crate) fn fingerprint_of(head: &CallHead, body: &[u8]) -> RequestFingerprint {
    let mut content = head.method.clone().into_bytes();
    content.extend_from_slice(head.path.as_bytes());
    content.extend_from_slice(&head.body_bytes.unwrap_or_default().to_be_bytes());
    content.extend_from_slice(body);
    RequestFingerprint::new(&charged_team(head), &head.call, &content)
}

fn note_crash(core: &Rc<NodeCore>) {
    if core.backend.mark_down() {
        log::error!("event=backend-crashed running={}", core.running.len());
        core.is_backend_up.set(false);
        core.gate.reset();
    }
    change_suspects(core, SuspectTable::crash);
}

/// Changes the table of suspects, and then does what it wants done.
fn change_suspects(
    core: &Rc<NodeCore>,
    change: impl FnOnce(&mut SuspectTable, ClockTime, &mut Vec<SuspectAction>),
) {
    let mut actions = Vec::new();
    change(&mut core.suspects.borrow_mut(), core.now(), &mut actions);
    act_on_suspects(core, actions);
}

fn act_on_suspects(core: &Rc<NodeCore>, actions: Vec<SuspectAction>) {
    for action in actions {
        match action {
            SuspectAction::Notify(id, news) => tell_service(core, id, &news),
            SuspectAction::Ack {
                to,
                id,
                updates: news,
            } => {
                send_news(core, to, NodeMessage::SuspectAck(id, news));
            }
            SuspectAction::Fail { attempt, may_retry } => {
                let decision = RunDecision::Fail { may_retry };
                core.suspect_waiters.tell(attempt, decision);
            }
            SuspectAction::Start(attempt) => core.suspect_waiters.tell(attempt, RunDecision::Start),
            SuspectAction::Reconsider(attempt) => {
                core.suspect_waiters.tell(attempt, RunDecision::Reconsider);
            }
        }
    }
}

/// Sends news to the other nodes of the own service, the same ones that the table waits for.
fn tell_service(core: &Rc<NodeCore>, id: UpdateId, news: &[SuspectUpdate]) {
    let peers = core.suspects.borrow().peers().to_vec();
    for vm in peers {
        send_news(core, vm, NodeMessage::Suspect(id, news.to_vec()));
    }
}

/// Tells the table the other VMs of the own service, and new ones all that it knows.
pub(crate) fn put_siblings(core: &Rc<NodeCore>, siblings: Vec<VmName>) {
    let mut table = core.suspects.borrow_mut();
    let known = table.peers().to_vec();
    table.set_peers(siblings.clone());
    drop(table);
    for vm in siblings.into_iter().filter(|vm| !known.contains(vm)) {
        send_list(core, vm);
    }
}

/// Tells the other nodes of the own service to which a link was opened anew all that is known.
pub(crate) fn greet_siblings(core: &Rc<NodeCore>) {
    for vm in core.links.take_opened() {
        let is_sibling = core.suspects.borrow().peers().contains(&vm);
        if is_sibling {
            send_list(core, vm);
        }
    }
}

/// Takes all that a peer knows.
pub(crate) fn receive_list(core: &Rc<NodeCore>, news: &[SuspectUpdate]) {
    change_suspects(core, |table, now, actions| table.apply(now, news, actions));
}

fn send_list(core: &Rc<NodeCore>, vm: VmName) {
    let news = core.suspects.borrow().list().updates(core.now());
    if !news.is_empty() {
        send_news(core, vm, NodeMessage::SuspectList(news));
    }
}

fn send_news(core: &Rc<NodeCore>, vm: VmName, message: NodeMessage) {
    let core = Rc::clone(core);
    let sending = async move {
        exchange_message(&core, &vm, &message).await;
    };
    compio::runtime::spawn(sending).detach();
}
