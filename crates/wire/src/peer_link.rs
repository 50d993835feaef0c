use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use compio::time::{sleep, timeout};

use futures_channel::oneshot;
use futures_util::future::{Either, FutureExt, Shared, select};
use h2::client::{ResponseFuture, SendRequest};
use h2::{Ping, PingPong, Reason, RecvStream, SendStream};
use http::{Method, Request};
use http_body::Body;
use hyper_util::rt::TokioIo;
use model::VmName;

use crate::body_sender::send_body;
use crate::buffered_stream::BufferedStream;
use crate::codec::MAX_MESSAGE_BYTES;
use crate::head_reader::{frame_head, read_head, read_message};
use crate::hello_message::{HelloAnswer, HelloMessage};
use crate::link_activity::LinkActivity;
use crate::link_body::CallGuard;
use crate::{
    AnswerHead, CallHead, FleetSecret, LinkBody, LinkError, LinkSettings, WIRE_VERSION, decode,
    encode,
};

/// The largest number of concurrent streams on a link.
pub(crate) const MAX_STREAMS: u32 = 8_192;

/// The client end of a link to another node.
pub struct PeerLink {
    sender: RefCell<SendRequest<Bytes>>,
    down: Shared<oneshot::Receiver<()>>,
    /// Whether the peer accepts no more streams.
    is_closing: Cell<bool>,
    activity: LinkActivity,
}

impl PeerLink {
    /// Opens a link; both ends prove possession of the fleet secret.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] when the node can't be reached in time, fails to authenticate or uses
    /// another version of the protocol.
    pub async fn connect(
        address: SocketAddr,
        own: &VmName,
        secret: &FleetSecret,
        settings: &LinkSettings,
    ) -> Result<Self, LinkError> {
        let limit_ms = settings.connect_timeout_ms;
        let opening = Self::open(address, own, secret, settings);
        match timeout(Duration::from_millis(limit_ms), opening).await {
            Ok(link) => link,
            Err(_) => Err(LinkError::ConnectTimeout(limit_ms)),
        }
    }

