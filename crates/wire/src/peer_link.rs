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

use crate::body_pump::pump_body;
use crate::buffered_stream::BufferedStream;
use crate::codec::MAX_MESSAGE_BYTES;
use crate::head_reader::{frame_head, read_head, read_message};
use crate::hello_message::{HelloAnswer, HelloMessage};
use crate::link_activity::LinkActivity;
use crate::link_body::CallSender;
use crate::{
    AnswerHead, CallHead, FleetSecret, LinkBody, LinkError, LinkSettings, WIRE_VERSION, decode,
    encode,
};

/// The most streams that a link holds open at once.
pub(crate) const MAX_STREAMS: u32 = 8_192;

/// The calling end of a link to another node.
pub struct PeerLink {
    sender: RefCell<SendRequest<Bytes>>,
    down: Shared<oneshot::Receiver<()>>,
    /// Whether the other end takes no more streams.
    is_closing: Cell<bool>,
    activity: LinkActivity,
}

impl PeerLink {
    /// Opens a link and proves the fleet's secret in both directions.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] when the node can't be reached in time, doesn't hold the secret,
    /// or speaks another version.
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
        let keeper = keep_alive(pings, activity.clone(), *settings);
        compio::runtime::spawn(async move {
            let keeper = std::pin::pin!(keeper);
            select(connection, keeper).await;
            drop(down_sender);
        })
        .detach();
        let link = Self {
            sender: RefCell::new(sender),
            down: down.shared(),
            is_closing: Cell::new(false),
            activity,
        };
        link.prove(own, secret).await?;
        Ok(link)
    }

    /// Returns whether the link broke, went silent or is closed.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.is_closing.get()
            || self.down.peek().is_some()
            || self.down.clone().now_or_never().is_some()
    }

    /// Waits until the link is down; the future doesn't keep the link.
    pub fn down(&self) -> impl Future<Output = ()> + use<> {
        self.down.clone().map(|_| ())
    }

    /// Returns the number of calls and messages that wait for an answer.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.activity.waiting()
    }

    /// Sends a call and returns the head of its answer with the body that follows.
    ///
    /// Dropping the future or the returned body cancels the call at the far end.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`]; its verdict tells whether the call may have run.
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
            let _ = pump_body(body, &mut stream).await;
        };
        let sender = begin_sending(Box::pin(sending));
        let mut answer = self.wait(response).await?;
        let (answer_head, first) = self
            .until_down(read_head::<AnswerHead>(&mut answer))
            .await?;
        if answer_head.attempt != head.attempt {
            return Err(LinkError::WrongAnswer {
                sent: head.attempt,
                got: answer_head.attempt,
            });
        }
        let told = answer_head.body_bytes;
        let call = CallSender {
            _sender: sender,
            _guard: guard,
        };
        let body = LinkBody::new(answer, first, told, Some(call));
        Ok((answer_head, body))
    }

    /// Sends a control message and returns the answer to it.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] when no whole answer came.
    pub async fn exchange(&self, message: Bytes) -> Result<Bytes, LinkError> {
        self.send_message("/control", message).await
    }

    async fn prove(&self, own: &VmName, secret: &FleetSecret) -> Result<(), LinkError> {
        let nonce = rand::random();
        let hello = HelloMessage {
            version: WIRE_VERSION,
            vm: own.clone(),
            nonce,
        };
        let answer = self.send_message("/hello", encode(&hello)?.into()).await?;
        let answer: HelloAnswer = decode(&answer)?;
        if answer.version != WIRE_VERSION {
            return Err(LinkError::Version {
                ours: WIRE_VERSION,
                theirs: answer.version,
            });
        }
        if !secret.check("server", &[&nonce, &answer.nonce], &answer.proof) {
            return Err(LinkError::Unproven);
        }
        let parts: [&[u8]; 3] = [&answer.nonce, &nonce, own.as_str().as_bytes()];
        let proof = secret.prove("client", &parts);
        self.send_message("/prove", proof.into()).await?;
        Ok(())
    }

    async fn send_message(&self, path: &str, message: Bytes) -> Result<Bytes, LinkError> {
        let _guard = self.activity.begin();
        let (response, mut stream) = self.send(path).await?;
        stream.send_data(message, true).map_err(LinkError::Broken)?;
        let mut answer = self.wait(response).await?;
        self.until_down(read_message(&mut answer, MAX_MESSAGE_BYTES))
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
        sent.map_err(|error| self.not_sent(error))
    }

    /// Lets no more calls take this link, as the other end didn't take this one.
    fn not_sent(&self, error: h2::Error) -> LinkError {
        self.is_closing.set(true);
        LinkError::NotSent(error)
    }

    /// Tells a stream that the other end surely didn't take from one that broke.
    fn classify(&self, error: h2::Error) -> LinkError {
        match error.reason() {
            Some(Reason::REFUSED_STREAM) if error.is_remote() => LinkError::NotSent(error),
            Some(Reason::NO_ERROR) if error.is_remote() && error.is_go_away() => {
                self.not_sent(error)
            }
            _ => LinkError::Broken(error),
        }
    }

    async fn wait(&self, response: ResponseFuture) -> Result<RecvStream, LinkError> {
        let response = response.map(|result| result.map_err(|error| self.classify(error)));
        Ok(self.until_down(response).await?.into_body())
    }

    async fn until_down<T>(
        &self,
        work: impl Future<Output = Result<T, LinkError>>,
    ) -> Result<T, LinkError> {
        let work = std::pin::pin!(work);
        match select(work, self.down.clone()).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(LinkError::Silent),
        }
    }
}

/// Sends what can be sent at once, so that it leaves in one piece with the head of its call, and
/// lets a task send the rest.
fn begin_sending<F>(mut sending: Pin<Box<F>>) -> Option<JoinHandle<()>>
where
    F: Future<Output = ()> + 'static,
{
    match sending.as_mut().now_or_never() {
        Some(()) => None,
        None => Some(compio::runtime::spawn(sending)),
    }
}

/// Probes the link, and returns when it doesn't answer in time or nothing uses it for long.
async fn keep_alive(pings: Option<PingPong>, activity: LinkActivity, settings: LinkSettings) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        wait_for_probe(&activity, &settings).await;
        if activity.idle_span() >= Duration::from_millis(settings.idle_close_ms) {
            return;
        }
        let probe = pings.ping(Ping::opaque());
        let limit = Duration::from_millis(settings.probe_timeout_ms);
        if !matches!(timeout(limit, probe).await, Ok(Ok(_))) {
            return;
        }
    }
}

/// Waits until an answer is overdue, or the link has been idle for long.
async fn wait_for_probe(activity: &LinkActivity, settings: &LinkSettings) {
    let idle = Duration::from_millis(settings.idle_probe_ms);
    let close = Duration::from_millis(settings.idle_close_ms);
    loop {
        let span = idle.min(close.saturating_sub(activity.idle_span()));
        if activity.is_idle() && timeout(span, activity.begins()).await.is_err() {
            return;
        }
        sleep(Duration::from_millis(settings.busy_probe_ms)).await;
        if !activity.is_idle() {
            return;
        }
    }
}
