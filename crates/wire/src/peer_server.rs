use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::timeout;

use futures_util::future::{Either, select};
use h2::server::{Connection, SendResponse};
use h2::{Reason, RecvStream};
use http::{Request, Response};
use http_body::Body;
use hyper_util::rt::TokioIo;
use model::VmName;

use crate::body_sender::{send_all, send_body};
use crate::buffered_stream::BufferedStream;
use crate::codec::MAX_MESSAGE_BYTES;
use crate::head_reader::{frame_head, read_head, read_message};
use crate::peer_authenticator::{MAX_UNAUTHENTICATED_BYTES, PeerAuthenticator, send_answer};
use crate::peer_link::MAX_STREAMS;
use crate::{AnswerHead, CallHead, FleetSecret, LinkBody, LinkError, LinkSettings};

/// The largest list of HTTP/2 headers accepted from a peer, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 1024;

type PeerStream = TokioIo<BufferedStream>;
type PeerConnection = Connection<PeerStream, Bytes>;
/// The VM of an authenticated peer, and its connection.
type AuthenticatedPeer = (VmName, PeerConnection);

/// A peer that has authenticated, with its connection.
pub struct LinkPeer {
    vm: Rc<VmName>,
    connection: PeerConnection,
}

/// Handles the calls and control messages of other nodes.
pub trait PeerHandler: 'static {
    /// The body of an answer.
    type Body: Body<Data = Bytes> + Unpin;

    /// Runs a call; the future is dropped when the peer cancels it.
    fn call(
        &self,
        from: &VmName,
        head: CallHead,
        body: LinkBody,
    ) -> impl Future<Output = (AnswerHead, Self::Body)>;

    /// Answers a control message.
    fn exchange(&self, from: &VmName, message: Bytes) -> impl Future<Output = Bytes>;
}

/// The server end of links from other nodes.
pub struct PeerServer<H> {
    handler: Rc<H>,
    secret: FleetSecret,
    settings: LinkSettings,
}

impl<H: PeerHandler> PeerServer<H> {
    /// Creates the server end.
    #[must_use]
    pub const fn new(handler: Rc<H>, secret: FleetSecret, settings: LinkSettings) -> Self {
        Self {
            handler,
            secret,
            settings,
        }
    }

    /// Serves a connection until it ends; closes it when it has been idle for too long.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] when the peer violates the protocol or fails to authenticate.
    pub async fn serve(&self, stream: TcpStream) -> Result<(), LinkError> {
        match self.authenticate_peer(stream).await? {
            Some(peer) => self.serve_peer(peer).await,
            None => Ok(()),
        }
    }

    /// Authenticates the peer of a new connection, within the time limit of the settings; returns
    /// `None` when it disconnects first.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] when the peer violates the protocol or fails to authenticate.
    pub async fn authenticate_peer(
        &self,
        stream: TcpStream,
    ) -> Result<Option<LinkPeer>, LinkError> {
        stream.set_nodelay(true)?;
        let limit_ms = self.settings.authentication_timeout_ms;
        let authenticating = self.authenticate(TokioIo::new(BufferedStream::new(stream)));
        let authenticated = timeout(Duration::from_millis(limit_ms), authenticating).await;
        let peer = authenticated.map_err(|_| LinkError::AuthenticationTimeout(limit_ms))??;
        Ok(peer.map(|(vm, connection)| LinkPeer {
            vm: Rc::new(vm),
            connection,
        }))
    }

    /// Serves a peer that has authenticated until its connection ends; closes the connection when
    /// it has been idle for too long.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] when the peer violates the protocol.
    pub async fn serve_peer(&self, peer: LinkPeer) -> Result<(), LinkError> {
        self.serve_authenticated(peer.vm, peer.connection).await
    }

