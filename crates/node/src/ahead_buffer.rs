use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::{Buf, BytesMut};
use hyper::rt::ReadBufCursor;

use crate::ahead_parser::{HeadFrame, HeadParse, has_head_end, parse_head};
use crate::byte_count::ByteCount;

/// The bytes of a connection that were read and not passed on to the HTTP implementation.
///
/// They begin with the heads of the requests that were started before their turn. The bytes of the
/// first head stay until all of them were passed on.
pub(crate) struct AheadBuffer {
    bytes: BytesMut,
    count: ByteCount,
    /// The number of bytes of the first head that were passed on.
    passed_bytes: usize,
    /// The heads of the started requests, in order.
    started: VecDeque<HeadFrame>,
    /// The number of bytes behind the started heads that were searched for the end of a head.
    scanned_bytes: usize,
}

impl AheadBuffer {
    /// Creates an empty buffer whose size counts towards a total.
    pub(crate) fn new(total: &Rc<Cell<usize>>) -> Self {
        Self {
            bytes: BytesMut::new(),
            count: ByteCount::new(total),
            passed_bytes: 0,
            started: VecDeque::new(),
            scanned_bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether every byte was passed on.
    pub(crate) fn is_passed(&self) -> bool {
        self.passed_bytes == self.bytes.len()
    }

    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        self.count.set(self.bytes.len());
    }

    /// Drops all bytes, and returns their number.
    pub(crate) fn clear(&mut self) -> usize {
        let bytes = self.bytes.len();
        self.started.clear();
        self.passed_bytes = 0;
        self.consume(bytes);
        bytes
    }

    /// Passes on bytes of a body, at most `limit`, and returns their number.
    pub(crate) fn pass_body(&mut self, limit: usize, cursor: &mut ReadBufCursor<'_>) -> usize {
        let count = self.bytes.len().min(limit).min(cursor.remaining());
        cursor.put_slice(&self.bytes[..count]);
        self.consume(count);
        count
    }

    /// Returns the bytes of a body that can be passed on at once.
    pub(crate) fn body_bytes(&self, limit: usize) -> &[u8] {
        &self.bytes[..limit.min(self.bytes.len())]
    }

    /// Passes on bytes of the first head, up to a number of its bytes.
    pub(crate) fn pass_head(&mut self, bytes: usize, cursor: &mut ReadBufCursor<'_>) {
        let end = bytes.min(self.passed_bytes + cursor.remaining());
        cursor.put_slice(&self.bytes[self.passed_bytes..end]);
        self.passed_bytes = end;
    }

    /// Removes the first head if all of it was passed on. Returns whether it was.
    pub(crate) fn end_head(&mut self, frame: HeadFrame) -> bool {
        if self.passed_bytes < frame.bytes {
            return false;
        }
        if self.started.pop_front().is_none() {
            self.scanned_bytes = 0;
        }
        self.passed_bytes = 0;
        self.consume(frame.bytes);
        true
    }

    /// Forgets the boundaries of requests: what wasn't passed on may be passed on as it is.
    pub(crate) fn forget_heads(&mut self) {
        self.started.clear();
        self.consume(self.passed_bytes);
        self.passed_bytes = 0;
    }

    /// Returns the first head of a started request.
    pub(crate) fn first_started(&self) -> Option<HeadFrame> {
        self.started.front().copied()
    }

    pub(crate) fn started_heads(&self) -> usize {
        self.started.len()
    }

    /// Marks the request whose head [`Self::parse_next`] returned as started.
    pub(crate) fn start(&mut self, frame: HeadFrame) {
        self.started.push_back(frame);
        self.scanned_bytes = 0;
    }

    /// Parses the head behind those of the started requests.
    pub(crate) fn parse_next(&mut self) -> HeadParse {
        let rest = &self.bytes[self.started_bytes()..];
        let parsed = if has_head_end(rest, self.scanned_bytes) {
            parse_head(rest)
        } else {
            HeadParse::Partial
        };
        if parsed == HeadParse::Partial {
            self.scanned_bytes = rest.len();
        }
        parsed
    }

    /// Returns the bytes behind the heads of the started requests.
    pub(crate) fn behind_started(&self) -> &[u8] {
        &self.bytes[self.started_bytes()..]
    }

    fn started_bytes(&self) -> usize {
        self.started.iter().map(|frame| frame.bytes).sum()
    }

    fn consume(&mut self, bytes: usize) {
        self.bytes.advance(bytes);
        if self.bytes.is_empty() {
            // An idle connection holds no memory for it.
            self.bytes = BytesMut::new();
        }
        self.count.set(self.bytes.len());
    }
}
