use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::timeout;
use model::{RefusalReason, RunVerdict, VmName};
use wire::{CallHead, LinkError, PeerLink};

use crate::answer_body::AnswerBody;
use crate::attempt_query::{fresh_mark, record_mark, resolve_attempt};
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::node_core::NodeCore;
use crate::request_body::read_to_end;

/// The longest time in which a VM must be reached, in milliseconds.
const REACH_LIMIT_MS: u64 = 1_000;
/// The largest answer that is read whole before it goes on, in bytes.
const SMALL_ANSWER_BYTES: u64 = 64 * 1024;

/// Sends a call to another VM, and settles whether it ran where its link broke.
pub(crate) async fn send_over_link(
    core: &Rc<NodeCore>,
    vm: &VmName,
    head: &mut CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> CallAnswer {
    let spare = body.try_clone();
    let is_repeatable = head.idempotent && !head.once && spare.is_some();
    let mut result = call_over_link(core, vm, head, body, deadline).await;
    if let (Err(LinkError::NotSent(_)), Some(body)) = (&result, spare) {
        result = call_over_link(core, vm, head, body, deadline).await;
    }
    let error = match result {
        Ok(answer) => return answer,
        Err(error) => error,
    };
    let verdict = match error.verdict() {
        RunVerdict::MayHaveRun => resolve_attempt(core, vm, head, deadline, is_repeatable).await,
        verdict => verdict,
    };
    link_failure(vm, head, &error, verdict)
}

/// Sends a call once, and reads a small answer whole, so that a cut one isn't begun.
///
/// A call that a closing link didn't take may be sent again over a new one.
async fn call_over_link(
    core: &NodeCore,
    vm: &VmName,
    head: &mut CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> Result<CallAnswer, LinkError> {
    let link = reach_vm(core, vm, head, deadline).await?;
    let asked = core.now();
    let (answer, body) = link.call(head, body).await?;
    if let Some(mark) = answer.mark {
        record_mark(core, vm, mark, asked);
    }
    let told = answer.body_bytes;
    let body = match told {
        Some(bytes) if bytes <= SMALL_ANSWER_BYTES => CallBody::Buffered(read_to_end(body).await?),
        _ => CallBody::Link(body),
    };
    let body = AnswerBody::new(body, told);
    Ok(CallAnswer { head: answer, body })
}

/// Returns the link to a VM, and puts a mark of its table of attempts into the head.
///
/// This takes a second and half of the time left at most, so that there is time for another VM.
/// An error tells that nothing was sent.
async fn reach_vm(
    core: &NodeCore,
    vm: &VmName,
    head: &mut CallHead,
    deadline: ClockTime,
) -> Result<Rc<PeerLink>, LinkError> {
    let left_ms = core.now().until_ms(deadline);
    let limit_ms = REACH_LIMIT_MS.min(left_ms / 2);
    let no_answer = || LinkError::ConnectTimeout(limit_ms);
    let reaching = async {
        let mark = fresh_mark(core, vm).await.ok_or_else(no_answer)?;
        head.mark = Some(mark);
        core.links.get(&core.settings, vm).await
    };
    let link = timeout(Duration::from_millis(limit_ms), reaching).await;
    link.unwrap_or_else(|_| Err(no_answer()))
}

/// Answers a call whose link failed.
fn link_failure(
    vm: &VmName,
    head: &CallHead,
    error: &LinkError,
    verdict: RunVerdict,
) -> CallAnswer {
    log::warn!(
        "event=link-failed request={} attempt={} vm={vm} verdict={} error={:?}",
        head.request,
        head.attempt,
        verdict.as_str(),
        error.to_string(),
    );
    let refusal = CallRefusal {
        verdict,
        ..CallRefusal::not_run(RefusalReason::LinkBroken)
    };
    let unspent = match verdict {
        RunVerdict::NotRun => head.allowance,
        _ => 0,
    };
    CallAnswer::refused(head, &refusal, unspent)
}
