use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use model::{AttemptId, RunVerdict, VmName};
use once::{AttemptState, TableMark};
use wire::CallHead;

use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};
use crate::peer_exchange::exchange_message;

/// The age from which a mark is requested again before it is used, in milliseconds.
const MAX_MARK_AGE_MS: u64 = 10_000;
/// The time between two queries about a running attempt, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 50;
/// The timeout of a query, in milliseconds.
const QUERY_TIMEOUT_MS: u64 = 1_500;
/// The timeout of a query about an attempt whose call may also run on another VM, in milliseconds.
const REPEATABLE_QUERY_TIMEOUT_MS: u64 = 250;

/// The latest mark of a node's attempt table, and when it was requested.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedMark {
    pub(crate) mark: TableMark,
    pub(crate) requested_at: ClockTime,
}

/// Returns a recent mark of a VM's attempt table, and requests one if none is stored.
pub(crate) async fn fresh_mark(core: &NodeCore, vm: &VmName) -> Option<TableMark> {
    let received = core.marks.borrow().get(vm).copied();
    if let Some(received) = received
        && core.now().since_ms(received.requested_at) < MAX_MARK_AGE_MS
    {
        return Some(received.mark);
    }
    let requested_at = core.now();
    match exchange_message(core, vm, &NodeMessage::QueryMark).await {
        Some(NodeReply::Mark(mark)) => {
            record_mark(core, vm, mark, requested_at);
            Some(mark)
        }
        _ => None,
    }
}

/// Stores the mark that came with the answer to a message sent at `requested_at`.
pub(crate) fn record_mark(core: &NodeCore, vm: &VmName, mark: TableMark, requested_at: ClockTime) {
    let received = ReceivedMark { mark, requested_at };
    core.marks.borrow_mut().insert(vm.clone(), received);
}

/// Queries a node, over a new connection, for the outcome of an attempt whose link broke.
///
/// Returns the verdict. Waits for a running attempt until the deadline, unless its call
/// `is_repeatable` and can be sent to another VM instead.
pub(crate) async fn resolve_attempt(
    core: &Rc<NodeCore>,
    vm: &VmName,
    head: &CallHead,
    deadline: ClockTime,
    is_repeatable: bool,
) -> RunVerdict {
    let Some(mark) = head.mark else {
        return RunVerdict::MayHaveRun;
    };
    let timeout_ms = if is_repeatable {
        REPEATABLE_QUERY_TIMEOUT_MS
    } else {
        QUERY_TIMEOUT_MS
    };
    while core.now() < deadline {
        let timeout_ms = timeout_ms.min(core.now().until_ms(deadline));
        let state = query_attempt(core, vm, head.attempt, mark, timeout_ms).await;
        match state {
            Some(AttemptState::NotSeen | AttemptState::NotRun) => return RunVerdict::NotRun,
            Some(AttemptState::Done(_)) => return RunVerdict::Ran,
            Some(AttemptState::Unknown) | None => return RunVerdict::MayHaveRun,
            Some(AttemptState::Running) if is_repeatable => return RunVerdict::MayHaveRun,
            Some(AttemptState::Running) => sleep(Duration::from_millis(QUERY_INTERVAL_MS)).await,
        }
    }
    RunVerdict::MayHaveRun
}

async fn query_attempt(
    core: &NodeCore,
    vm: &VmName,
    attempt: AttemptId,
    mark: TableMark,
    timeout_ms: u64,
) -> Option<AttemptState> {
    let message = NodeMessage::QueryAttempt(attempt, mark);
    let query = exchange_message(core, vm, &message);
    match timeout(Duration::from_millis(timeout_ms), query).await {
        Ok(Some(NodeReply::Attempt(state))) => Some(state),
        _ => None,
    }
}
