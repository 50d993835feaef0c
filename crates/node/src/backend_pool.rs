use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::net::TcpStream;
use compio::time::timeout;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use model::RunVerdict;
use rustix::net::sockopt::set_tcp_user_timeout;
use thiserror::Error;
use wire::BufferedStream;

use crate::answer_check::{AnswerFault, AnswerKind, classify_answer};
use crate::call_body::CallBody;
use crate::edge_settings::EdgeSettings;
use crate::node_clock::NodeClock;

/// The idle connections kept open.
const MAX_IDLE: usize = 256;
/// The header in which a server tells how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";
/// The time for which an idle connection is used where the server tells none, in milliseconds: well
/// under the five seconds that servers commonly keep one.
const UNTOLD_KEPT_MS: u64 = 3_000;
/// The time before a told close from which a connection isn't used any more, in milliseconds.
const CLOSE_MARGIN_MS: u64 = 1_000;
/// The time after which a connection breaks whose bytes aren't acknowledged, in milliseconds. The
/// backend server runs on the same VM, whose acknowledgements take less than one.
const UNACKED_MS: u32 = 500;
/// The time without any answer from which on connections are taken for silent, in milliseconds: a
/// backend server in use answers several requests in that time.
const SILENT_MS: u64 = 250;
/// The number of milliseconds in a second.
const SECOND_MS: u64 = 1_000;
/// The largest refusal that is read to keep its connection, in bytes.
const MAX_SKIPPED_BYTES: usize = 64 * 1024;
/// The longest time that a refusal is read.
const MAX_SKIP: Duration = Duration::from_millis(500);

