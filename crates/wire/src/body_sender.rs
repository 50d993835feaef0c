use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use bytes::Bytes;
use h2::{Reason, SendStream};
use http_body::{Body, Frame};

/// The largest flow-control capacity reserved at once, in bytes.
const MAX_RESERVED_BYTES: usize = 64 * 1024;

/// Why a body wasn't sent completely.
pub(crate) enum SendBodyError {
    /// The peer cancelled the stream or the link broke.
    Closed,
    /// Reading the body from its source failed.
    Source,
}

/// Sends a body with its trailers. If its source fails, the stream is reset, so that the peer can
/// tell a truncated body from a complete one.
pub(crate) async fn send_body<B>(
    mut body: B,
    stream: &mut SendStream<Bytes>,
) -> Result<(), SendBodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    while let Some(frame) = next_frame(&mut body, stream).await? {
        let Ok(frame) = frame else {
            stream.send_reset(Reason::INTERNAL_ERROR);
            return Err(SendBodyError::Source);
        };
        match frame.into_data() {
            Ok(chunk) => send_all(stream, chunk).await?,
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    let sent = stream.send_trailers(trailers);
                    return sent.map_err(|_| SendBodyError::Closed);
                }
            }
        }
    }
    let sent = stream.send_data(Bytes::new(), true);
    sent.map_err(|_| SendBodyError::Closed)
}

/// Returns the next frame of a body, unless the peer resets the stream before there is one.
async fn next_frame<B>(
    body: &mut B,
    stream: &mut SendStream<Bytes>,
) -> Result<Option<Result<Frame<Bytes>, B::Error>>, SendBodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    poll_fn(|context| match Pin::new(&mut *body).poll_frame(context) {
        Poll::Ready(frame) => Poll::Ready(Ok(frame)),
        Poll::Pending => {
            let reset = stream.poll_reset(context);
            reset.map(|_| Err(SendBodyError::Closed))
        }
    })
    .await
}

/// Sends bytes as flow control permits.
pub(crate) async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut chunk: Bytes,
) -> Result<(), SendBodyError> {
    while !chunk.is_empty() {
        stream.reserve_capacity(chunk.len().min(MAX_RESERVED_BYTES));
        let capacity = poll_fn(|context| stream.poll_capacity(context)).await;
        let Some(Ok(capacity)) = capacity else {
            return Err(SendBodyError::Closed);
        };
        let piece = chunk.split_to(capacity.min(chunk.len()));
        let sent = stream.send_data(piece, false);
        sent.map_err(|_| SendBodyError::Closed)?;
    }
    Ok(())
}
