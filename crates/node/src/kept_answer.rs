use bytes::Bytes;
use model::{RefusalReason, RunVerdict};
use once::StoredAnswer;
use wire::{AnswerHead, CallHead};

use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::request_body::read_whole;

/// The largest answer that is kept for duplicates of its call, in bytes.
const MAX_KEPT_ANSWER_BYTES: u64 = 64 * 1024;

/// Reads a small answer whole, so that duplicates of its call can be given it.
pub(crate) async fn keep_answer(
    head: &mut AnswerHead,
    body: CallBody,
) -> Result<(CallBody, Option<StoredAnswer>), CallRefusal> {
    let is_small = head
        .body_bytes
        .is_some_and(|bytes| bytes <= MAX_KEPT_ANSWER_BYTES);
    let CallBody::Http(incoming) = body else {
        return Ok((body, None));
    };
    if !is_small {
        return Ok((CallBody::Http(incoming), None));
    }
    let whole = read_whole(incoming).await;
    let whole = whole.map_err(|_| CallRefusal::may_have_run(RefusalReason::BackendFailed))?;
    let stored = wire::encode(head).ok();
    let stored = stored.map(|encoded| StoredAnswer::new(encoded, whole.to_vec()));
    Ok((CallBody::Whole(whole), stored))
}

/// Gives a duplicate the answer of the call that ran.
pub(crate) fn replay_answer(head: &CallHead, stored: &StoredAnswer) -> CallAnswer {
    let Ok(kept) = wire::decode::<AnswerHead>(&stored.head) else {
        let refusal = CallRefusal {
            verdict: RunVerdict::Ran,
            ..CallRefusal::not_run(RefusalReason::Duplicate)
        };
        return CallAnswer::refused(head, &refusal, head.allowance);
    };
    CallAnswer {
        head: AnswerHead {
            request: head.request,
            attempt: head.attempt,
            allowance_left: head.allowance,
            ..kept
        },
        body: CallBody::Whole(Bytes::copy_from_slice(&stored.body)).into(),
    }
}