    async fn open(
        address: SocketAddr,
        own: &VmName,
        secret: &FleetSecret,
        settings: &LinkSettings,
    ) -> Result<Self, LinkError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let stream = TokioIo::new(BufferedStream::new(stream));
        let (sender, mut connection) = h2::client::Builder::new()
            .initial_window_size(settings.stream_window_bytes)
            .initial_connection_window_size(settings.link_window_bytes)
            .initial_max_send_streams(MAX_STREAMS as usize)
            .handshake::<_, Bytes>(stream)
            .await
            .map_err(LinkError::NotSent)?;
        let pings = connection.ping_pong();
        let (down_sender, down) = oneshot::channel();
        let activity = LinkActivity::new();
        let keep_alive = probe_until_down(pings, activity.clone(), *settings);
        compio::runtime::spawn(async move {
            let keep_alive = std::pin::pin!(keep_alive);
            select(connection, keep_alive).await;
            drop(down_sender);
        })
        .detach();
        let link = Self {
            sender: RefCell::new(sender),
            down: down.shared(),
            is_closing: Cell::new(false),
            activity,
        };
        link.authenticate(own, secret).await?;
        Ok(link)
    }

    /// Returns whether the link is broken, closed or closing.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.is_closing.get()
            || self.down.peek().is_some()
            || self.down.clone().now_or_never().is_some()
    }

    /// Waits until the link is down; the future doesn't hold the link open.
    pub fn down(&self) -> impl Future<Output = ()> + use<> {
        self.down.clone().map(|_| ())
    }

    /// Returns the number of calls and control messages that are sent and not yet fully answered.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.activity.in_flight()
    }

    /// Sends a call and returns the head and the body of its answer.
    ///
    /// Dropping the future or the returned body cancels the call at the peer.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`]; its verdict says whether the call may have run.
    pub async fn call<B>(
        &self,
        head: &CallHead,
        body: B,
    ) -> Result<(AnswerHead, LinkBody), LinkError>
    where
        B: Body<Data = Bytes> + Unpin + 'static,
    {
        let guard = self.activity.begin();
        let frame = frame_head(head)?;
        let (response, mut stream) = self.send("/call").await?;
        stream.send_data(frame, false).map_err(LinkError::Broken)?;
        let sending = async move {
            let _ = send_body(body, &mut stream).await;
        };
        let sender = begin_sending(Box::pin(sending));
        let mut answer = self.receive(response).await?;
        let (answer_head, first) = self
            .unless_down(read_head::<AnswerHead>(&mut answer))
            .await?;
        if answer_head.attempt != head.attempt {
            return Err(LinkError::AttemptMismatch {
                sent: head.attempt,
                got: answer_head.attempt,
            });
        }
        let declared = answer_head.body_bytes;
        let call = CallGuard {
            _body_sender: sender,
            _guard: guard,
        };
        let body = LinkBody::new(answer, first, declared, Some(call));
        Ok((answer_head, body))
    }

    /// Sends a control message and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] when no complete answer is received.
    pub async fn exchange(&self, message: Bytes) -> Result<Bytes, LinkError> {
        self.send_message("/control", message).await
    }

    async fn authenticate(&self, own: &VmName, secret: &FleetSecret) -> Result<(), LinkError> {
        let nonce = rand::random();
        let hello = HelloMessage {
            version: WIRE_VERSION,
            vm: own.clone(),
            nonce,
        };
        let answer = self.send_message("/hello", encode(&hello)?.into()).await?;
        let answer: HelloAnswer = decode(&answer)?;
        if answer.version != WIRE_VERSION {
            return Err(LinkError::VersionMismatch {
                ours: WIRE_VERSION,
                theirs: answer.version,
            });
        }
        if !secret.verify_proof("server", &[&nonce, &answer.nonce], &answer.proof) {
            return Err(LinkError::Unauthenticated);
        }
        let parts: [&[u8]; 3] = [&answer.nonce, &nonce, own.as_str().as_bytes()];
        let proof = secret.proof("client", &parts);
        self.send_message("/prove", proof.into()).await?;
        Ok(())
    }

    async fn send_message(&self, path: &str, message: Bytes) -> Result<Bytes, LinkError> {
        let _guard = self.activity.begin();
        let (response, mut stream) = self.send(path).await?;
        stream.send_data(message, true).map_err(LinkError::Broken)?;
        let mut answer = self.receive(response).await?;
        self.unless_down(read_message(&mut answer, MAX_MESSAGE_BYTES))
            .await
    }

    async fn send(&self, path: &str) -> Result<(ResponseFuture, SendStream<Bytes>), LinkError> {
        let mut sender = self.sender.borrow().clone();
        let ready = poll_fn(|context| sender.poll_ready(context));
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://node{path}"))
            .body(())
            .expect("a fixed request is valid");
        let sent = match ready.await {
            Ok(()) => sender.send_request(request, false),
            Err(error) => Err(error),
        };
        sent.map_err(|error| self.reject_link(error))
    }

    /// Marks the link as closing, so that no more calls use it, and returns the error.
    fn reject_link(&self, error: h2::Error) -> LinkError {
        self.is_closing.set(true);
        LinkError::NotSent(error)
    }

    /// Distinguishes a stream that the peer certainly didn't process from one that it may have.
    fn classify(&self, error: h2::Error) -> LinkError {
        match error.reason() {
            Some(Reason::REFUSED_STREAM) if error.is_remote() => LinkError::NotSent(error),
            Some(Reason::NO_ERROR) if error.is_remote() && error.is_go_away() => {
                self.reject_link(error)
            }
            _ => LinkError::Broken(error),
        }
    }

    async fn receive(&self, response: ResponseFuture) -> Result<RecvStream, LinkError> {
        let response = response.map(|result| result.map_err(|error| self.classify(error)));
        Ok(self.unless_down(response).await?.into_body())
    }

    async fn unless_down<T>(
        &self,
        work: impl Future<Output = Result<T, LinkError>>,
    ) -> Result<T, LinkError> {
        let work = std::pin::pin!(work);
        match select(work, self.down.clone()).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(LinkError::Down),
        }
    }
}

/// Polls the sending of a body once, so that the data that is ready leaves together with the head of
/// the call, and spawns a task for the rest.
fn begin_sending<F>(mut sending: Pin<Box<F>>) -> Option<JoinHandle<()>>
where
    F: Future<Output = ()> + 'static,
{
    match sending.as_mut().now_or_never() {
        Some(()) => None,
        None => Some(compio::runtime::spawn(sending)),
    }
}

/// Probes the link; returns when a probe isn't answered in time or the link has been idle for too
/// long.
async fn probe_until_down(pings: Option<PingPong>, activity: LinkActivity, settings: LinkSettings) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        wait_for_probe(&activity, &settings).await;
        if activity.idle_duration() >= Duration::from_millis(settings.idle_close_ms) {
            return;
        }
        let probe = pings.ping(Ping::opaque());
        let limit = Duration::from_millis(settings.probe_timeout_ms);
        if !matches!(timeout(limit, probe).await, Ok(Ok(_))) {
            return;
        }
    }
}

/// Waits until the link has been busy or idle for the respective probe interval, or is due to be
/// closed as idle.
async fn wait_for_probe(activity: &LinkActivity, settings: &LinkSettings) {
    let idle = Duration::from_millis(settings.idle_probe_interval_ms);
    let close = Duration::from_millis(settings.idle_close_ms);
    loop {
        let span = idle.min(close.saturating_sub(activity.idle_duration()));
        if activity.is_idle() && timeout(span, activity.wait_for_begin()).await.is_err() {
            return;
        }
        sleep(Duration::from_millis(settings.busy_probe_interval_ms)).await;
        if !activity.is_idle() {
            return;
        }
    }
}
