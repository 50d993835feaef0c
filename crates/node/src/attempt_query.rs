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

/// The age at which a mark is asked for anew before it is used, in milliseconds.
const MARK_AGE_MS: u64 = 10_000;
/// The time between two questions about an attempt, in milliseconds.
const ASK_EVERY_MS: u64 = 50;
/// The time that an answer to a question may take, in milliseconds.
const ASK_LIMIT_MS: u64 = 1_500;
/// The same for an attempt whose call another VM may run as well, in milliseconds.
const REPEATABLE_LIMIT_MS: u64 = 250;

/// The latest mark of a node's table of attempts, and when it was asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeardMark {
    pub(crate) mark: TableMark,
    pub(crate) asked: ClockTime,
}

/// Returns a recent mark of a VM's table of attempts, asked for where none is at hand.
pub(crate) async fn fresh_mark(core: &NodeCore, vm: &VmName) -> Option<TableMark> {
    let heard = core.marks.borrow().get(vm).copied();
    if let Some(heard) = heard
        && core.now().since_ms(heard.asked) < MARK_AGE_MS
    {
        return Some(heard.mark);
    }
    let asked = core.now();
    match exchange_message(core, vm, &NodeMessage::QueryMark).await {
        Some(NodeReply::Mark(mark)) => {
            note_mark(core, vm, mark, asked);
            Some(mark)
        }
        _ => None,
    }
}

/// Keeps the mark that came with an answer to a question asked at `asked`.
pub(crate) fn note_mark(core: &NodeCore, vm: &VmName, mark: TableMark, asked: ClockTime) {
    let heard = HeardMark { mark, asked };
    core.marks.borrow_mut().insert(vm.clone(), heard);
}

/// Asks a node, over a new connection, what became of an attempt whose link broke.
///
/// Returns the verdict that holds; an attempt that runs is waited for until the deadline, unless
/// its call `is_repeatable` and had better go to another VM.
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
    let limit_ms = if is_repeatable {
        REPEATABLE_LIMIT_MS
    } else {
        ASK_LIMIT_MS
    };
    while core.now() < deadline {
        let limit_ms = limit_ms.min(core.now().until_ms(deadline));
        let state = ask_attempt(core, vm, head.attempt, mark, limit_ms).await;
        match state {
            Some(AttemptState::NotSeen | AttemptState::NotRun) => return RunVerdict::NotRun,
            Some(AttemptState::Done(_)) => return RunVerdict::Ran,
            Some(AttemptState::Unknown) | None => return RunVerdict::MayHaveRun,
            Some(AttemptState::Running) if is_repeatable => return RunVerdict::MayHaveRun,
            Some(AttemptState::Running) => sleep(Duration::from_millis(ASK_EVERY_MS)).await,
        }
    }
    RunVerdict::MayHaveRun
}

async fn ask_attempt(
    core: &NodeCore,
    vm: &VmName,
    attempt: AttemptId,
    mark: TableMark,
    limit_ms: u64,
) -> Option<AttemptState> {
    let message = NodeMessage::QueryAttempt(attempt, mark);
    let asking = exchange_message(core, vm, &message);
    match timeout(Duration::from_millis(limit_ms), asking).await {
        Ok(Some(NodeReply::Attempt(state))) => Some(state),
        _ => None,
    }
}
