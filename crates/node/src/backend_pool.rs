use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use compio::time::timeout;
use cyper_core::HyperStream;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use model::RunVerdict;
use thiserror::Error;

use crate::answer_check::{AnswerFault, AnswerKind, judge_answer};
use crate::call_body::CallBody;
use crate::edge_settings::EdgeSettings;

/// The idle connections kept open.
const MAX_IDLE: usize = 256;
/// The header in which a server tells how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";
/// The time for which an idle connection is used where the server tells none: well under the five
/// seconds that servers commonly keep one.
const UNTOLD_KEPT: Duration = Duration::from_secs(3);
/// The time before a told close from which a connection isn't used any more.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);
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
    since: Instant,
    /// The time for which the backend server keeps it open.
    kept: Duration,
}

/// The HTTP/1.1 connections to the backend server.
///
/// A connection goes back to the pool only when the whole answer was read from it: `hyper` closes
/// one whose request was abandoned.
pub(crate) struct BackendPool {
    address: SocketAddr,
    idle: RefCell<VecDeque<IdleConnection>>,
    /// A connection that carries no request; it closes when the backend server crashes.
    spare: RefCell<Option<SendRequest<CallBody>>>,
    is_down: Cell<bool>,
}

impl BackendPool {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::new(VecDeque::new()),
            spare: RefCell::new(None),
            is_down: Cell::new(false),
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
    pub(crate) async fn keep_spare(&self) -> bool {
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

    async fn connect(&self) -> Result<SendRequest<CallBody>, BackendError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let stream = HyperStream::new_plain(stream);
        let opened = handshake(stream).await;
        let (sender, connection) = opened.map_err(BackendError::Failed)?;
        compio::runtime::spawn(connection).detach();
        Ok(sender)
    }

    fn take_idle(&self) -> Option<SendRequest<CallBody>> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop_back() {
            let is_fresh = connection.since.elapsed() < connection.kept;
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
        match sender.try_send_request(request).await {
            Ok(response) => {
                let kind = judge_answer(edge, sent_id.as_ref(), &response);
                let kind = kind.map_err(|fault| Unsent::Nothing(fault.into()))?;
                let pool = Rc::clone(self);
                let kept = kept_span(&response);
                compio::runtime::spawn(async move { pool.keep(sender, kept).await }).detach();
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
    async fn keep(&self, mut sender: SendRequest<CallBody>, kept: Duration) {
        if sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            let since = Instant::now();
            idle.push_back(IdleConnection {
                sender,
                since,
                kept,
            });
        }
    }
}

/// Returns how long a connection may be used again after an answer.
///
/// A backend server closes an idle connection after a time that it may tell in whole seconds. A
/// request that crosses the close may have run, so the last second isn't used.
fn kept_span(response: &Response<Incoming>) -> Duration {
    let value = response.headers().get(KEEP_ALIVE);
    let text = value.and_then(|value| value.to_str().ok()).unwrap_or("");
    let named = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = named.and_then(|seconds| seconds.trim().parse::<u64>().ok());
    seconds.map_or(UNTOLD_KEPT, |seconds| {
        Duration::from_secs(seconds).saturating_sub(CLOSE_MARGIN)
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
