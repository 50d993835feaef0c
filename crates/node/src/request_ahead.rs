use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use http::Request;
use hyper::rt::{ReadBuf, ReadBufCursor};

use crate::ahead_buffer::AheadBuffer;
use crate::ahead_parser::{BodyFraming, HeadFrame, HeadParse, read_request};
use crate::ahead_plan::{AheadPlan, RequestTurn};
use crate::caller_stream::CallerSocket;
use crate::chunk_reader::{ChunkReader, ChunkStep};
use crate::entry::may_repeat;
use crate::node_core::NodeCore;
use crate::unread_drop::UnreadDrop;

/// The number of bytes that are read at once while the boundaries of their requests are unknown.
const CHUNK_BYTES: usize = 2 * 1024;

/// The requests of a connection that were sent before earlier ones were answered.
///
/// It passes the bytes of a connection on to the HTTP implementation unchanged, one request at a
/// time. While that request is being answered, it reads on and finds the requests that may be
/// started before their turn. Where the boundaries of requests can't be known, it passes on
/// everything from there.
pub(crate) struct RequestsAhead {
    core: Rc<NodeCore>,
    state: RefCell<AheadState>,
}

/// A request to be started before its turn.
pub(crate) struct StartedRequest {
    /// The position of the request on its connection.
    pub(crate) number: u64,
    pub(crate) request: Request<()>,
}

/// How the bytes of a connection are passed on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PassMode {
    /// One request at a time.
    ByRequest,
    /// As they come: the boundaries of requests are unknown.
    AsTheyCome,
}

struct AheadState {
    /// The maximum size of a head, in bytes.
    head_bytes: usize,
    plan: AheadPlan,
    mode: PassMode,
    buffer: AheadBuffer,
    /// The started requests that the handler doesn't have yet.
    started: VecDeque<StartedRequest>,
    /// Whether the first head that isn't started has to wait for its turn.
    is_next_barred: bool,
    /// The last head that was passed on, unless its request was started before.
    current: Option<HeadFrame>,
    body: BodyProgress,
    /// The number of heads that were passed on.
    passed_heads: u64,
    /// The number of requests that the HTTP implementation has begun to handle.
    begun: u64,
    /// The number of those that were answered completely.
    ended: u64,
    /// Whether the caller has closed the connection.
    is_closed: bool,
    /// Whether the caller has sent anything behind a request that wasn't answered.
    has_sent_ahead: bool,
    unread_drop: Option<UnreadDrop>,
    reader: Option<Waker>,
}

/// How much of the current request's body was passed on.
enum BodyProgress {
    /// All of it, or there is none.
    Passed,
    /// All but a number of bytes.
    Left(u64),
    /// A part of a body in chunks.
    Chunks(ChunkReader),
}

impl BodyProgress {
    /// Returns the number of bytes that surely belong to the body.
    const fn known_left(&self) -> u64 {
        match self {
            Self::Passed => 0,
            Self::Left(bytes) => *bytes,
            Self::Chunks(reader) => reader.data_left(),
        }
    }

    /// Records that some of these bytes were passed on.
    fn skip(&mut self, bytes: u64) {
        match self {
            Self::Passed => {}
            Self::Left(left) if *left == bytes => *self = Self::Passed,
            Self::Left(left) => *left -= bytes,
            Self::Chunks(reader) => reader.skip_data(bytes),
        }
    }
}

/// What a step of a read leads to.
enum ReadStep {
    Again,
    Done(Poll<io::Result<()>>),
}

/// The end of a read that has passed something on, or that reports the end of the connection.
const READ: ReadStep = ReadStep::Done(Poll::Ready(Ok(())));

