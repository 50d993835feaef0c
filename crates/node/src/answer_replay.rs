use bytes::Bytes;
use model::{RefusalReason, RunVerdict};
use once::StoredAnswer;
use wire::{AnswerHead, CallHead};

use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::request_body::read_to_end;

/// The size of the largest answer that is stored for duplicates of its call, in bytes.
const MAX_STORED_ANSWER_BYTES: u64 = 64 * 1024;

/// Buffers a small answer and returns a copy to store, with which duplicates of its call can be
/// answered.
pub(crate) async fn store_answer(
    head: &mut AnswerHead,
    body: CallBody,
) -> Result<(CallBody, Option<StoredAnswer>), CallRefusal> {
    let is_small = head
        .body_bytes
        .is_some_and(|bytes| bytes <= MAX_STORED_ANSWER_BYTES);
    let CallBody::Http(incoming) = body else {
        return Ok((body, None));
    };
    if !is_small {
        return Ok((CallBody::Http(incoming), None));
    }
    let body = read_to_end(incoming).await;
    let body = body.map_err(|_| CallRefusal::may_have_run(RefusalReason::BackendFailed))?;
    let stored = wire::encode(head).ok();
    let stored = stored.map(|encoded| StoredAnswer::new(encoded, body.to_vec()));
    Ok((CallBody::Buffered(body), stored))
}

/// Answers a duplicate with the stored answer of the call that ran.
pub(crate) fn replay_answer(head: &CallHead, stored: &StoredAnswer) -> CallAnswer {
    let Ok(stored_head) = wire::decode::<AnswerHead>(&stored.head) else {
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
            ..stored_head
        },
        body: CallBody::Buffered(Bytes::copy_from_slice(&stored.body)).into(),
    }
}
