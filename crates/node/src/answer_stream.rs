use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBufCursor, Write};
use thiserror::Error;
use wire::BufferedStream;

use crate::sent_body::SendProgress;

/// A backend server has sent more bytes than an answer may have before its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the bytes before the end of the answer's head exceed the limit")]
struct HeadTooLong;

/// The bytes that may still be read before the head of an answer is complete; `None` while no head
/// is read.
pub(crate) type HeadBudget = Rc<Cell<Option<u64>>>;

/// A connection to the backend server that fails when an answer is too long before its body.
///
/// `hyper` bounds a head, but skips any number of interim answers before it.
pub(crate) struct AnswerStream {
    stream: BufferedStream,
    budget: HeadBudget,
    progress: SendProgress,
}

impl AnswerStream {
    /// Wraps a connection whose heads are limited by a budget, and which records the progress of
    /// requests.
    pub(crate) const fn new(
        stream: BufferedStream,
        budget: HeadBudget,
        progress: SendProgress,
    ) -> Self {
        Self {
            stream,
            budget,
            progress,
        }
    }
}

impl Read for AnswerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.budget.get() == Some(0) {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, HeadTooLong)));
        }
        let before = self.stream.received();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = self.stream.received() - before;
        let budget = self.budget.get();
        self.budget
            .set(budget.map(|budget| budget.saturating_sub(count)));
        Poll::Ready(Ok(()))
    }
}

impl Write for AnswerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
