use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;
use compio::time::sleep;
use cyper_core::HyperStream;
use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::StreamBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde_json::json;

use crate::backend_query::BackendQuery;
use crate::{BackendRecord, BackendSettings};

/// The chunk size of large answers, in bytes.
const CHUNK_BYTES: u64 = 16 * 1024;
/// The header that attributes a call to the request that it serves.
const CALL_ID: &str = "lentilshift-call-id";

type AnswerBody = StreamBody<BoxStream<'static, Result<Frame<Bytes>, io::Error>>>;

/// A stand-in for a backend server.
///
/// It runs each request for the configured time, makes the calls of its settings and records the
/// run. A request overrides this in its query string with `ms`, `bytes`, `status`, `crash` and
/// `cut`.
pub struct BackendServer {
    settings: RefCell<BackendSettings>,
    record: BackendRecord,
    address: SocketAddr,
    accepting: RefCell<Option<JoinHandle<()>>>,
    connections: RefCell<Vec<JoinHandle<()>>>,
    crashes: Cell<usize>,
    client: cyper::Client,
}

impl BackendServer {
    /// Starts a backend server on this thread's runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when it can't listen on the address.
    pub async fn start(settings: BackendSettings) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind(settings.address).await?;
        let server = Rc::new(Self {
            address: listener.local_addr()?,
            settings: RefCell::new(settings),
            record: BackendRecord::default(),
            accepting: RefCell::new(None),
            connections: RefCell::new(Vec::new()),
            crashes: Cell::new(0),
            client: cyper::Client::new().map_err(io::Error::other)?,
        });
        server.accept(listener);
        Ok(server)
    }

    /// Returns the address on which the backend server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the record of all runs.
    #[must_use]
    pub const fn record(&self) -> &BackendRecord {
        &self.record
    }

    /// Returns how often a request crashed the backend server; calls of [`Self::crash`] don't count.
    #[must_use]
    pub const fn crashes(&self) -> usize {
        self.crashes.get()
    }

    /// Sets the run time of a request, in milliseconds.
    pub fn set_run_ms(&self, run_ms: u64) {
        self.settings.borrow_mut().run_ms = run_ms;
    }

    /// Sets the egress address of the local node, for calls to other services.
    pub fn set_egress(&self, egress: SocketAddr) {
        self.settings.borrow_mut().egress = Some(egress);
    }

    /// Closes every connection and stops listening, like a crashed process.
    pub fn crash(&self) {
        self.accepting.borrow_mut().take();
        self.connections.borrow_mut().clear();
    }

    /// Listens again after a crash.
    ///
    /// # Errors
    ///
    /// Returns an error when it can't listen on the address.
    pub async fn restart(self: &Rc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.accept(listener);
        Ok(())
    }

    fn accept(self: &Rc<Self>, listener: TcpListener) {
        let server = Rc::clone(self);
        let task = compio::runtime::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let task = compio::runtime::spawn(Rc::clone(&server).serve(stream));
                let mut connections = server.connections.borrow_mut();
                connections.retain(|connection| !connection.is_finished());
                connections.push(task);
            }
        });
        self.accepting.borrow_mut().replace(task);
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let server = Rc::clone(&self);
            async move { Ok::<_, Infallible>(server.answer_or_detach(request).await) }
        });
        let stream = HyperStream::new_plain(stream);
        let _ = http1::Builder::new()
            .serve_connection(stream, service)
            .await;
    }

    /// Answers a request, on a detached task if it must continue after a disconnect.
    async fn answer_or_detach(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let continues_after_disconnect = self.settings.borrow().continues_after_disconnect;
        if !continues_after_disconnect {
            return self.answer(request).await;
        }
        let (sender, receiver) = oneshot::channel();
        let answering = async move {
            let _ = sender.send(self.answer(request).await);
        };
        compio::runtime::spawn(answering).detach();
        receiver.await.expect("the task sends its answer")
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let query = BackendQuery::parse(request.uri());
        let run = self.record.start(trace_of(&request), head_of(&request));
        if query.is_crash {
            self.crashes.set(self.crashes.get() + 1);
            let server = Rc::clone(&self);
            compio::runtime::spawn(async move { server.crash() }).detach();
            std::future::pending::<()>().await;
        }
        let call_id = request.headers().get(CALL_ID).cloned();
        let uploaded = self.read_body(request.into_body()).await;
        let run_ms = query.run_ms.unwrap_or(self.settings.borrow().run_ms);
        if run_ms > 0 {
            sleep(Duration::from_millis(run_ms)).await;
        }
        let below = self.call_downstream(call_id).await;
        run.finish();
        let settings = self.settings.borrow();
        let text = json!({
            "service": &*settings.service,
            "uploaded_bytes": uploaded,
            "below": below,
        });
        build_answer(query, &text.to_string())
    }

    /// Reads a body to its end and returns its length in bytes, or `None` if it was truncated.
    async fn read_body(&self, mut body: Incoming) -> Option<u64> {
        let mut length = 0;
        while let Some(frame) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
            let frame = frame.ok()?;
            if frame.is_trailers() {
                self.record.record_trailers();
            }
            length += frame.data_ref().map_or(0, Bytes::len) as u64;
        }
        Some(length)
    }

    /// Makes the calls of the settings and returns their statuses.
    async fn call_downstream(&self, call_id: Option<HeaderValue>) -> Vec<u16> {
        let settings = self.settings.borrow().clone();
        let Some(egress) = settings.egress else {
            return Vec::new();
        };
        let mut headers = HeaderMap::new();
        if let Some(id) = call_id.filter(|_| settings.passes_call_id) {
            headers.insert(CALL_ID, id);
        }
        let mut statuses = Vec::new();
        for call in &settings.calls {
            let url = format!("http://{egress}{}", call.path);
            let request = self.client.request(call.method.clone(), url);
            let Ok(request) = request else { continue };
            let status = match request.headers(headers.clone()).send().await {
                Ok(response) => response.status().as_u16(),
                Err(_) => 0,
            };
            statuses.push(status);
        }
        statuses
    }
}

