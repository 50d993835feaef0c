use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::timeout_at;
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{Request, Response};
use http_body::Body;
use hyper_util::rt::TokioIo;
use model::VmName;

use crate::body_pump::{pump_body, send_all};
use crate::head_reader::{frame_head, read_head, read_message};
use crate::hello_message::{HelloAnswer, HelloMessage, NONCE_BYTES};
use crate::peer_link::MAX_STREAMS;
use crate::{
    AnswerHead, CallHead, FleetSecret, LinkBody, LinkError, LinkSettings, WIRE_VERSION, decode,
    encode,
};

/// The largest list of HTTP/2 headers that another node may send, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 16 * 1024;

/// What a node does with the calls and messages of other nodes.
pub trait PeerHandler: 'static {
    /// The body of an answer.
    type Body: Body<Data = Bytes> + Unpin;

    /// Runs a call; the future is dropped when the other node gives up.
    fn call(
        &self,
        from: &VmName,
        head: CallHead,
        body: LinkBody,
    ) -> impl Future<Output = (AnswerHead, Self::Body)>;

    /// Answers a control message.
    fn exchange(&self, from: &VmName, message: Bytes) -> impl Future<Output = Bytes>;
}

/// The answering end of links from other nodes.
pub struct PeerServer<H> {
    handler: Rc<H>,
    secret: FleetSecret,
    settings: LinkSettings,
}

impl<H: PeerHandler> PeerServer<H> {
    /// Creates the answering end.
    #[must_use]
    pub const fn new(handler: Rc<H>, secret: FleetSecret, settings: LinkSettings) -> Self {
        Self {
            handler,
            secret,
            settings,
        }
    }

    /// Serves one connection until it ends.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] when the other end speaks nonsense or can't prove the secret.
    pub async fn serve(&self, stream: TcpStream) -> Result<(), LinkError> {
        stream.set_nodelay(true)?;
        let stream = TokioIo::new(HyperStream::new_plain(stream));
        let limit_ms = self.settings.prove_timeout_ms;
        let due = Instant::now() + Duration::from_millis(limit_ms);
        let handshake = h2::server::Builder::new()
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .initial_window_size(self.settings.stream_window_bytes)
            .initial_connection_window_size(self.settings.link_window_bytes)
            .max_concurrent_streams(MAX_STREAMS)
            .handshake::<_, Bytes>(stream);
        let mut connection = timeout_at(due, handshake)
            .await
            .map_err(|_| LinkError::ProofTimeout(limit_ms))?
            .map_err(LinkError::Broken)?;
        let peer = Rc::new(RefCell::new(PeerState::Unknown));
        loop {
            let is_proven = || matches!(*peer.borrow(), PeerState::Proven(_));
            let accepted = if is_proven() {
                connection.accept().await
            } else {
                match timeout_at(due, connection.accept()).await {
                    Ok(accepted) => accepted,
                    Err(_) if is_proven() => continue,
                    Err(_) => return Err(LinkError::ProofTimeout(limit_ms)),
                }
            };
            let Some(accepted) = accepted else {
                return Ok(());
            };
            let (request, respond) = accepted.map_err(LinkError::Broken)?;
            let stream = PeerStream {
                handler: Rc::clone(&self.handler),
                secret: self.secret.clone(),
                peer: Rc::clone(&peer),
                respond,
            };
            compio::runtime::spawn(stream.serve(request)).detach();
        }
    }
}

/// How far the other end has proved itself.
enum PeerState {
    Unknown,
    Challenged {
        vm: VmName,
        theirs: [u8; NONCE_BYTES],
        ours: [u8; NONCE_BYTES],
    },
    Proven(VmName),
}

/// One stream of a connection.
struct PeerStream<H> {
    handler: Rc<H>,
    secret: FleetSecret,
    peer: Rc<RefCell<PeerState>>,
    respond: SendResponse<Bytes>,
}

