use std::future::poll_fn;

use bytes::{Buf, Bytes, BytesMut};
use h2::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::LinkError;
use crate::codec::{MAX_MESSAGE_BYTES, decode, encode};

/// The size of the length prefix of a head, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Encodes a head with a length prefix.
pub(crate) fn frame_head<T: Serialize>(head: &T) -> Result<Bytes, LinkError> {
    let body = encode(head)?;
    let length = u32::try_from(body.len()).map_err(|_| LinkError::MessageTooLarge(body.len()))?;
    let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&body);
    Ok(frame.freeze())
}

/// Reads a head and returns it with the bytes of the body that were received along with it.
pub(crate) async fn read_head<T: DeserializeOwned>(
    stream: &mut RecvStream,
) -> Result<(T, Bytes), LinkError> {
    let mut buffer = BytesMut::new();
    read_at_least(stream, &mut buffer, LENGTH_PREFIX_BYTES).await?;
    let length = buffer.get_u32() as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(LinkError::MessageTooLarge(length));
    }
    read_at_least(stream, &mut buffer, length).await?;
    let head = buffer.split_to(length);
    Ok((decode(&head)?, buffer.freeze()))
}

/// Reads a message up to the end of the stream; fails when it is longer than `max_bytes`.
pub(crate) async fn read_message(
    stream: &mut RecvStream,
    max_bytes: usize,
) -> Result<Bytes, LinkError> {
    let mut buffer = BytesMut::new();
    while let Some(chunk) = next_chunk(stream).await? {
        buffer.extend_from_slice(&chunk);
        if buffer.len() > max_bytes {
            return Err(LinkError::MessageTooLarge(buffer.len()));
        }
    }
    Ok(buffer.freeze())
}

async fn read_at_least(
    stream: &mut RecvStream,
    buffer: &mut BytesMut,
    length: usize,
) -> Result<(), LinkError> {
    while buffer.len() < length {
        let chunk = next_chunk(stream).await?.ok_or(LinkError::TruncatedHead)?;
        buffer.extend_from_slice(&chunk);
    }
    Ok(())
}

async fn next_chunk(stream: &mut RecvStream) -> Result<Option<Bytes>, LinkError> {
    let chunk = poll_fn(|context| stream.poll_data(context)).await;
    let Some(chunk) = chunk.transpose().map_err(LinkError::Broken)? else {
        return Ok(None);
    };
    let _ = stream.flow_control().release_capacity(chunk.len());
    Ok(Some(chunk))
}