impl RequestsAhead {
    pub(crate) fn new(core: &Rc<NodeCore>) -> Rc<Self> {
        let state = AheadState {
            head_bytes: core.settings.clients.head_bytes,
            plan: AheadPlan::new(core.settings.ahead.max_requests),
            mode: PassMode::ByRequest,
            buffer: AheadBuffer::new(&core.ahead_bytes),
            started: VecDeque::new(),
            is_next_barred: false,
            current: None,
            body: BodyProgress::Passed,
            passed_heads: 0,
            begun: 0,
            ended: 0,
            is_closed: false,
            has_sent_ahead: false,
            unread_drop: None,
            reader: None,
        };
        Rc::new(Self {
            core: Rc::clone(core),
            state: RefCell::new(state),
        })
    }

    /// Reads bytes for the HTTP implementation: of the current request, or of the next one once the
    /// current one is answered.
    pub(crate) fn poll_read(
        &self,
        context: &mut Context<'_>,
        socket: &mut CallerSocket,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let state = &mut *self.state.borrow_mut();
        let capacity = cursor.remaining();
        loop {
            let has_read = cursor.remaining() < capacity;
            if has_read && (state.buffer.is_passed() || cursor.remaining() == 0) {
                return Poll::Ready(Ok(()));
            }
            let is_busy = state.passed_heads > state.ended;
            let step = if state.mode == PassMode::AsTheyCome {
                if state.buffer.is_empty() {
                    return socket.poll_read(context, cursor);
                }
                state.buffer.pass_body(usize::MAX, &mut cursor);
                READ
            } else if !matches!(state.body, BodyProgress::Passed) {
                let known_left = state.body.known_left();
                if state.buffer.is_empty() && known_left >= cursor.remaining() as u64 {
                    return state.read_body(context, socket, cursor);
                }
                state.pass_body(context, socket, &mut cursor)
            } else if is_busy && has_read {
                READ
            } else if is_busy {
                self.read_ahead(state, context, socket)
            } else {
                state.pass_head(context, socket, &mut cursor)
            };
            if let ReadStep::Done(done) = step {
                return done;
            }
        }
    }

