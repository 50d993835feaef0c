use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;
use cyper_core::HyperStream;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde_json::json;

use crate::endless_answer::{EndlessPart, serve_endless};
use crate::http_parts::{TextResponse, text, wait_ms};

/// The header that names the only instance that may run the request.
const EXPECT_INSTANCE: &str = "expect-instance";
/// The header with the caller's request id, which the answer repeats.
const REQUEST_ID: &str = "request-id";
/// The header with the requests per second that the instance accepts from all VMs together.
const SERVER_LIMIT: &str = "server-limit";
/// The header by which an instance says that it is leaving.
const SERVER_LEAVING: &str = "server-leaving";

/// A request that an instance has run.
#[derive(Clone, Debug)]
pub struct InstanceRun {
    /// The path and query of the request.
    pub path: String,
    /// The headers of the request.
    pub headers: HeaderMap,
    /// When the request arrived.
    pub arrived: Instant,
}

/// A stand-in for a backend server of the users' platform.
///
/// It refuses requests meant for another instance, puts its id into the `response-signature`
/// header of its answers, and reports its state to its node.
#[derive(Debug)]
pub struct InstanceServer {
    service: String,
    id: String,
    address: SocketAddr,
    runs: RefCell<Vec<InstanceRun>>,
    sequence: Cell<u64>,
    /// When the instance started, in milliseconds since 1970.
    started_at_ms: Cell<u64>,
    run_ms: Cell<u64>,
    stated_limit: RefCell<Option<String>>,
    states_leaving: Cell<bool>,
    endless_part: Cell<Option<EndlessPart>>,
    /// The size of the bodies of answers, or `None` for a short text.
    answer_bytes: Cell<Option<usize>>,
    client: cyper::Client,
}

impl InstanceServer {
    /// Starts an instance on this thread's runtime.
    ///
    /// # Errors
    ///
    /// Returns the system's error when it can't listen on a port.
    pub async fn start(service: &str, id: &str) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Rc::new(Self {
            service: service.to_owned(),
            id: id.to_owned(),
            address: listener.local_addr()?,
            runs: RefCell::default(),
            sequence: Cell::new(0),
            started_at_ms: Cell::new(1),
            run_ms: Cell::new(0),
            stated_limit: RefCell::default(),
            states_leaving: Cell::new(false),
            endless_part: Cell::new(None),
            answer_bytes: Cell::new(None),
            client: cyper::Client::new().map_err(io::Error::other)?,
        });
        let accepting = Rc::clone(&server);
        spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn(Rc::clone(&accepting).serve(stream)).detach();
            }
        })
        .detach();
        Ok(server)
    }

    /// Returns the address on which the instance listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests that the instance has run so far.
    #[must_use]
    pub fn runs(&self) -> Vec<InstanceRun> {
        self.runs.borrow().clone()
    }

    /// Sets the run time of a request, in milliseconds.
    pub fn set_run_ms(&self, run_ms: u64) {
        self.run_ms.set(run_ms);
    }

    /// Sets the value of the limit that the instance states in its answers, or `None` to state none.
    pub fn set_stated_limit(&self, limit: Option<&str>) {
        self.stated_limit.replace(limit.map(str::to_owned));
    }

    /// Makes the instance say in its answers that it is leaving.
    pub fn state_leaving(&self) {
        self.states_leaving.set(true);
    }

    /// Sets the part that the answers on new connections have without end, or `None` for proper
    /// answers.
    pub fn set_endless(&self, part: Option<EndlessPart>) {
        self.endless_part.set(part);
    }

    /// Sets the size of the bodies of answers, or `None` for a short text.
    pub fn set_answer_bytes(&self, answer_bytes: Option<usize>) {
        self.answer_bytes.set(answer_bytes);
    }

    /// Reports `state` to a node, and returns whether the node acknowledged the report.
    pub async fn report(&self, node: SocketAddr, state: &str) -> bool {
        self.sequence.set(self.sequence.get() + 1);
        let body = json!({
            "service": self.service,
            "address": self.address.to_string(),
            "zone": "here",
            "version": "v1",
            "max-concurrency": 25,
            "state": state,
            "warmup-left-ms": 0,
            "sequence": self.sequence.get(),
            "born": self.started_at_ms.get(),
        });
        let url = format!("http://{node}/instances/{}", self.id);
        let Ok(request) = self.client.put(url) else {
            return false;
        };
        let sent = request.body(body.to_string()).send().await;
        sent.is_ok_and(|answer| answer.status().is_success())
    }

    /// Tells a node that the instance is gone, and returns whether the node acknowledged it.
    pub async fn depart(&self, node: SocketAddr) -> bool {
        let url = format!("http://{node}/instances/{}", self.id);
        let Ok(request) = self.client.delete(url) else {
            return false;
        };
        let sent = request.send().await;
        sent.is_ok_and(|answer| answer.status().is_success())
    }

    /// Starts the instance anew under its id: its reports tell of another start from now on.
    pub fn start_anew(&self) {
        self.started_at_ms.set(self.started_at_ms.get() + 1);
        self.sequence.set(0);
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        if let Some(part) = self.endless_part.get() {
            // The caller closes the connection at some point, so errors are expected.
            let _ = serve_endless(&mut stream, part).await;
            return;
        }
        let service = service_fn(|request| {
            let answer = self.answer(&request);
            let run_ms = self.run_ms.get();
            async move {
                wait_ms(run_ms).await;
                Ok::<_, Infallible>(answer)
            }
        });
        let stream = HyperStream::new_plain(stream);
        // An error affects only the requests of this connection.
        let _ = http1::Builder::new()
            .serve_connection(stream, service)
            .await;
    }

    fn answer(&self, request: &Request<Incoming>) -> TextResponse {
        let headers = request.headers();
        let expected = headers.get(EXPECT_INSTANCE).map(HeaderValue::as_bytes);
        if expected.is_some_and(|expected| expected != self.id.as_bytes()) {
            return text(StatusCode::MISDIRECTED_REQUEST, "");
        }
        self.runs.borrow_mut().push(InstanceRun {
            path: request.uri().to_string(),
            headers: headers.clone(),
            arrived: Instant::now(),
        });
        let mut response = Response::builder().header("response-signature", &self.id);
        if let Some(id) = headers.get(REQUEST_ID) {
            response = response.header(REQUEST_ID, id);
        }
        if let Some(limit) = &*self.stated_limit.borrow() {
            response = response.header(SERVER_LIMIT, limit);
        }
        if self.states_leaving.get() {
            response = response.header(SERVER_LEAVING, "1");
        }
        let body = match self.answer_bytes.get() {
            Some(bytes) => Bytes::from(vec![b'a'; bytes]),
            None => Bytes::from(format!("{} answers", self.id)),
        };
        let body = Full::from(body);
        response.body(body).expect("a fixed answer is valid")
    }
}
