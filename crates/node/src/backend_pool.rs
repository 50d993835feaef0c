use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use model::RunVerdict;
use thiserror::Error;

use crate::call_body::CallBody;

/// The idle connections kept open.
const MAX_IDLE: usize = 256;

/// What went wrong between a node and its backend server.
#[derive(Debug, Error)]
pub(crate) enum BackendError {
    /// The backend server doesn't accept connections.
    #[error("connection to the backend server can't be opened: {0}")]
    Connect(#[from] io::Error),
    /// The connection closed before any byte of the request was sent.
    #[error("the backend server closed the connection before the request was sent")]
    NotSent,
    /// The connection broke after the request may have been sent.
    #[error("the backend server failed while the request ran: {0}")]
    Failed(#[source] hyper::Error),
}

impl BackendError {
    /// Returns whether the request may have run.
    pub(crate) const fn verdict(&self) -> RunVerdict {
        match self {
            Self::Connect(_) | Self::NotSent => RunVerdict::NotRun,
            Self::Failed(_) => RunVerdict::MayHaveRun,
        }
    }
}

/// The HTTP/1.1 connections to the backend server.
///
/// A connection goes back to the pool only when the whole answer was read from it: `hyper` closes
/// one whose request was abandoned.
pub(crate) struct BackendPool {
    address: SocketAddr,
    idle: RefCell<VecDeque<SendRequest<CallBody>>>,
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
    ) -> Result<Response<Incoming>, BackendError> {
        while let Some(sender) = self.take_idle() {
            match self.send_on(sender, request).await {
                Ok(response) => return Ok(response),
                Err(Unsent::Request(unsent)) => request = *unsent,
                Err(Unsent::Nothing(error)) => return Err(error),
            }
        }
        let sender = self.connect().await?;
        self.send_on(sender, request)
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
        while let Some(sender) = idle.pop_back() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn send_on(
        self: &Rc<Self>,
        mut sender: SendRequest<CallBody>,
        request: Request<CallBody>,
    ) -> Result<Response<Incoming>, Unsent> {
        match sender.try_send_request(request).await {
            Ok(response) => {
                let pool = Rc::clone(self);
                compio::runtime::spawn(async move { pool.keep(sender).await }).detach();
                Ok(response)
            }
            Err(mut error) => Err(match error.take_message() {
                Some(request) => Unsent::Request(Box::new(request)),
                None => Unsent::Nothing(BackendError::Failed(error.into_error())),
            }),
        }
    }

    /// Puts a connection back once its answer has been read.
    async fn keep(&self, mut sender: SendRequest<CallBody>) {
        if sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push_back(sender);
        }
    }
}

/// What is left of a request that wasn't answered.
enum Unsent {
    /// The whole request: no byte of it was sent.
    Request(Box<Request<CallBody>>),
    /// Nothing: it may have been sent.
    Nothing(BackendError),
}