    /// Reads on while a request is being answered.
    fn read_ahead(
        &self,
        state: &mut AheadState,
        context: &mut Context<'_>,
        socket: &mut CallerSocket,
    ) -> ReadStep {
        if state.passed_heads > state.begun {
            // The HTTP implementation doesn't agree about the end of the current request's head.
            state.give_up();
            return ReadStep::Again;
        }
        let settings = &self.core.settings.ahead;
        loop {
            state.has_sent_ahead |= !state.buffer.is_empty();
            self.start_requests(state);
            if state.is_closed {
                return READ;
            }
            let has_room = state.may_read_ahead(settings.read_bytes)
                && self.core.ahead_bytes.get() < settings.node_bytes;
            let read = if has_room {
                state.read_chunk(context, socket, CHUNK_BYTES)
            } else {
                Poll::Pending
            };
            match read {
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(error)) => return ReadStep::Done(Poll::Ready(Err(error))),
                Poll::Pending => {
                    state.reader = Some(context.waker().clone());
                    return ReadStep::Done(Poll::Pending);
                }
            }
        }
    }

    /// Starts the requests in the buffer that may be started before their turn.
    fn start_requests(&self, state: &mut AheadState) {
        while state.plan.has_room() && !state.is_next_barred && !self.core.stop.is_triggered() {
            let frame = match state.buffer.parse_next() {
                HeadParse::Partial => return,
                HeadParse::Invalid => None,
                HeadParse::Complete(frame) => Some(frame).filter(|frame| frame.is_plain),
            };
            let started = frame.and_then(|frame| {
                let request = read_request(&state.buffer.behind_started()[..frame.bytes])?;
                let turn = self.turn_of(&request, frame);
                let may_start = state.plan.may_start(turn);
                may_start.then_some((frame, request, turn))
            });
            let Some((frame, request, turn)) = started else {
                state.is_next_barred = true;
                return;
            };
            let number = state.passed_heads + state.buffer.started_heads() as u64;
            state.plan.start(turn);
            state.buffer.start(frame);
            state.started.push_back(StartedRequest { number, request });
            self.core.metrics.requests_ahead.inc();
        }
    }

    fn turn_of<T>(&self, request: &Request<T>, frame: HeadFrame) -> RequestTurn {
        if !frame.is_plain || !may_repeat(&self.core, request) {
            RequestTurn::Alone
        } else if frame.is_last {
            RequestTurn::Last
        } else {
            RequestTurn::Parallel
        }
    }

    /// Returns the next request to be started before its turn.
    pub(crate) fn next_started(&self) -> Option<StartedRequest> {
        self.state.borrow_mut().started.pop_front()
    }

    /// Records that the HTTP implementation begins to handle a request, and returns its position on
    /// the connection.
    pub(crate) fn begin<T>(self: &Rc<Self>, request: &Request<T>) -> (u64, AnswerEnd) {
        let mut state = self.state.borrow_mut();
        let number = state.begun;
        state.begun += 1;
        if state.begun > state.passed_heads {
            // The HTTP implementation has found a request where none was expected.
            state.give_up();
        }
        // One that the handler doesn't have yet is handled in its turn.
        state.started.retain(|started| started.number != number);
        if let Some(frame) = state.current.take() {
            let turn = self.turn_of(request, frame);
            state.plan.begin(turn);
        }
        (number, AnswerEnd(Rc::clone(self)))
    }

    /// Records that an answer closes the connection, so no request behind it may be started.
    pub(crate) fn close(&self) {
        self.state.borrow_mut().plan.close();
    }

    /// Stops finding the boundaries of requests.
    pub(crate) fn give_up(&self) {
        self.state.borrow_mut().give_up();
    }

    /// Reads and drops what the caller sent behind the answer that closed the connection, until the
    /// caller closes it too or a limit is reached.
    pub(crate) fn poll_drop_unread(
        &self,
        context: &mut Context<'_>,
        socket: &mut CallerSocket,
    ) -> Poll<()> {
        let state = &mut *self.state.borrow_mut();
        if !state.has_sent_ahead {
            return Poll::Ready(());
        }
        let mut unread = state.unread_drop.take().unwrap_or_else(UnreadDrop::new);
        loop {
            let bytes = state.buffer.clear();
            if state.is_closed || !unread.record(bytes) {
                return Poll::Ready(());
            }
            match state.read_chunk(context, socket, CHUNK_BYTES) {
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(_)) => return Poll::Ready(()),
                Poll::Pending => {
                    let polled = unread.poll_timeout(context);
                    state.unread_drop = Some(unread);
                    return polled;
                }
            }
        }
    }
}

impl AheadState {
    /// Returns whether more may be buffered. The heads of the requests at work don't keep the next
    /// head from being read while its request could be started.
    fn may_read_ahead(&self, read_bytes: usize) -> bool {
        let may_start = self.plan.has_room() && !self.is_next_barred;
        self.buffer.len() < read_bytes
            || (may_start && self.buffer.behind_started().len() < read_bytes)
    }

    /// Passes on what is there of the next head, or reads more of it.
    fn pass_head(
        &mut self,
        context: &mut Context<'_>,
        socket: &mut CallerSocket,
        cursor: &mut ReadBufCursor<'_>,
    ) -> ReadStep {
        let started = self.buffer.first_started();
        let parsed = match started {
            Some(frame) => HeadParse::Complete(frame),
            None => self.buffer.parse_next(),
        };
        match parsed {
            HeadParse::Complete(frame) => {
                self.buffer.pass_head(frame.bytes, cursor);
                if self.buffer.end_head(frame) {
                    self.end_head(frame, started.is_some());
                }
                ReadStep::Again
            }
            HeadParse::Partial if self.buffer.len() < self.head_bytes => {
                if !self.buffer.is_passed() {
                    self.buffer.pass_head(self.buffer.len(), cursor);
                    return ReadStep::Again;
                }
                self.read_step(context, socket, CHUNK_BYTES)
            }
            HeadParse::Partial | HeadParse::Invalid => {
                self.give_up();
                ReadStep::Again
            }
        }
    }