fn trace_of(request: &Request<Incoming>) -> String {
    let trace = request.headers().get("x-trace");
    let text = trace.and_then(|trace| trace.to_str().ok());
    text.unwrap_or_default().to_owned()
}

fn head_of(request: &Request<Incoming>) -> String {
    format!(
        "{} {} {:?}",
        request.method(),
        request.uri(),
        request.headers()
    )
}

fn build_answer(query: BackendQuery, text: &str) -> Response<AnswerBody> {
    let status = query
        .status
        .and_then(|code| StatusCode::from_u16(code).ok());
    let response = Response::builder().status(status.unwrap_or(StatusCode::OK));
    let (length, chunks) = if let Some(bytes) = query.answer_bytes {
        (bytes, large_chunks(bytes, query.is_cut))
    } else {
        let chunk = Frame::data(Bytes::from(text.to_owned()));
        (text.len() as u64, stream::iter([Ok(chunk)]).boxed())
    };
    response
        .header(http::header::CONTENT_LENGTH, length)
        .body(StreamBody::new(chunks))
        .expect("a fixed answer is valid")
}

/// Returns a body of `bytes` bytes in chunks; with `is_cut` it fails after half of them.
fn large_chunks(bytes: u64, is_cut: bool) -> BoxStream<'static, Result<Frame<Bytes>, io::Error>> {
    let chunk = Bytes::from(vec![b'x'; usize::try_from(CHUNK_BYTES).unwrap_or(1)]);
    let end = if is_cut { bytes / 2 } else { bytes };
    let starts = (0..end).step_by(usize::try_from(CHUNK_BYTES).unwrap_or(1));
    let chunks = starts.map(move |start| {
        let length = CHUNK_BYTES.min(end - start);
        Ok(Frame::data(
            chunk.slice(..usize::try_from(length).unwrap_or(0)),
        ))
    });
    let cut = is_cut.then(|| Err(io::Error::other("answer cut as requested")));
    stream::iter(chunks.chain(cut)).boxed()
}
