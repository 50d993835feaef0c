use std::future::poll_fn;

use bytes::{Buf, Bytes, BytesMut};
use h2::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::LinkError;
use crate::codec::{MAX_MESSAGE_BYTES, decode, encode};

/// The length of the prefix that gives a head's length, in bytes.
const PREFIX_BYTES: usize = 4;

/// Writes a head with its length in front.
pub(crate) fn frame_head<T: Serialize>(head: &T) -> Result<Bytes, LinkError> {
    let body = encode(head)?;
    let length = u32::try_from(body.len()).map_err(|_| LinkError::LargeHead(body.len()))?;
    let mut frame = BytesMut::with_capacity(PREFIX_BYTES + body.len());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&body);
    Ok(frame.freeze())
}

/// Reads a head and returns it with the first bytes of the body.
pub(crate) async fn read_head<T: DeserializeOwned>(
    stream: &mut RecvStream,
) -> Result<(T, Bytes), LinkError> {
    let mut buffer = BytesMut::new();
    read_at_least(stream, &mut buffer, PREFIX_BYTES).await?;
    let length = buffer.get_u32() as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(LinkError::LargeHead(length));
    }
    read_at_least(stream, &mut buffer, length).await?;
    let head = buffer.split_to(length);
    Ok((decode(&head)?, buffer.freeze()))
}

/// Reads a whole message of `most_bytes` at most.
pub(crate) async fn read_message(
    stream: &mut RecvStream,
    most_bytes: usize,
) -> Result<Bytes, LinkError> {
    let mut buffer = BytesMut::new();
    while let Some(chunk) = next_chunk(stream).await? {
        buffer.extend_from_slice(&chunk);
        if buffer.len() > most_bytes {
            return Err(LinkError::LargeHead(buffer.len()));
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
        let chunk = next_chunk(stream).await?.ok_or(LinkError::CutHead)?;
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