    /// Authenticates the peer, with one stream at a time and small windows, so that an unknown peer
    /// can't take up memory; returns `None` when it disconnects first.
    async fn authenticate(
        &self,
        stream: PeerStream,
    ) -> Result<Option<AuthenticatedPeer>, LinkError> {
        let handshake = h2::server::Builder::new()
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .initial_window_size(MAX_UNAUTHENTICATED_BYTES)
            .max_concurrent_streams(MAX_STREAMS)
            .handshake::<_, Bytes>(stream);
        let mut connection = handshake.await.map_err(LinkError::Broken)?;
        let mut authenticator = PeerAuthenticator::new(&self.secret);
        while authenticator.authenticated().is_none() {
            let Some(accepted) = connection.accept().await else {
                return Ok(None);
            };
            let (request, respond) = accepted.map_err(LinkError::Broken)?;
            let serving = std::pin::pin!(authenticator.serve(request, respond));
            let next = std::pin::pin!(connection.accept());
            match select(serving, next).await {
                Either::Left(_) => {}
                Either::Right((None, _)) => return Ok(None),
                Either::Right((Some(_), _)) => return Err(LinkError::Unauthenticated),
            }
        }
        let windows = &self.settings;
        connection.set_target_window_size(windows.link_window_bytes);
        let set = connection.set_initial_window_size(windows.stream_window_bytes);
        set.map_err(LinkError::Broken)?;
        Ok(authenticator
            .authenticated()
            .map(|vm| (vm.clone(), connection)))
    }

    async fn serve_authenticated(
        &self,
        vm: Rc<VmName>,
        mut connection: PeerConnection,
    ) -> Result<(), LinkError> {
        let mut is_closing = false;
        loop {
            let limit_ms = if is_closing {
                self.settings.connect_timeout_ms
            } else {
                self.settings.idle_close_ms
            };
            let limit = Duration::from_millis(limit_ms);
            match timeout(limit, connection.accept()).await {
                Ok(None) => return Ok(()),
                Ok(Some(accepted)) => {
                    let (request, respond) = accepted.map_err(LinkError::Broken)?;
                    let stream = CallStream {
                        handler: Rc::clone(&self.handler),
                        vm: Rc::clone(&vm),
                        respond,
                    };
                    compio::runtime::spawn(stream.serve(request)).detach();
                }
                Err(_) if connection.has_streams() => {}
                Err(_) if is_closing => return Ok(()),
                Err(_) => {
                    connection.graceful_shutdown();
                    is_closing = true;
                }
            }
        }
    }
}

/// One stream of an authenticated connection.
struct CallStream<H> {
    handler: Rc<H>,
    vm: Rc<VmName>,
    respond: SendResponse<Bytes>,
}

impl<H: PeerHandler> CallStream<H> {
    async fn serve(mut self, request: Request<RecvStream>) {
        let (parts, body) = request.into_parts();
        let result = match parts.uri.path() {
            "/call" => self.serve_call(body).await,
            "/control" => self.serve_control(body).await,
            _ => Err(LinkError::TruncatedHead),
        };
        if result.is_err() {
            self.respond.send_reset(Reason::PROTOCOL_ERROR);
        }
    }

    async fn serve_call(&mut self, mut body: RecvStream) -> Result<(), LinkError> {
        let (head, first) = read_head::<CallHead>(&mut body).await?;
        let body = LinkBody::new(body, first, head.body_bytes, None);
        let handler = Rc::clone(&self.handler);
        let work = std::pin::pin!(handler.call(&self.vm, head, body));
        let reset = poll_fn(|context| self.respond.poll_reset(context));
        let (answer, answer_body) = match select(work, reset).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => return Ok(()),
        };
        let sent = self.respond.send_response(Response::new(()), false);
        let mut stream = sent.map_err(LinkError::Broken)?;
        if send_all(&mut stream, frame_head(&answer)?).await.is_ok() {
            let _ = send_body(answer_body, &mut stream).await;
        }
        Ok(())
    }

    async fn serve_control(&mut self, mut body: RecvStream) -> Result<(), LinkError> {
        let message = read_message(&mut body, MAX_MESSAGE_BYTES).await?;
        let answer = self.handler.exchange(&self.vm, message).await;
        send_answer(&mut self.respond, answer).await
    }
}
