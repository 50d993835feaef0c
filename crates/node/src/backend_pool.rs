use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clock::ClockTime;
use compio::net::TcpStream;
use compio::time::timeout;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use model::RunVerdict;
use rustix::net::sockopt::set_tcp_user_timeout;
use thiserror::Error;
use wire::BufferedStream;

use crate::answer_check::{AnswerError, AnswerKind, classify_answer};
use crate::answer_limits::AnswerLimits;
use crate::answer_stream::{AnswerStream, HeadBudget};
use crate::backend_statement::BackendStatement;
use crate::call_body::CallBody;
use crate::edge_settings::EdgeSettings;
use crate::node_clock::NodeClock;
use crate::sent_body::{SendProgress, SentBody};

/// The largest number of idle connections kept open.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// The header in which a server states how long it keeps an idle connection open.
const KEEP_ALIVE_HEADER: &str = "keep-alive";
/// The time for which an idle connection may be reused if the server states none, in milliseconds.
/// This is well under the five seconds after which servers commonly close idle connections.
const DEFAULT_KEEP_ALIVE_MS: u64 = 3_000;
/// The time before a stated close in which a connection isn't reused, in milliseconds.
const CLOSE_MARGIN_MS: u64 = 1_000;
/// The TCP user timeout, after which a connection with unacknowledged bytes is closed, in
/// milliseconds. The backend server runs on the same VM, where acknowledgements take less than one
/// millisecond.
const TCP_USER_TIMEOUT_MS: u32 = 500;
/// The time without any answer after which the connections are considered silent, in milliseconds.
/// A backend server in use answers several requests in that time.
const SILENCE_LIMIT_MS: u64 = 250;
const SECOND_MS: u64 = 1_000;
/// The most requests refused on one connection before it is closed.
const MAX_REFUSED: usize = 32;
/// The time that the backend server has to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest refusal body that is read so that its connection can be reused, in bytes.
const MAX_DRAINED_BYTES: usize = 64 * 1024;
/// The longest time spent reading a refusal body.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A failure between a node and its backend server.
#[derive(Debug, Error)]
pub(crate) enum BackendError {
    /// The backend server doesn't accept connections.
    #[error("connection to the backend server can't be opened: {0}")]
    Connect(#[from] io::Error),
    /// The connection closed before any byte of the request was sent.
    #[error("the backend server closed the connection before the request was sent")]
    NotSent,
    /// The response isn't a valid answer to the request.
    #[error("the backend server's answer is invalid: {0}")]
    InvalidAnswer(#[from] AnswerError),
    /// The connection broke after the request may have been sent.
    #[error("the backend server failed while the request ran: {0}")]
    Failed(#[source] hyper::Error),
}

impl BackendError {
    /// Returns the verdict of the request that failed.
    pub(crate) const fn verdict(&self) -> RunVerdict {
        match self {
            Self::Connect(_) | Self::NotSent => RunVerdict::NotRun,
            Self::Failed(_) | Self::InvalidAnswer(_) => RunVerdict::MayHaveRun,
        }
    }
}

/// The answer of the backend server to a request, with what it says about itself.
pub(crate) struct BackendAnswer {
    pub(crate) outcome: BackendOutcome,
    pub(crate) statement: BackendStatement,
}

/// How the backend server has answered a request.
pub(crate) enum BackendOutcome {
    /// The request ran.
    Ran(RunAnswer),
    /// The backend server rejected the request without running it.
    NotRun(AnswerKind),
}

/// The answer to a request that ran.
pub(crate) struct RunAnswer {
    pub(crate) response: Response<Incoming>,
    /// The progress of the request, if the answer ends with its connection.
    pub(crate) sending: Option<SendProgress>,
    pub(crate) wait: AnswerWait,
}

/// A connection to the backend server.
struct BackendConnection {
    sender: SendRequest<SentBody>,
    budget: HeadBudget,
    progress: SendProgress,
    /// Whether no request was sent on it yet.
    is_new: bool,
    /// The ids of the requests that were refused on it. The backend server may repeat a refusal, so
    /// none of these requests is sent on it again.
    refused: Vec<HeaderValue>,
}

/// A connection that carries only questions.
struct QuestionConnection {
    sender: SendRequest<SentBody>,
    budget: HeadBudget,
}

/// A connection that currently carries no request.
struct IdleConnection {
    connection: BackendConnection,
    since: ClockTime,
    /// The time for which the backend server keeps it open, in milliseconds.
    keep_alive_ms: u64,
}

/// The HTTP/1.1 connections to the backend server.
///
/// A connection returns to the pool only after its whole answer was read; `hyper` closes a
/// connection whose request was abandoned.
pub(crate) struct BackendPool {
    address: SocketAddr,
    clock: NodeClock,
    limits: AnswerLimits,
    idle: RefCell<VecDeque<IdleConnection>>,
    /// A connection that never carries a request; its close shows a crash of the backend server.
    monitor: RefCell<Option<SendRequest<SentBody>>>,
    /// A connection that carries only questions about the backend server's state, so that what goes
    /// wrong with them affects no request.
    questions: RefCell<Option<QuestionConnection>>,
    is_down: Cell<bool>,
    /// When the backend server last answered on any connection.
    answered_at: Cell<ClockTime>,
}

impl BackendPool {
    pub(crate) const fn new(address: SocketAddr, clock: NodeClock, limits: AnswerLimits) -> Self {
        Self {
            address,
            clock,
            limits,
            idle: RefCell::new(VecDeque::new()),
            monitor: RefCell::new(None),
            questions: RefCell::new(None),
            is_down: Cell::new(false),
            answered_at: Cell::new(ClockTime::ZERO),
        }
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request, over an idle connection if one is open.
    ///
    /// Sets `is_sent` while a byte of the request may have been sent, so that the caller knows it
    /// when it stops waiting.
    pub(crate) async fn send(
        self: &Rc<Self>,
        mut request: Request<CallBody>,
        edge: &EdgeSettings,
        is_sent: &Cell<bool>,
    ) -> Result<BackendAnswer, BackendError> {
        let named = edge.request_id_header.as_ref();
        let id = named.and_then(|name| request.headers().get(name).cloned());
        while let Some(connection) = self.take_idle(id.as_ref()) {
            is_sent.set(true);
            match self.send_on(connection, request, id.as_ref(), edge).await {
                Ok(response) => return Ok(response),
                Err(SendFailure::Unsent(unsent)) => {
                    is_sent.set(false);
                    request = *unsent;
                }
                Err(SendFailure::Failed(error)) => return Err(error),
            }
        }
        let budget = HeadBudget::default();
        let progress = SendProgress::default();
        let connection = BackendConnection {
            sender: self
                .connect_for_request(Rc::clone(&budget), progress.clone())
                .await?,
            budget,
            progress,
            is_new: true,
            refused: Vec::new(),
        };
        is_sent.set(true);
        self.send_on(connection, request, id.as_ref(), edge)
            .await
            .map_err(|failure| match failure {
                SendFailure::Unsent(_) => BackendError::NotSent,
                SendFailure::Failed(error) => error,
            })
    }

    /// Asks the backend server about its state, and returns the head of the answer.
    pub(crate) async fn ask(
        &self,
        request: &Request<()>,
        edge: &EdgeSettings,
    ) -> Result<Parts, BackendError> {
        let kept = self.questions.take();
        let mut kept = kept.filter(|kept| kept.sender.is_ready());
        let (mut connection, answer) = loop {
            let is_kept = kept.is_some();
            let mut connection = if let Some(connection) = kept.take() {
                connection
            } else {
                let budget = HeadBudget::default();
                let progress = SendProgress::default();
                let sender = self.connect(Rc::clone(&budget), progress).await?;
                QuestionConnection { sender, budget }
            };
            let answer = self.ask_on(&mut connection, request).await;
            // The backend server may have closed a kept connection, or lost it with a restart.
            if answer.is_ok() || !is_kept {
                break (connection, answer);
            }
        };
        let (head, body) = answer.map_err(BackendError::Failed)?.into_parts();
        let request_id = edge.request_id_header.as_ref();
        if request_id.is_some_and(|name| head.headers.contains_key(name)) {
            return Err(BackendError::InvalidAnswer(AnswerError::OtherRequest));
        }
        let body = Limited::new(body, MAX_DRAINED_BYTES).collect().await;
        if body.is_ok() && connection.sender.ready().await.is_ok() {
            self.questions.replace(Some(connection));
        }
        Ok(head)
    }

    async fn ask_on(
        &self,
        connection: &mut QuestionConnection,
        request: &Request<()>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        let body = SentBody::new(CallBody::Buffered(Bytes::new()), SendProgress::default());
        let mut question = Request::new(body);
        question.method_mut().clone_from(request.method());
        question.uri_mut().clone_from(request.uri());
        question.headers_mut().clone_from(request.headers());
        let head_bytes = self.limits.head_bytes;
        let budget = head_bytes.saturating_add(self.limits.interim_bytes);
        connection.budget.set(Some(budget));
        let answer = connection.sender.send_request(question).await;
        connection.budget.set(None);
        answer
    }

    /// Returns whether the monitor connection has been closed, as by a crash.
    pub(crate) fn is_monitor_closed(&self) -> bool {
        let monitor = self.monitor.borrow();
        monitor.as_ref().is_some_and(SendRequest::is_closed)
    }

    /// Ensures that the monitor connection is open, and returns whether it is.
    pub(crate) async fn ensure_monitor(&self) -> bool {
        let is_open = self
            .monitor
            .borrow()
            .as_ref()
            .is_some_and(|monitor| !monitor.is_closed());
        if is_open {
            return true;
        }
        let opened = self.connect_unused().await.ok();
        let is_up = opened.is_some();
        self.is_down.set(!is_up);
        self.monitor.replace(opened);
        is_up
    }

    /// Returns whether the backend server has crashed: its monitor connection is closed, or it
    /// accepts no new connection.
    pub(crate) async fn has_crashed(&self) -> bool {
        self.is_monitor_closed() || self.connect_unused().await.is_err()
    }

    /// Marks the backend server as down, and returns whether it wasn't before.
    pub(crate) fn mark_down(&self) -> bool {
        !self.is_down.replace(true)
    }

    /// Returns whether the backend server was found down and hasn't recovered since.
    pub(crate) fn is_marked_down(&self) -> bool {
        self.is_down.get()
    }

    /// Closes the idle connections if no request was answered since the wait for an abandoned answer,
    /// or for the rest of one, began.
    ///
    /// Something between the node and the backend server may lose the state of all open connections
    /// while new ones work. Without this, each open connection would cost a request.
    fn close_silent(&self, since: ClockTime) {
        let waited_ms = self.clock.now().since_ms(since);
        if waited_ms < SILENCE_LIMIT_MS || self.answered_at.get() > since {
            return;
        }
        let closed = self.idle.take().len();
        if closed > 0 {
            log::warn!("event=backend-silent waited_ms={waited_ms} connections_closed={closed}");
        }
    }

    /// Opens a connection that carries no request.
    async fn connect_unused(&self) -> Result<SendRequest<SentBody>, BackendError> {
        self.connect(HeadBudget::default(), SendProgress::default())
            .await
    }

    /// Opens a connection for a request. If that fails, the monitor connection has to be opened
    /// anew before the backend server counts as up again.
    async fn connect_for_request(
        &self,
        budget: HeadBudget,
        progress: SendProgress,
    ) -> Result<SendRequest<SentBody>, BackendError> {
        let opened = self.connect(budget, progress).await;
        if opened.is_err() {
            self.monitor.take();
        }
        opened
    }

    async fn connect(
        &self,
        budget: HeadBudget,
        progress: SendProgress,
    ) -> Result<SendRequest<SentBody>, BackendError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let connected = connecting.await;
        let stream = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        set_tcp_user_timeout(&stream, TCP_USER_TIMEOUT_MS).map_err(io::Error::from)?;
        let stream = AnswerStream::new(BufferedStream::new(stream), budget, progress);
        let head_bytes = self.limits.head_bytes.max(AnswerLimits::MIN_HEAD_BYTES);
        let head_bytes = usize::try_from(head_bytes).unwrap_or(usize::MAX);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(head_bytes).max_header_size(head_bytes);
        let opened = builder.handshake(stream).await;
        let (sender, connection) = opened.map_err(BackendError::Failed)?;
        compio::runtime::spawn(connection).detach();
        Ok(sender)
    }

    /// Takes the connection used last that is still open and on which the request with this id
    /// wasn't refused.
    fn take_idle(&self, id: Option<&HeaderValue>) -> Option<BackendConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for position in (0..idle.len()).rev() {
            let candidate = &idle[position];
            let is_fresh = now.since_ms(candidate.since) < candidate.keep_alive_ms;
            if is_fresh && candidate.connection.sender.is_ready() {
                let refused = &candidate.connection.refused;
                if id.is_some_and(|id| refused.contains(id)) {
                    continue;
                }
                return idle.remove(position).map(|idle| idle.connection);
            }
            idle.remove(position);
        }
        None
    }

    async fn send_on(
        self: &Rc<Self>,
        mut connection: BackendConnection,
        request: Request<CallBody>,
        id: Option<&HeaderValue>,
        edge: &EdgeSettings,
    ) -> Result<BackendAnswer, SendFailure> {
        let is_first = std::mem::take(&mut connection.is_new);
        let mut wait = AnswerWait::start(self);
        let limits = &self.limits;
        let budget = limits.head_bytes.saturating_add(limits.interim_bytes);
        connection.budget.set(Some(budget));
        let progress = connection.progress.clone();
        let request = request.map(|body| SentBody::new(body, progress.clone()));
        let sent = connection.sender.try_send_request(request).await;
        connection.budget.set(None);
        wait.finish();
        match sent {
            Ok(response) => {
                self.answered_at.set(self.clock.now());
                let kind = classify_answer(edge, id, is_first, &response);
                let kind = kind.map_err(|error| SendFailure::Failed(error.into()))?;
                let statement = BackendStatement::read(edge, response.headers());
                if kind != AnswerKind::Ran {
                    connection.refused.extend(id.cloned());
                }
                if connection.refused.len() < MAX_REFUSED {
                    let pool = Rc::clone(self);
                    let keep_alive_ms = keep_alive_ms(&response);
                    compio::runtime::spawn(async move {
                        pool.return_idle(connection, keep_alive_ms).await;
                    })
                    .detach();
                }
                let outcome = if kind == AnswerKind::Ran {
                    BackendOutcome::Ran(RunAnswer {
                        sending: has_no_length(&response).then_some(progress),
                        response,
                        wait,
                    })
                } else {
                    drain_answer(response.into_body());
                    BackendOutcome::NotRun(kind)
                };
                Ok(BackendAnswer { outcome, statement })
            }
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendFailure::Unsent(Box::new(request.map(SentBody::into_inner))),
                None => SendFailure::Failed(BackendError::Failed(error.into_error())),
            }),
        }
    }

