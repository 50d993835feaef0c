use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::answer_body::AnswerBody;
use crate::byte_count::ByteCount;
use crate::call_body::CallBodyError;
use crate::client_budget::OpenRequest;
use crate::request_ahead::AnswerEnd;

/// The body of an answer on a port, of which a first part may be read before its turn to be sent.
pub(crate) struct WaitingBody {
    /// The rest of the body, or `None` once its end was read.
    rest: Option<AnswerBody>,
    size: SizeHint,
    /// What was read before the turn of the answer.
    read: VecDeque<Result<Frame<Bytes>, CallBodyError>>,
    read_bytes: Option<ByteCount>,
    /// Ends the turn of the request.
    end: Option<AnswerEnd>,
    /// Counts the request as open until the answer is sent or dropped.
    open: Option<OpenRequest>,
}

impl WaitingBody {
    pub(crate) fn new(body: AnswerBody) -> Self {
        Self {
            size: body.size_hint(),
            rest: Some(body),
            read: VecDeque::new(),
            read_bytes: None,
            end: None,
            open: None,
        }
    }

    /// Returns whether the body broke off in the part that was read before its turn.
    pub(crate) fn is_broken(&self) -> bool {
        self.read.back().is_some_and(Result::is_err)
    }

    /// Ends the turn of its request when it is dropped.
    pub(crate) fn hold_end(&mut self, end: Option<AnswerEnd>) {
        self.end = end;
    }

    /// Counts the request as open until the body is dropped.
    pub(crate) fn hold_client(&mut self, open: OpenRequest) {
        self.open = Some(open);
    }

    /// Reads frames while `has_room` holds for the number of bytes that were read before.
    pub(crate) fn poll_read_ahead(
        &mut self,
        context: &mut Context<'_>,
        new_count: impl FnOnce() -> ByteCount,
        has_room: impl Fn(usize) -> bool,
    ) {
        let count = self.read_bytes.get_or_insert_with(new_count);
        while let Some(rest) = &mut self.rest
            && has_room(count.get())
            && let Poll::Ready(frame) = Pin::new(rest).poll_frame(context)
        {
            if !matches!(frame, Some(Ok(_))) {
                self.rest = None;
            }
            if let Some(frame) = frame {
                count.set(count.get() + bytes_of(&frame));
                self.read.push_back(frame);
            }
        }
    }
}

impl Body for WaitingBody {
    type Data = Bytes;
    type Error = CallBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallBodyError>>> {
        let body = &mut *self;
        if let Some(frame) = body.read.pop_front() {
            if let Some(count) = &mut body.read_bytes {
                count.set(count.get() - bytes_of(&frame));
            }
            return Poll::Ready(Some(frame));
        }
        match &mut body.rest {
            Some(rest) => Pin::new(rest).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}

fn bytes_of(frame: &Result<Frame<Bytes>, CallBodyError>) -> usize {
    let data = frame.as_ref().ok().and_then(Frame::data_ref);
    data.map_or(0, Bytes::len)
}
