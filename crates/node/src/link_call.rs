use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::timeout;
use model::{RefusalReason, RunVerdict, VmName};
use wire::{CallHead, LinkError, PeerLink};

use crate::answer_body::AnswerBody;
use crate::answer_deadline::AnswerDeadline;
use crate::attempt_query::{fresh_mark, record_mark, resolve_attempt};
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::node_core::NodeCore;
use crate::request_body::read_to_end;

/// The longest time to get the mark of a VM's attempt table and a link to the VM, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The largest answer that is buffered whole before it is forwarded, in bytes.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Sends a call to another VM.
///
/// If the call wasn't sent because its link was closing, it is sent once more over a new link. If
/// the link breaks later, the other VM is queried whether the call ran.
pub(crate) async fn send_over_link(
    core: &Rc<NodeCore>,
    vm: &VmName,
    head: &mut CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> CallAnswer {
    let body_copy = body.try_clone();
    let is_repeatable = head.idempotent && !head.once && body_copy.is_some();
    let mut result = call_over_link(core, vm, head, body, deadline).await;
    if let (Err(LinkError::NotSent(_)), Some(body)) = (&result, body_copy) {
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

/// Sends a call once, over the open link to a VM or a new one.
///
/// A small answer is read whole before this returns, so that no incomplete answer is forwarded if
/// the link breaks.
async fn call_over_link(
    core: &Rc<NodeCore>,
    vm: &VmName,
    head: &mut CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> Result<CallAnswer, LinkError> {
    let link = link_to(core, vm, head, deadline).await?;
    let sent_at = core.now();
    let (answer, body) = link.call(head, body).await?;
    if let Some(mark) = answer.mark {
        record_mark(core, vm, mark, sent_at);
    }
    let body_bytes = answer.body_bytes;
    let body = match body_bytes {
        Some(bytes) if bytes <= MAX_BUFFERED_BYTES => CallBody::Buffered(read_to_end(body).await?),
        _ => CallBody::Link(body),
    };
    let body = AnswerBody::new(body, body_bytes);
    let body = body.ending_at(AnswerDeadline::new(core, head, deadline));
    Ok(CallAnswer { head: answer, body })
}

/// Returns the link to a VM, and sets the mark of the VM's attempt table in the head.
///
/// With the mark, the VM can later tell an attempt that never arrived from one that it no longer
/// has a record of. This takes at most [`CONNECT_TIMEOUT_MS`] and at most half of the time left, so
/// that there is time to try another VM. After an error, nothing was sent.
async fn link_to(
    core: &NodeCore,
    vm: &VmName,
    head: &mut CallHead,
    deadline: ClockTime,
) -> Result<Rc<PeerLink>, LinkError> {
    let left_ms = core.now().until_ms(deadline);
    let timeout_ms = CONNECT_TIMEOUT_MS.min(left_ms / 2);
    let connect_timeout = || LinkError::ConnectTimeout(timeout_ms);
    let connecting = async {
        let mark = fresh_mark(core, vm).await.ok_or_else(connect_timeout)?;
        head.mark = Some(mark);
        core.links.get(&core.settings, vm).await
    };
    let link = timeout(Duration::from_millis(timeout_ms), connecting).await;
    link.unwrap_or_else(|_| Err(connect_timeout()))
}

/// Logs the failure of a call's link, and returns the refusal of the call.
///
/// The retry allowance is returned only if the call certainly hasn't run; otherwise it may be spent.
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
    let allowance_left = match verdict {
        RunVerdict::NotRun => head.allowance,
        _ => 0,
    };
    CallAnswer::refused(head, &refusal, allowance_left)
}