/// What went wrong between a node and its backend server.
#[derive(Debug, Error)]
pub(crate) enum BackendError {
    /// The backend server doesn't accept connections.
    #[error("connection to the backend server can't be opened: {0}")]
    Connect(#[from] io::Error),
    /// The connection closed before any byte of the request was sent.
    #[error("the backend server closed the connection before the request was sent")]
    NotSent,
    /// What came isn't the answer to the request.
    #[error("the backend server's answer can't be taken: {0}")]
    WrongAnswer(#[from] AnswerFault),
    /// The connection broke after the request may have been sent.
    #[error("the backend server failed while the request ran: {0}")]
    Failed(#[source] hyper::Error),
}

impl BackendError {
    /// Returns whether the request may have run.
    pub(crate) const fn verdict(&self) -> RunVerdict {
        match self {
            Self::Connect(_) | Self::NotSent => RunVerdict::NotRun,
            Self::Failed(_) | Self::WrongAnswer(_) => RunVerdict::MayHaveRun,
        }
    }
}

/// What the backend server made of a request.
pub(crate) enum BackendAnswer {
    /// It ran.
    Ran(Response<Incoming>),
    /// It was turned away.
    NotRun(AnswerKind),
}

/// A connection that carries no request now.
struct IdleConnection {
    sender: SendRequest<CallBody>,
    since: ClockTime,
    /// The time for which the backend server keeps it open, in milliseconds.
    kept_ms: u64,
}

/// The HTTP/1.1 connections to the backend server.
///
/// A connection goes back to the pool only when the whole answer was read from it: `hyper` closes
/// one whose request was abandoned.
pub(crate) struct BackendPool {
    address: SocketAddr,
    clock: NodeClock,
    idle: RefCell<VecDeque<IdleConnection>>,
    /// A connection that carries no request; it closes when the backend server crashes.
    spare: RefCell<Option<SendRequest<CallBody>>>,
    is_down: Cell<bool>,
    /// When the backend server last answered on any connection.
    answered_at: Cell<ClockTime>,
}

impl BackendPool {
    pub(crate) const fn new(address: SocketAddr, clock: NodeClock) -> Self {
        Self {
            address,
            clock,
            idle: RefCell::new(VecDeque::new()),
            spare: RefCell::new(None),
            is_down: Cell::new(false),
            answered_at: Cell::new(ClockTime::ZERO),
        }
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request, over an idle connection where one is open.
    pub(crate) async fn send(
        self: &Rc<Self>,
        mut request: Request<CallBody>,
        edge: &EdgeSettings,
    ) -> Result<BackendAnswer, BackendError> {
        while let Some(sender) = self.take_idle() {
            match self.send_on(sender, request, edge).await {
                Ok(response) => return Ok(response),
                Err(Unsent::Request(unsent)) => request = *unsent,
                Err(Unsent::Nothing(error)) => return Err(error),
            }
        }
        let sender = self.connect().await?;
        self.send_on(sender, request, edge)
            .await
            .map_err(|unsent| match unsent {
                Unsent::Request(_) => BackendError::NotSent,
                Unsent::Nothing(error) => error,
            })
    }

    /// Keeps a spare connection open, and returns whether the backend server accepts any.
    pub(crate) async fn ensure_monitor(&self) -> bool {
        let is_open = self
            .spare
            .borrow()
            .as_ref()
            .is_some_and(|spare| !spare.is_closed());
        if is_open {
            return true;
        }
        let opened = self.connect().await.ok();
        let is_up = opened.is_some();
        self.is_down.set(!is_up);
        self.spare.replace(opened);
        is_up
    }

    /// Returns whether the backend server has gone down with all its connections.
    pub(crate) async fn has_crashed(&self) -> bool {
        let is_spare_closed = self
            .spare
            .borrow()
            .as_ref()
            .is_some_and(SendRequest::is_closed);
        is_spare_closed || self.connect().await.is_err()
    }

    /// Notes that the backend server is down, and returns whether that is news.
    pub(crate) fn mark_down(&self) -> bool {
        !self.is_down.replace(true)
    }

    /// Returns whether the backend server was found down and hasn't come back since.
    pub(crate) fn is_marked_down(&self) -> bool {
        self.is_down.get()
    }

    /// Closes the idle connections when nothing was answered on any since a request was sent that was
    /// then given up.
    ///
    /// Load pattern: something between the two ends loses track of all open connections, while new
    /// ones work. Without this each of them costs a request.
    fn drop_silent(&self, sent_at: ClockTime) {
        let waited_ms = self.clock.now().since_ms(sent_at);
        if waited_ms < SILENT_MS || self.answered_at.get() > sent_at {
            return;
        }
        let closed = self.idle.take().len();
        if closed > 0 {
            log::warn!("event=backend-silent waited_ms={waited_ms} connections_closed={closed}");
        }
    }

    async fn connect(&self) -> Result<SendRequest<CallBody>, BackendError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        set_tcp_user_timeout(&stream, UNACKED_MS).map_err(io::Error::from)?;
        let stream = BufferedStream::new(stream);
        let opened = handshake(stream).await;
        let (sender, connection) = opened.map_err(BackendError::Failed)?;
        compio::runtime::spawn(connection).detach();
        Ok(sender)
    }

    fn take_idle(&self) -> Option<SendRequest<CallBody>> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop_back() {
            let idle_ms = self.clock.now().since_ms(connection.since);
            let is_fresh = idle_ms < connection.kept_ms;
            if is_fresh && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    async fn send_on(
        self: &Rc<Self>,
        mut sender: SendRequest<CallBody>,
        request: Request<CallBody>,
        edge: &EdgeSettings,
    ) -> Result<BackendAnswer, Unsent> {
        let named = edge.request_header.as_ref();
        let sent_id = named.and_then(|name| request.headers().get(name).cloned());
        let wait = AnswerWait::begin(self);
        let sent = sender.try_send_request(request).await;
        wait.end();
        match sent {
            Ok(response) => {
                self.answered_at.set(self.clock.now());
                let kind = classify_answer(edge, sent_id.as_ref(), &response);
                let kind = kind.map_err(|fault| Unsent::Nothing(fault.into()))?;
                let pool = Rc::clone(self);
                let kept_ms = kept_ms(&response);
                compio::runtime::spawn(async move { pool.keep(sender, kept_ms).await }).detach();
                if kind == AnswerKind::Ran {
                    return Ok(BackendAnswer::Ran(response));
                }
                skip_answer(response.into_body());
                Ok(BackendAnswer::NotRun(kind))
            }
            Err(mut error) => Err(match error.take_message() {
                Some(request) => Unsent::Request(Box::new(request)),
                None => Unsent::Nothing(BackendError::Failed(error.into_error())),
            }),
        }
    }

    /// Puts a connection back once its answer has been read.
    async fn keep(&self, mut sender: SendRequest<CallBody>, kept_ms: u64) {
        if sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            let since = self.clock.now();
            idle.push_back(IdleConnection {
                sender,
                since,
                kept_ms,
            });
        }
    }
}

/// A request that was sent and not answered yet; one that is given up so may show that connections
/// have gone silent.
struct AnswerWait<'p> {
    pool: &'p BackendPool,
    sent_at: ClockTime,
    is_over: bool,
}

impl<'p> AnswerWait<'p> {
    fn begin(pool: &'p BackendPool) -> Self {
        Self {
            pool,
            sent_at: pool.clock.now(),
            is_over: false,
        }
    }

    fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for AnswerWait<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.pool.drop_silent(self.sent_at);
        }
    }
}

/// Returns how long a connection may be used again after an answer, in milliseconds.
///
/// A backend server closes an idle connection after a time that it may tell in whole seconds. A
/// request that crosses the close may have run, so the last second isn't used.
fn kept_ms(response: &Response<Incoming>) -> u64 {
    let value = response.headers().get(KEEP_ALIVE);
    let text = value.and_then(|value| value.to_str().ok()).unwrap_or("");
    let named = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = named.and_then(|seconds| seconds.trim().parse::<u64>().ok());
    seconds.map_or(UNTOLD_KEPT_MS, |seconds| {
        seconds
            .saturating_mul(SECOND_MS)
            .saturating_sub(CLOSE_MARGIN_MS)
    })
}

/// Reads a refusal to its end, so that its connection can be used again.
fn skip_answer(body: Incoming) {
    let reading = async move {
        let reading = Limited::new(body, MAX_SKIPPED_BYTES).collect();
        let _ = timeout(MAX_SKIP, reading).await;
    };
    compio::runtime::spawn(reading).detach();
}

/// What is left of a request that wasn't answered.
enum Unsent {
    /// The whole request: no byte of it was sent.
    Request(Box<Request<CallBody>>),
    /// Nothing: it may have been sent.
    Nothing(BackendError),
}
