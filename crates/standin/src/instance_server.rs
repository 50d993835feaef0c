use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;
use compio::time::sleep;
use cyper_core::HyperStream;
use futures_channel::oneshot;
use futures_util::future::select;
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
/// The header of a health answer with the milliseconds that the instance stays cold.
const WARM_UP: &str = "warmup-ms";
/// The header of a health answer that names the instance.
const INSTANCE_ID: &str = "instance-id";
/// The path of questions about the state of the instance.
const HEALTH_PATH: &str = "/healthz";
/// How long an instance that has fallen over is down.
const DOWN_TIME: Duration = Duration::from_millis(800);
/// The time between two attempts to listen again.
const LISTEN_RETRY: Duration = Duration::from_millis(10);

/// How an instance behaves while it is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdState {
    /// How long it is cold after a start.
    pub time: Duration,
    /// The most requests in a second that it bears meanwhile; with more it falls over and starts
    /// again.
    pub bears: usize,
}

/// A request that an instance has run.
#[derive(Clone, Debug)]
pub struct InstanceRun {
    /// The path and query of the request.
    pub path: String,
    /// The headers of the request.
    pub headers: HeaderMap,
    /// When the request arrived.
    pub arrived: Instant,
    /// Whether the instance was cold then.
    pub is_cold: bool,
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
    /// Until when the instance is cold.
    cold_until: Cell<Option<Instant>>,
    /// How the instance behaves while it is cold, if it can fall over.
    cold_state: Cell<Option<ColdState>>,
    falls: Cell<usize>,
    /// Ends the listener and the open connections when the instance falls over.
    open: RefCell<Vec<oneshot::Sender<()>>>,
    /// The questions about its state that the instance has answered.
    questions: Cell<usize>,
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
            cold_until: Cell::new(None),
            cold_state: Cell::new(None),
            falls: Cell::new(0),
            open: RefCell::default(),
            questions: Cell::new(0),
            answer_bytes: Cell::new(None),
            client: cyper::Client::new().map_err(io::Error::other)?,
        });
        spawn(Rc::clone(&server).listen(listener)).detach();
        Ok(server)
    }

    /// Accepts connections, with a new listener after each time that the instance has fallen over.
    async fn listen(self: Rc<Self>, mut listener: TcpListener) {
        loop {
            let fallen = self.until_fall();
            let accepting = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let serving = Rc::clone(&self).serve(stream);
                    let fallen = self.until_fall();
                    spawn(async move {
                        let _ = select(Box::pin(serving), fallen).await;
                    })
                    .detach();
                }
            };
            let _ = select(Box::pin(accepting), fallen).await;
            drop(listener);
            sleep(DOWN_TIME).await;
            listener = loop {
                match TcpListener::bind(self.address).await {
                    Ok(listener) => break listener,
                    Err(_) => sleep(LISTEN_RETRY).await,
                }
            };
            self.start_anew();
            if let Some(state) = self.cold_state.get() {
                self.turn_cold(state.time);
            }
        }
    }

    /// Returns a future that ends when the instance falls over.
    fn until_fall(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut open = self.open.borrow_mut();
        open.retain(|sender| !sender.is_canceled());
        open.push(sender);
        receiver
    }

    /// Falls over if the instance is cold and has got more requests in a second than it bears.
    fn check_load(&self) {
        let Some(state) = self.cold_state.get() else {
            return;
        };
        let runs = self.runs.borrow();
        let is_recent = |run: &&InstanceRun| run.arrived.elapsed() < Duration::from_secs(1);
        let recent = runs.iter().rev().take_while(is_recent);
        if recent.filter(|run| run.is_cold).count() > state.bears {
            drop(runs);
            self.fall_over();
        }
    }

    /// Closes the listener and all connections, and starts again some time later.
    pub fn fall_over(&self) {
        self.falls.set(self.falls.get() + 1);
        self.open.take();
    }

    /// Sets how the instance behaves while it is cold, so that it can fall over.
    pub fn set_cold_state(&self, state: ColdState) {
        self.cold_state.set(Some(state));
    }

    /// Returns how often the instance has fallen over.
    #[must_use]
    pub const fn falls(&self) -> usize {
        self.falls.get()
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

    /// Makes the instance cold for a time, as after a start.
    pub fn turn_cold(&self, time: Duration) {
        self.cold_until.set(Some(Instant::now() + time));
    }

    /// Returns the number of questions about its state that the instance has answered.
    #[must_use]
    pub const fn questions(&self) -> usize {
        self.questions.get()
    }

    /// Returns how many milliseconds the instance stays cold.
    fn cold_ms(&self) -> u128 {
        let until = self.cold_until.get();
        until.map_or(0, |until| {
            let left = until.saturating_duration_since(Instant::now());
            left.as_millis()
        })
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
            "warmup-left-ms": u64::try_from(self.cold_ms()).unwrap_or(u64::MAX),
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
            let is_question = request.uri().path() == HEALTH_PATH;
            let answer = self.answer(&request);
            let run_ms = if is_question { 0 } else { self.run_ms.get() };
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
        if request.uri().path() == HEALTH_PATH {
            self.questions.set(self.questions.get() + 1);
            let answer = Response::builder()
                .header(INSTANCE_ID, &self.id)
                .header(WARM_UP, self.cold_ms().to_string());
            return answer
                .body(Full::default())
                .expect("a fixed answer is valid");
        }
        let expected = headers.get(EXPECT_INSTANCE).map(HeaderValue::as_bytes);
        if expected.is_some_and(|expected| expected != self.id.as_bytes()) {
            return text(StatusCode::MISDIRECTED_REQUEST, "");
        }
        self.runs.borrow_mut().push(InstanceRun {
            path: request.uri().to_string(),
            headers: headers.clone(),
            arrived: Instant::now(),
            is_cold: self.cold_ms() > 0,
        });
        self.check_load();
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
