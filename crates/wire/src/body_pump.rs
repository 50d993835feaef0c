use std::future::poll_fn;
use std::pin::Pin;

use bytes::Bytes;
use h2::{Reason, SendStream};
use http_body::Body;

/// The most bytes asked of flow control at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// Why a body didn't reach the other end whole.
pub(crate) enum PumpError {
    /// The other end gave up or the link broke.
    Closed,
    /// The source of the body failed.
    Source,
}

/// Sends a whole body; a source that fails resets the stream, so that the far end sees a cut.
pub(crate) async fn pump_body<B>(
    mut body: B,
    stream: &mut SendStream<Bytes>,
) -> Result<(), PumpError>
where
    B: Body<Data = Bytes> + Unpin,
{
    while let Some(frame) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
        let Ok(frame) = frame else {
            stream.send_reset(Reason::INTERNAL_ERROR);
            return Err(PumpError::Source);
        };
        match frame.into_data() {
            Ok(chunk) => send_all(stream, chunk).await?,
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    let sent = stream.send_trailers(trailers);
                    return sent.map_err(|_| PumpError::Closed);
                }
            }
        }
    }
    let sent = stream.send_data(Bytes::new(), true);
    sent.map_err(|_| PumpError::Closed)
}

/// Sends bytes as flow control allows.
pub(crate) async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut chunk: Bytes,
) -> Result<(), PumpError> {
    while !chunk.is_empty() {
        stream.reserve_capacity(chunk.len().min(CHUNK_BYTES));
        let capacity = poll_fn(|context| stream.poll_capacity(context)).await;
        let Some(Ok(capacity)) = capacity else {
            return Err(PumpError::Closed);
        };
        let part = chunk.split_to(capacity.min(chunk.len()));
        let sent = stream.send_data(part, false);
        sent.map_err(|_| PumpError::Closed)?;
    }
    Ok(())
}
