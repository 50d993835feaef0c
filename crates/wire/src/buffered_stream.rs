use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::io::{AsyncBufRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

/// The initial size of a connection's read and write buffers, to which they shrink back; a call with
/// its head fits in.
const BUFFER_BYTES: usize = 2 * 1024;

/// A TCP connection with small buffers that implements the I/O traits of `hyper`.
///
/// A node holds hundreds of connections, most of them idle. An idle connection uses a few kilobytes,
/// and a read only touches the part of the reader's buffer that it fills.
#[derive(Debug)]
pub struct BufferedStream {
    stream: Pin<Box<AsyncStream<TcpStream>>>,
    received: u64,
}

impl BufferedStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: Box::pin(AsyncStream::with_capacity(BUFFER_BYTES, stream)),
            received: 0,
        }
    }

    /// Returns the number of bytes that have been read.
    #[must_use]
    pub const fn received(&self) -> u64 {
        self.received
    }
}

impl Read for BufferedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes = ready!(self.stream.as_mut().poll_fill_buf(context))?;
        let count = bytes.len().min(buffer.remaining());
        buffer.put_slice(&bytes[..count]);
        self.stream.as_mut().consume(count);
        self.received += count as u64;
        Poll::Ready(Ok(()))
    }
}

impl Write for BufferedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream.as_mut().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream.as_mut().poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_close(context)
    }
}