    /// Records that a head was passed on completely.
    fn end_head(&mut self, frame: HeadFrame, is_started: bool) {
        self.passed_heads += 1;
        self.is_next_barred &= is_started;
        self.current = (!is_started).then_some(frame);
        match frame.framing {
            BodyFraming::Length(0) => {}
            BodyFraming::Length(bytes) => self.body = BodyProgress::Left(bytes),
            BodyFraming::Chunks => self.body = BodyProgress::Chunks(ChunkReader::default()),
            BodyFraming::Unknown => self.give_up(),
        }
    }

    /// Passes on buffered bytes of the current request's body, or reads more of it.
    fn pass_body(
        &mut self,
        context: &mut Context<'_>,
        socket: &mut CallerSocket,
        cursor: &mut ReadBufCursor<'_>,
    ) -> ReadStep {
        if self.buffer.is_empty() {
            return self.read_step(context, socket, CHUNK_BYTES);
        }
        match &mut self.body {
            BodyProgress::Chunks(reader) => {
                let bytes = self.buffer.body_bytes(cursor.remaining());
                let count = match reader.read(bytes) {
                    ChunkStep::More => bytes.len(),
                    ChunkStep::End(count) => {
                        self.body = BodyProgress::Passed;
                        count
                    }
                    ChunkStep::Invalid => {
                        self.give_up();
                        return ReadStep::Again;
                    }
                };
                self.buffer.pass_body(count, cursor);
            }
            body => {
                let left = usize::try_from(body.known_left()).unwrap_or(usize::MAX);
                let count = self.buffer.pass_body(left, cursor);
                body.skip(count as u64);
            }
        }
        ReadStep::Again
    }

    /// Reads the current request's body without buffering it.
    fn read_body(
        &mut self,
        context: &mut Context<'_>,
        socket: &mut CallerSocket,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let before = socket.received();
        let polled = socket.poll_read(context, cursor);
        self.body.skip(socket.received() - before);
        polled
    }

    /// Reads at most `limit` bytes that are to be passed on. Done if there are none.
    fn read_step(
        &mut self,
        context: &mut Context<'_>,
        socket: &mut CallerSocket,
        limit: usize,
    ) -> ReadStep {
        if self.is_closed {
            return READ;
        }
        match self.read_chunk(context, socket, limit) {
            Poll::Ready(Ok(0)) => READ,
            Poll::Ready(Ok(_)) => ReadStep::Again,
            Poll::Ready(Err(error)) => ReadStep::Done(Poll::Ready(Err(error))),
            Poll::Pending => ReadStep::Done(Poll::Pending),
        }
    }

    /// Reads at most `limit` bytes into the buffer, and returns their number.
    fn read_chunk(
        &mut self,
        context: &mut Context<'_>,
        socket: &mut CallerSocket,
        limit: usize,
    ) -> Poll<io::Result<usize>> {
        let mut bytes = [0; CHUNK_BYTES];
        let mut chunk = ReadBuf::new(&mut bytes[..limit]);
        ready!(socket.poll_read(context, chunk.unfilled()))?;
        let read = chunk.filled();
        self.buffer.push(read);
        self.is_closed |= read.is_empty();
        Poll::Ready(Ok(read.len()))
    }

    fn give_up(&mut self) {
        self.mode = PassMode::AsTheyCome;
        self.buffer.forget_heads();
        self.started.clear();
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// Ends the turn of a request when it is dropped with the body of its answer.
pub(crate) struct AnswerEnd(Rc<RequestsAhead>);

impl Drop for AnswerEnd {
    fn drop(&mut self) {
        let reader = {
            let mut state = self.0.state.borrow_mut();
            state.ended += 1;
            state.plan.end();
            state.reader.take()
        };
        if let Some(reader) = reader {
            reader.wake();
        }
    }
}
