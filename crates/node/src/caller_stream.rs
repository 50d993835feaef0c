use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use wire::BufferedStream;

use crate::client_budget::ClientConnection;
use crate::node_settings::NodeSettings;
use crate::request_ahead::RequestsAhead;
use crate::stall_timer::StallTimer;

/// The length of the HTTP/2 connection preface, in bytes. The server detects the protocol by these
/// bytes and applies its own timeouts after them.
const PREFACE_BYTES: usize = 24;
/// The connection preface of HTTP/2.
const HTTP2_PREFACE: &[u8; PREFACE_BYTES] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// An accepted connection that fails if its peer stops reading, or if the peer is too slow to send
/// the bytes that identify its protocol.
pub(crate) struct CallerStream {
    socket: CallerSocket,
    write_timer: StallTimer,
    /// Reads the requests that are sent ahead, on the ports that run them.
    ahead: Option<Rc<RequestsAhead>>,
}

/// The connection with its limit on the time for the first bytes.
pub(crate) struct CallerSocket {
    stream: BufferedStream,
    preface: Option<PrefaceReader>,
    client: Rc<ClientConnection>,
    http2_window_bytes: u32,
}

impl CallerSocket {
    /// Returns the number of bytes that have been read.
    pub(crate) const fn received(&self) -> u64 {
        self.stream.received()
    }

    /// Reads, and counts the bytes of the client.
    pub(crate) fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self
            .preface
            .as_ref()
            .is_some_and(PrefaceReader::is_complete)
        {
            let is_http2 = self
                .preface
                .take()
                .is_some_and(|preface| preface.is_http2());
            if is_http2 {
                self.client.use_http2(self.http2_window_bytes);
            }
        }
        let before = self.stream.received();
        let poll = match &mut self.preface {
            Some(preface) => preface.poll_read(&mut self.stream, context, buffer),
            None => Pin::new(&mut self.stream).poll_read(context, buffer),
        };
        let read_bytes = self.stream.received() - before;
        self.client
            .record_read(poll.is_ready().then_some(read_bytes));
        poll
    }
}

/// Reads the first bytes of a connection with a time limit.
struct PrefaceReader {
    seen_bytes: usize,
    is_http2: bool,
    has_request: Rc<Cell<bool>>,
    timer: StallTimer,
}

impl PrefaceReader {
    /// Reads up to the end of the preface, and fails after the time limit.
    fn poll_read(
        &mut self,
        stream: &mut BufferedStream,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; PREFACE_BYTES];
        let left = (PREFACE_BYTES - self.seen_bytes).min(buffer.remaining());
        let mut first = ReadBuf::new(&mut bytes[..left]);
        match Pin::new(stream).poll_read(context, first.unfilled()) {
            Poll::Ready(Ok(())) => {
                let seen = &HTTP2_PREFACE[self.seen_bytes..];
                self.is_http2 &= seen.starts_with(first.filled());
                self.seen_bytes += first.filled().len();
                buffer.put_slice(first.filled());
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                let stalled = self.timer.poll_stalled(context);
                stalled.map(|()| Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }

    /// Returns whether the connection speaks HTTP/2.
    const fn is_http2(&self) -> bool {
        self.is_http2 && self.seen_bytes == PREFACE_BYTES
    }

    fn is_complete(&self) -> bool {
        self.seen_bytes == PREFACE_BYTES || self.has_request.get()
    }
}

impl CallerStream {
    /// Creates a connection that limits the time for the preface and for each write. The limit for
    /// the preface ends when `has_request` is set, which means that a request has arrived.
    pub(crate) fn new(
        stream: TcpStream,
        has_request: Rc<Cell<bool>>,
        settings: &NodeSettings,
        ahead: Option<Rc<RequestsAhead>>,
        client: Rc<ClientConnection>,
    ) -> Self {
        let preface = PrefaceReader {
            seen_bytes: 0,
            is_http2: true,
            has_request,
            timer: StallTimer::new(settings.head_limit_ms),
        };
        Self {
            socket: CallerSocket {
                stream: BufferedStream::new(stream),
                preface: Some(preface),
                client,
                http2_window_bytes: settings.clients.http2_window_bytes,
            },
            write_timer: StallTimer::new(settings.stall_limit_ms),
            ahead,
        }
    }

    /// Fails a write that has made no progress for too long.
    fn limit_write<T>(
        &mut self,
        context: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.write_timer.record_progress();
            return poll;
        }
        let stalled = self.write_timer.poll_stalled(context);
        stalled.map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let connection = &mut *self;
        match &connection.ahead {
            Some(ahead) => ahead.poll_read(context, &mut connection.socket, buffer),
            None => connection.socket.poll_read(context, buffer),
        }
    }
}

impl Write for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.socket.stream).poll_write(context, bytes);
        self.socket.client.record_write(written_bytes(&poll));
        self.limit_write(context, poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.socket.stream).poll_write_vectored(context, buffers);
        self.socket.client.record_write(written_bytes(&poll));
        self.limit_write(context, poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.socket.stream).poll_flush(context);
        self.socket
            .client
            .record_write(poll.is_ready().then_some(0));
        self.limit_write(context, poll)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.socket.stream).poll_shutdown(context);
        ready!(self.limit_write(context, poll))?;
        let connection = &mut *self;
        if let Some(ahead) = &connection.ahead {
            ready!(ahead.poll_drop_unread(context, &mut connection.socket));
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns the number of bytes that a write has taken, or `None` if it waits.
const fn written_bytes(poll: &Poll<io::Result<usize>>) -> Option<u64> {
    match poll {
        Poll::Ready(Ok(bytes)) => Some(*bytes as u64),
        Poll::Ready(Err(_)) => Some(0),
        Poll::Pending => None,
    }
}
