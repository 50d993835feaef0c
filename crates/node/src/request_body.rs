use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use clock::ClockTime;
use compio::time::timeout;
use http::header::EXPECT;
use http::request::Parts;
use http_body::Body;
use hyper::body::Incoming;
use model::RefusalReason;

use crate::call_answer::CallRefusal;
use crate::call_body::CallBody;
use crate::http_body::HttpBody;
use crate::node_core::NodeCore;

/// The most of a refused request's body that is read, in bytes.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;
/// The longest time that a refused request's body is read on, in milliseconds.
const SKIP_MS: u64 = 2_000;

/// Reads a small body whole, so that it can be sent again; a large one stays a stream.
///
/// # Errors
///
/// Returns a refusal when the body is cut or doesn't arrive before the deadline.
pub(crate) async fn read_small(
    core: &NodeCore,
    body: Incoming,
    deadline: ClockTime,
) -> Result<CallBody, CallRefusal> {
    let body = HttpBody::new(body, core.settings.stall_limit_ms);
    match body.size_hint().exact() {
        Some(0) => return Ok(CallBody::Empty),
        Some(bytes) if bytes <= core.settings.whole_body_bytes => {}
        _ => return Ok(CallBody::Upload(body)),
    }
    let left = Duration::from_millis(core.now().until_ms(deadline));
    match timeout(left, read_whole(body)).await {
        Ok(Ok(bytes)) => Ok(CallBody::Whole(bytes)),
        Ok(Err(_)) => Err(CallRefusal::not_run(RefusalReason::BadRequest)),
        Err(_) => Err(CallRefusal::not_run(RefusalReason::DeadlinePassed)),
    }
}

/// Reads on in a body that is not wanted, for a while.
///
/// An answer that is given while the caller still sends can otherwise be lost: the connection is
/// closed with unread bytes, and the next request on it finds it closed. A caller that waits
/// before it sends its body isn't asked for it.
pub(crate) fn skip_body(parts: &Parts, body: Incoming) {
    if body.is_end_stream() || parts.headers.contains_key(EXPECT) {
        return;
    }
    let skipping = async move {
        let _ = timeout(Duration::from_millis(SKIP_MS), read_on(body)).await;
    };
    compio::runtime::spawn(skipping).detach();
}

async fn read_on(mut body: Incoming) {
    let mut left = MAX_SKIPPED_BYTES;
    while let Some(Ok(frame)) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        left = left.saturating_sub(bytes);
        if left == 0 {
            return;
        }
    }
}

/// Reads a small body that another node sends whole, so that copies of its call are recognised
/// by the same bytes at every node.
///
/// # Errors
///
/// Returns a refusal when the body is cut or doesn't arrive before the deadline.
pub(crate) async fn gather_small(
    core: &NodeCore,
    body: CallBody,
    told: Option<u64>,
    deadline: ClockTime,
) -> Result<CallBody, CallRefusal> {
    let CallBody::Link(link) = body else {
        return Ok(body);
    };
    match told {
        Some(0) => return Ok(CallBody::Empty),
        Some(bytes) if bytes <= core.settings.whole_body_bytes => {}
        _ => return Ok(CallBody::Link(link)),
    }
    let left = Duration::from_millis(core.now().until_ms(deadline));
    match timeout(left, read_whole(link)).await {
        Ok(Ok(bytes)) => Ok(CallBody::Whole(bytes)),
        Ok(Err(_)) => Err(CallRefusal::not_run(RefusalReason::LinkBroken)),
        Err(_) => Err(CallRefusal::not_run(RefusalReason::DeadlinePassed)),
    }
}

/// Reads a body to its end.
pub(crate) async fn read_whole<B>(mut body: B) -> Result<Bytes, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut whole = BytesMut::new();
    while let Some(frame) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
        if let Ok(data) = frame?.into_data() {
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}