    /// Returns a connection to the pool once its answer has been read.
    async fn return_idle(&self, mut connection: BackendConnection, keep_alive_ms: u64) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            let since = self.clock.now();
            idle.push_back(IdleConnection {
                connection,
                since,
                keep_alive_ms,
            });
        }
    }
}

/// A wait for the head or for the rest of an answer. If it is abandoned, the connections may have
/// gone silent.
pub(crate) struct AnswerWait {
    pool: Rc<BackendPool>,
    since: Option<ClockTime>,
}

impl AnswerWait {
    fn start(pool: &Rc<BackendPool>) -> Self {
        Self {
            pool: Rc::clone(pool),
            since: Some(pool.clock.now()),
        }
    }

    /// Records that the answer is awaited.
    pub(crate) fn resume(&mut self) {
        self.since.get_or_insert_with(|| self.pool.clock.now());
    }

    /// Records that what was awaited has arrived or has failed.
    pub(crate) const fn finish(&mut self) {
        self.since = None;
    }
}

impl Drop for AnswerWait {
    fn drop(&mut self) {
        if let Some(since) = self.since {
            self.pool.close_silent(since);
        }
    }
}

/// Returns whether the end of an answer is that of its connection.
fn has_no_length(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Returns how long a connection may be reused after an answer, in milliseconds.
///
/// A backend server closes an idle connection after a time that it may state in whole seconds. A
/// request sent while the server closes the connection may have run, so the connection isn't reused
/// in its last second.
fn keep_alive_ms(response: &Response<Incoming>) -> u64 {
    let value = response.headers().get(KEEP_ALIVE_HEADER);
    let text = value.and_then(|value| value.to_str().ok()).unwrap_or("");
    let named = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = named.and_then(|seconds| seconds.trim().parse::<u64>().ok());
    seconds.map_or(DEFAULT_KEEP_ALIVE_MS, |seconds| {
        seconds
            .saturating_mul(SECOND_MS)
            .saturating_sub(CLOSE_MARGIN_MS)
    })
}

/// Reads a refusal to its end, so that its connection can be reused.
fn drain_answer(body: Incoming) {
    let reading = async move {
        let reading = Limited::new(body, MAX_DRAINED_BYTES).collect();
        let _ = timeout(DRAIN_TIMEOUT, reading).await;
    };
    compio::runtime::spawn(reading).detach();
}

/// A failure to send a request or to receive its answer.
enum SendFailure {
    /// No byte of the request was sent; it can be sent again.
    Unsent(Box<Request<CallBody>>),
    /// The request may have been sent.
    Failed(BackendError),
}
