use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use clock::ClockTime;
use compio::time::timeout;
use http::header::EXPECT;
use http::request::Parts;
use http_body::Body;
use limit::ClientPort;
use model::RefusalReason;

use crate::call_answer::CallRefusal;
use crate::call_body::CallBody;
use crate::caller_body::CallerBody;
use crate::client_budget::{BodyHold, ClientRequest};
use crate::client_watch::close_excess;
use crate::http_body::HttpBody;
use crate::node_core::NodeCore;

/// The maximum number of bytes that are read and discarded of a refused request's body.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// The maximum time for which a refused request's body is read and discarded, in milliseconds.
const DISCARD_TIMEOUT_MS: u64 = 2_000;
/// The memory that is first taken for a body, in bytes.
const FIRST_BODY_BYTES: usize = 8 * 1024;
/// The delay after which a client may retry a request for whose body there was no memory, in
/// milliseconds.
const SHORT_RETRY_AFTER_MS: u64 = 1_000;

/// Buffers a small body so that it can be sent again, and returns it with what holds its memory. A
/// large body remains a stream.
///
/// # Errors
///
/// Returns a refusal when the body is interrupted, when it doesn't arrive before the deadline, or
/// when there is no memory for it.
pub(crate) async fn buffer_small_body(
    core: &NodeCore,
    parts: &Parts,
    body: CallerBody,
    deadline: ClockTime,
) -> Result<(CallBody, BodyHold), CallRefusal> {
    let request = parts.extensions.get::<ClientRequest>();
    let mut hold = core.clients.hold_body(request);
    let CallerBody::Incoming(body) = body else {
        return Ok((CallBody::Empty, hold));
    };
    let mut body = HttpBody::new(body, core.settings.stall_limit_ms);
    if let Some(request) = request {
        body = body.of_client(&core.clients, request.clone());
    }
    let declared = match body.size_hint().exact() {
        Some(0) => return Ok((CallBody::Empty, hold)),
        Some(bytes) if bytes <= core.settings.whole_body_bytes => bytes,
        _ => return Ok((CallBody::Upload(body), hold)),
    };
    let left = Duration::from_millis(core.now().until_ms(deadline));
    let reading = read_held(core, &mut body, declared, &mut hold);
    match timeout(left, reading).await {
        Ok(Ok(bytes)) => Ok((CallBody::Buffered(bytes), hold)),
        Ok(Err(ReadFault::Interrupted)) => Err(CallRefusal::not_run(RefusalReason::BadRequest)),
        Ok(Err(ReadFault::NoMemory)) => {
            discard_rest(body);
            Err(no_memory())
        }
        Err(_) => Err(CallRefusal::not_run(RefusalReason::DeadlinePassed)),
    }
}

/// Returns the refusal of a request for whose body there is no memory.
fn no_memory() -> CallRefusal {
    let refusal = CallRefusal::not_run(RefusalReason::Overloaded);
    refusal.with_retry_after_ms(SHORT_RETRY_AFTER_MS)
}

/// Why a body can't be buffered.
enum ReadFault {
    /// The body was interrupted.
    Interrupted,
    /// There is no memory for the body.
    NoMemory,
}

/// Reads a body of a declared length to its end. Its memory is taken as the bytes arrive, since a
/// client may declare more than it sends.
async fn read_held<B>(
    core: &NodeCore,
    body: &mut B,
    declared: u64,
    hold: &mut BodyHold,
) -> Result<Bytes, ReadFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    let declared = usize::try_from(declared).unwrap_or(usize::MAX);
    let mut buffer = Vec::new();
    while let Some(frame) = poll_fn(|context| Pin::new(&mut *body).poll_frame(context)).await {
        let frame = frame.map_err(|_| ReadFault::Interrupted)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let needed = buffer.len() + data.len();
        if needed > buffer.capacity() {
            let capacity = (2 * buffer.capacity()).max(FIRST_BODY_BYTES);
            let capacity = capacity.min(declared).max(needed);
            if !grow_hold(core, hold, capacity as u64) {
                return Err(ReadFault::NoMemory);
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    Ok(Bytes::from(buffer))
}

/// Holds `bytes` bytes for a body, and closes connections that keep the node waiting if memory is
/// short.
fn grow_hold(core: &NodeCore, hold: &mut BodyHold, bytes: u64) -> bool {
    if hold.grow_to(bytes) {
        return true;
    }
    close_excess(core, ClientPort::Callers);
    hold.grow_to(bytes)
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
    discard_rest(body);
}

/// Reads and discards the body of a refused request as [`discard_body`] does, after it was perhaps
/// buffered.
pub(crate) fn discard_unread(parts: &Parts, body: CallBody) {
    if matches!(body, CallBody::Upload(_)) && !parts.headers.contains_key(EXPECT) {
        discard_rest(body);
    }
}

/// Reads and discards what is left of a body, up to a limit in time and size.
fn discard_rest<B>(body: B)
where
    B: Body<Data = Bytes> + Unpin + 'static,
{
    let discarding = async move {
        let _ = timeout(
            Duration::from_millis(DISCARD_TIMEOUT_MS),
            discard_frames(body),
        )
        .await;
    };
    compio::runtime::spawn(discarding).detach();
}

async fn discard_frames<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
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
) -> Result<(CallBody, BodyHold), CallRefusal> {
    let mut hold = core.clients.hold_body(None);
    let CallBody::Link(mut link) = body else {
        return Ok((body, hold));
    };
    let declared = match declared_bytes {
        Some(0) => return Ok((CallBody::Empty, hold)),
        Some(bytes) if bytes <= core.settings.whole_body_bytes => bytes,
        _ => return Ok((CallBody::Link(link), hold)),
    };
    let left = Duration::from_millis(core.now().until_ms(deadline));
    let reading = read_held(core, &mut link, declared, &mut hold);
    match timeout(left, reading).await {
        Ok(Ok(bytes)) => Ok((CallBody::Buffered(bytes), hold)),
        Ok(Err(ReadFault::Interrupted)) => Err(CallRefusal::not_run(RefusalReason::LinkBroken)),
        Ok(Err(ReadFault::NoMemory)) => Err(no_memory()),
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
