use std::{
    cell::{Cell, RefCell},
    future::pending,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use clock::ClockTime;
use compio::{
    net::{TcpListener, TcpStream},
    runtime::spawn,
};
use cyper_core::HyperStream;
use http::{Method, Request, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use serde::{Deserialize, Serialize};
use streams::{LogEra, LogOffset, LogStream, NewRecord, ReadError};

use crate::http_parts::{TextResponse, json, query_number, read_body, text, wait_ms};
use crate::{LogFaults, LogOutage, LogStore};

/// The interval at which a waiting read checks for records, in milliseconds.
const POLL_INTERVAL_MS: u64 = 5;

/// The maximum wait of a read, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// A stand-in for the platform's log: an in-memory log served over HTTP.
///
/// `GET /control` returns the injected faults, and `POST /control` sets them, as JSON of
/// [`LogFaults`].
#[derive(Debug)]
pub struct LogServer {
    listener: TcpListener,
    control: LogControl,
}

impl LogServer {
    /// Binds the stand-in to an address; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Returns the system's error when it can't listen on the address.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let control = LogControl::new();
        Ok(Self { listener, control })
    }

    /// Returns the address on which the server listens.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be determined.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns a handle for setting faults and accessing the records.
    #[must_use]
    pub fn control(&self) -> LogControl {
        self.control.clone()
    }

    /// Serves until the task is dropped.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a connection can't be accepted.
    pub async fn run(self) -> io::Result<()> {
        loop {
            let (stream, _) = self.listener.accept().await?;
            spawn(serve(stream, self.control.clone())).detach();
        }
    }
}

/// Sets the faults of a [`LogServer`] and accesses its records.
#[derive(Clone, Debug)]
pub struct LogControl {
    store: Rc<RefCell<LogStore>>,
    faults: Rc<Cell<LogFaults>>,
    started: Instant,
}

impl LogControl {
    fn new() -> Self {
        Self {
            store: Rc::default(),
            faults: Rc::default(),
            started: Instant::now(),
        }
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> LogFaults {
        self.faults.get()
    }

    /// Sets the faults and applies their retention limits.
    pub fn set_faults(&self, faults: LogFaults) {
        self.faults.set(faults);
        self.expire();
    }

    /// Calls a function with the stored records.
    pub fn with_store<T>(&self, function: impl FnOnce(&mut LogStore) -> T) -> T {
        function(&mut self.store.borrow_mut())
    }

    /// Comes back from a copy of this age, without the later records and in the next era.
    pub fn go_back(&self, age_ms: u64) {
        let now = self.now();
        self.with_store(|store| store.go_back(now, age_ms));
    }

    fn now(&self) -> ClockTime {
        let ms = self.started.elapsed().as_millis();
        ClockTime::from_ms(u64::try_from(ms).unwrap_or(u64::MAX))
    }

    fn expire(&self) {
        let faults = self.faults.get();
        let mut store = self.store.borrow_mut();
        if let Some(retention_ms) = faults.retention_ms {
            store.expire(self.now(), retention_ms);
        }
        if let Some(max_records) = faults.retained_records {
            store.retain(max_records);
        }
    }
}

#[derive(Deserialize)]
struct AppendBody {
    records: Vec<NewRecord>,
}

#[derive(Serialize)]
struct GoneBody {
    first: LogOffset,
    #[serde(skip_serializing_if = "LogEra::is_first")]
    era: LogEra,
}

async fn serve(stream: TcpStream, control: LogControl) {
    let service = service_fn(|request| answer(request, &control));
    let stream = HyperStream::new_plain(stream);
    let connection = http1::Builder::new().serve_connection(stream, service);
    // Some faults close the connection before an answer, so errors are expected.
    let _ = connection.await;
}

async fn answer(request: Request<Incoming>, control: &LogControl) -> io::Result<TextResponse> {
    if request.uri().path() == "/control" {
        return Ok(answer_control(request, control).await);
    }
    match control.faults().outage {
        LogOutage::None => {}
        LogOutage::Refuse => return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "outage")),
        LogOutage::Hang => pending().await,
    }
    let Some(stream) = stream_of(request.uri().path()) else {
        return Ok(text(StatusCode::NOT_FOUND, "no such stream"));
    };
    let response = match *request.method() {
        Method::GET => answer_read(&request, stream, control).await,
        Method::POST => answer_append(request, stream, control).await?,
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST"),
    };
    if control.faults().garble_answers {
        return Ok(text(StatusCode::OK, "<html>not JSON"));
    }
    Ok(response)
}

async fn answer_control(request: Request<Incoming>, control: &LogControl) -> TextResponse {
    if request.method() == Method::POST {
        let faults = read_body(request).await;
        let faults = faults.and_then(|body| serde_json::from_slice(&body).ok());
        let Some(faults) = faults else {
            return text(
                StatusCode::BAD_REQUEST,
                "the body is not valid JSON of faults",
            );
        };
        control.set_faults(faults);
    }
    json(StatusCode::OK, &control.faults())
}

async fn answer_append(
    request: Request<Incoming>,
    stream: LogStream,
    control: &LogControl,
) -> io::Result<TextResponse> {
    let body = read_body(request).await;
    let body = body.and_then(|body| serde_json::from_slice::<AppendBody>(&body).ok());
    let Some(body) = body else {
        return Ok(text(
            StatusCode::BAD_REQUEST,
            "the body is not valid JSON of records",
        ));
    };
    wait_ms(control.faults().append_delay_ms).await;
    let now = control.now();
    let receipt = control.with_store(|store| store.append(now, stream, body.records));
    control.expire();
    wait_ms(control.faults().reply_delay_ms).await;
    if control.faults().lose_append_replies {
        return Err(io::Error::other("reply dropped by an injected fault"));
    }
    Ok(json(StatusCode::OK, &receipt))
}

async fn answer_read(
    request: &Request<Incoming>,
    stream: LogStream,
    control: &LogControl,
) -> TextResponse {
    let query = request.uri().query().unwrap_or_default();
    let from = LogOffset::new(query_number(query, "from").unwrap_or(0));
    let wait = query_number(query, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
    let until = control.now().plus_ms(wait);
    while control.with_store(|store| store.end(stream)) <= from && control.now() < until {
        wait_ms(POLL_INTERVAL_MS).await;
    }
    control.expire();
    let result = control.with_store(|store| store.read(stream, from));
    wait_ms(control.faults().read_delay_ms).await;
    match result {
        Ok(batch) => json(StatusCode::OK, &batch),
        Err(ReadError::Gone { first, era }) => json(StatusCode::GONE, &GoneBody { first, era }),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn stream_of(path: &str) -> Option<LogStream> {
    let name = path.strip_prefix("/streams/")?;
    LogStream::parse(name.strip_suffix("/records")?)
}