impl<H: PeerHandler> PeerStream<H> {
    async fn serve(mut self, request: Request<RecvStream>) {
        let (parts, body) = request.into_parts();
        let result = match (parts.uri.path(), self.proven()) {
            ("/hello", _) => self.serve_hello(body).await,
            ("/prove", _) => self.serve_prove(body).await,
            ("/call", Some(vm)) => self.serve_call(&vm, body).await,
            ("/control", Some(vm)) => self.serve_control(&vm, body).await,
            (_, None) => Err(LinkError::Unproven),
            (_, Some(_)) => Err(LinkError::CutHead),
        };
        match result {
            Ok(()) => {}
            Err(LinkError::Unproven) => self.respond.send_reset(Reason::REFUSED_STREAM),
            Err(_) => self.respond.send_reset(Reason::PROTOCOL_ERROR),
        }
    }

    fn proven(&self) -> Option<VmName> {
        match &*self.peer.borrow() {
            PeerState::Proven(vm) => Some(vm.clone()),
            _ => None,
        }
    }

    async fn serve_hello(&mut self, mut body: RecvStream) -> Result<(), LinkError> {
        let hello: HelloMessage = decode(&read_message(&mut body).await?)?;
        let nonce: [u8; NONCE_BYTES] = rand::random();
        let answer = HelloAnswer {
            version: WIRE_VERSION,
            nonce,
            proof: self.secret.prove("server", &[&hello.nonce, &nonce]),
        };
        if hello.version == WIRE_VERSION {
            *self.peer.borrow_mut() = PeerState::Challenged {
                vm: hello.vm,
                theirs: hello.nonce,
                ours: nonce,
            };
        }
        self.send_message(encode(&answer)?.into()).await
    }

    async fn serve_prove(&mut self, mut body: RecvStream) -> Result<(), LinkError> {
        let proof = read_message(&mut body).await?;
        let state = std::mem::replace(&mut *self.peer.borrow_mut(), PeerState::Unknown);
        let PeerState::Challenged { vm, theirs, ours } = state else {
            return Err(LinkError::Unproven);
        };
        let parts: [&[u8]; 3] = [&ours, &theirs, vm.as_str().as_bytes()];
        if !self.secret.check("client", &parts, &proof) {
            return Err(LinkError::Unproven);
        }
        *self.peer.borrow_mut() = PeerState::Proven(vm);
        self.send_message(Bytes::new()).await
    }

    async fn serve_call(&mut self, vm: &VmName, mut body: RecvStream) -> Result<(), LinkError> {
        let (head, first) = read_head::<CallHead>(&mut body).await?;
        let body = LinkBody::new(body, first, head.body_bytes, None);
        let handler = Rc::clone(&self.handler);
        let work = std::pin::pin!(handler.call(vm, head, body));
        let reset = poll_fn(|context| self.respond.poll_reset(context));
        let (answer, answer_body) = match select(work, reset).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => return Ok(()),
        };
        let mut stream = self.start_answer()?;
        if send_all(&mut stream, frame_head(&answer)?).await.is_ok() {
            let _ = pump_body(answer_body, &mut stream).await;
        }
        Ok(())
    }

    async fn serve_control(&mut self, vm: &VmName, mut body: RecvStream) -> Result<(), LinkError> {
        let message = read_message(&mut body).await?;
        let answer = Rc::clone(&self.handler).exchange(vm, message).await;
        self.send_message(answer).await
    }

    async fn send_message(&mut self, message: Bytes) -> Result<(), LinkError> {
        let mut stream = self.start_answer()?;
        if send_all(&mut stream, message).await.is_ok() {
            let _ = stream.send_data(Bytes::new(), true);
        }
        Ok(())
    }

    fn start_answer(&mut self) -> Result<SendStream<Bytes>, LinkError> {
        let sent = self.respond.send_response(Response::new(()), false);
        sent.map_err(LinkError::Broken)
    }
}
