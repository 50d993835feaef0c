use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use clock::ClockTime;
use compio::time::timeout;
use http::header::EXPECT;
use http::request::Parts;
use http_body::Body;
use model::RefusalReason;

use crate::call_answer::CallRefusal;
use crate::call_body::CallBody;
use crate::caller_body::CallerBody;
use crate::http_body::HttpBody;
use crate::node_core::NodeCore;

/// The maximum number of bytes that are read and discarded of a refused request's body.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// The maximum time for which a refused request's body is read and discarded, in milliseconds.
const DISCARD_TIMEOUT_MS: u64 = 2_000;

/// Buffers a small body so that it can be sent again. A large body remains a stream.
///
/// # Errors
///
/// Returns a refusal when the body is interrupted or doesn't arrive before the deadline.
pub(crate) async fn buffer_small_body(
    core: &NodeCore,
    body: CallerBody,
    deadline: ClockTime,
) -> Result<CallBody, CallRefusal> {
    let CallerBody::Incoming(body) = body else {
        return Ok(CallBody::Empty);
    };
    let body = HttpBody::new(body, core.settings.stall_limit_ms);
    match body.size_hint().exact() {
        Some(0) => return Ok(CallBody::Empty),
        Some(bytes) if bytes <= core.settings.whole_body_bytes => {}
        _ => return Ok(CallBody::Upload(body)),
    }
    let left = Duration::from_millis(core.now().until_ms(deadline));
    match timeout(left, read_to_end(body)).await {
        Ok(Ok(bytes)) => Ok(CallBody::Buffered(bytes)),
        Ok(Err(_)) => Err(CallRefusal::not_run(RefusalReason::BadRequest)),
        Err(_) => Err(CallRefusal::not_run(RefusalReason::DeadlinePassed)),
    }
}

/// Reads and discards the body of a refused request, up to a limit in time and size.
///
/// Otherwise the connection is closed with unread bytes: a caller that is still sending can lose
/// the answer, and its next request on the connection fails. A caller that waits for
/// `100 Continue` isn't asked for the body.
pub(crate) fn discard_body(parts: &Parts, body: CallerBody) {
    if body.is_end_stream() || parts.headers.contains_key(EXPECT) {
        return;
    }
    let discarding = async move {
        let _ = timeout(
            Duration::from_millis(DISCARD_TIMEOUT_MS),
            discard_frames(body),
        )
        .await;
    };
    compio::runtime::spawn(discarding).detach();
}

async fn discard_frames(mut body: CallerBody) {
    let mut left = MAX_DISCARDED_BYTES;
    while let Some(Ok(frame)) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        left = left.saturating_sub(bytes);
        if left == 0 {
            return;
        }
    }
}

/// Buffers a small body that arrives over a link, so that every node recognizes copies of the call
/// by the same bytes. Other bodies are returned unchanged.
///
/// # Errors
///
/// Returns a refusal when the body is interrupted or doesn't arrive before the deadline.
pub(crate) async fn buffer_small_link_body(
    core: &NodeCore,
    body: CallBody,
    declared_bytes: Option<u64>,
    deadline: ClockTime,
) -> Result<CallBody, CallRefusal> {
    let CallBody::Link(link) = body else {
        return Ok(body);
    };
    match declared_bytes {
        Some(0) => return Ok(CallBody::Empty),
        Some(bytes) if bytes <= core.settings.whole_body_bytes => {}
        _ => return Ok(CallBody::Link(link)),
    }
    let left = Duration::from_millis(core.now().until_ms(deadline));
    match timeout(left, read_to_end(link)).await {
        Ok(Ok(bytes)) => Ok(CallBody::Buffered(bytes)),
        Ok(Err(_)) => Err(CallRefusal::not_run(RefusalReason::LinkBroken)),
        Err(_) => Err(CallRefusal::not_run(RefusalReason::DeadlinePassed)),
    }
}

/// Reads a body to its end, without its trailers.
pub(crate) async fn read_to_end<B>(mut body: B) -> Result<Bytes, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = BytesMut::new();
    while let Some(frame) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
        if let Ok(data) = frame?.into_data() {
            buffer.extend_from_slice(&data);
        }
    }
    Ok(buffer.freeze())
}
