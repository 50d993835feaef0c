use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;
use cyper_core::HyperStream;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde_json::json;

use crate::LogOutage;
use crate::http_parts::{TextResponse, json, query_number, read_body, text, wait_ms};

/// The interval at which a waiting read checks for records, in milliseconds.
const POLL_INTERVAL_MS: u64 = 5;
/// The maximum wait of a read, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// The size of the length prefix of a record, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;
/// The name prefix of topics whose records have keys.
const KEYED_TOPIC_PREFIX: &str = "keyed.";

/// The header that states the era.
const ERA_HEADER: &str = "store-era";
/// The first era.
const FIRST_ERA: u64 = 1;
/// The topics that only the operator and the instances write to.
const OTHERS_TOPICS: [&str; 2] = ["keyed.op", "keyed.servers"];

/// The injected faults of a [`StoreServer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// The way in which the store is unreachable.
    pub outage: LogOutage,
    /// Whether the connection is closed after a write, without an answer.
    pub loses_answers: bool,
    /// The delay before a request is handled, in milliseconds.
    pub delay_ms: u64,
}

/// A topic name and a key in that topic.
type TopicKey = (String, String);

/// A value of a key.
#[derive(Clone, Debug)]
struct KeyedValue {
    written_at: Instant,
    offset: u64,
    value: Vec<u8>,
}

/// The retained records of one topic.
#[derive(Clone, Debug, Default)]
struct StoredTopic {
    first: u64,
    /// The records and when they were written.
    records: Vec<(Instant, Vec<u8>)>,
}

impl StoredTopic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// An in-memory stand-in for the store of the users' platform.
///
/// It serves appends with or without an expected end offset, reads that wait for records, and the
/// newest record of each key. Records can be removed to simulate retention, and the store can come
/// back from a copy that lacks the last records.
#[derive(Clone, Debug, Default)]
pub struct StoreServer {
    topics: Rc<RefCell<BTreeMap<String, StoredTopic>>>,
    /// The values of each key of a topic, the newest last.
    values: Rc<RefCell<BTreeMap<TopicKey, Vec<KeyedValue>>>>,
    /// The era that answers state, if they do.
    era: Rc<Cell<Option<u64>>>,
    faults: Rc<Cell<StoreFaults>>,
    calls: Rc<Cell<u64>>,
}

impl StoreServer {
    /// Starts the store on this thread's runtime and returns its address.
    ///
    /// # Errors
    ///
    /// Returns the system's error when it can't listen on a port.
    pub async fn start(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = self.clone();
        spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn(server.clone().serve(stream)).detach();
            }
        })
        .detach();
        Ok(address)
    }

    /// Sets the injected faults; the default is none.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.faults.set(faults);
    }

    /// Makes all answers state the era, which is the first one until [`Self::go_back`] is called.
    pub fn state_era(&self) {
        self.era.set(Some(self.era.get().unwrap_or(FIRST_ERA)));
    }

    /// Comes back from a copy of this age, in the next era.
    ///
    /// The records that the system wrote since are gone, and their offsets are given out again. The
    /// newest value of each key that the operator or the instances wrote since is written again.
    pub fn go_back(&self, age: Duration) {
        let copied_at = Instant::now().checked_sub(age);
        let is_lost = |written_at: Instant| copied_at.is_none_or(|time| written_at > time);
        self.era.set(Some(self.era.get().unwrap_or(FIRST_ERA) + 1));
        for topic in self.topics.borrow_mut().values_mut() {
            topic
                .records
                .retain(|(written_at, _)| !is_lost(*written_at));
        }
        let mut written_again = Vec::new();
        for ((topic, key), values) in self.values.borrow_mut().iter_mut() {
            let newest = values.last().cloned();
            values.retain(|value| !is_lost(value.written_at));
            let lost = newest.filter(|value| is_lost(value.written_at));
            if let Some(lost) = lost.filter(|_| OTHERS_TOPICS.contains(&topic.as_str())) {
                written_again.push((topic.clone(), key.clone(), lost.value));
            }
        }
        for (topic, key, value) in written_again {
            self.put(&topic, &key, &value);
        }
    }

    /// Returns the number of requests received so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Writes a value under a key, as an operator does, and returns the offset of the record.
    ///
    /// # Panics
    ///
    /// Panics when the key has more than 255 bytes.
    #[allow(clippy::must_use_candidate, reason = "most tests ignore the offset")]
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let length = u8::try_from(key.len()).expect("the key exceeds 255 bytes");
        let mut record = vec![length];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.push(topic, vec![record])
    }

    /// Removes the records of a topic, except the newest value of each key.
    pub fn remove_records(&self, topic: &str) {
        let mut topics = self.topics.borrow_mut();
        if let Some(stored) = topics.get_mut(topic) {
            stored.first = stored.end();
            stored.records.clear();
        }
    }

    /// Returns the retained records of a topic.
    #[must_use]
    pub fn records(&self, topic: &str) -> Vec<Vec<u8>> {
        let topics = self.topics.borrow();
        topics
            .get(topic)
            .map(|stored| stored.records.iter().map(|(_, record)| record.clone()))
            .map(Iterator::collect)
            .unwrap_or_default()
    }

    fn push(&self, topic: &str, records: Vec<Vec<u8>>) -> u64 {
        let mut topics = self.topics.borrow_mut();
        let stored = topics.entry(topic.to_owned()).or_default();
        let start = stored.end();
        let written_at = Instant::now();
        for (offset, record) in (start..).zip(&records) {
            if let Some((key, value)) = split_keyed(topic, record) {
                let value = KeyedValue {
                    written_at,
                    offset,
                    value: value.to_vec(),
                };
                let topic_key = (topic.to_owned(), key.to_owned());
                let mut values = self.values.borrow_mut();
                values.entry(topic_key).or_default().push(value);
            }
        }
        let records = records.into_iter().map(|record| (written_at, record));
        stored.records.extend(records);
        start
    }

    async fn serve(self, stream: TcpStream) {
        let service = service_fn(|request| self.answer(request));
        let stream = HyperStream::new_plain(stream);
        // Some faults close the connection before an answer, so errors are expected.
        let _ = http1::Builder::new()
            .serve_connection(stream, service)
            .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> io::Result<TextResponse> {
        let mut response = self.answer_call(request).await?;
        if let Some(era) = self.era.get() {
            response.headers_mut().insert(ERA_HEADER, era.into());
        }
        Ok(response)
    }

    async fn answer_call(&self, request: Request<Incoming>) -> io::Result<TextResponse> {
        self.calls.set(self.calls.get() + 1);
        match self.faults.get().outage {
            LogOutage::None => {}
            LogOutage::Refuse => return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "outage")),
            LogOutage::Hang => pending().await,
        }
        wait_ms(self.faults.get().delay_ms).await;
        let query = request.uri().query().unwrap_or_default().to_owned();
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/log-append") => self.append(&query, request).await,
            (&Method::GET, "/log-read") => Ok(self.read(&query).await),
            (&Method::GET, "/log-newest") => Ok(self.newest(&query)),
            _ => Ok(text(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    async fn append(&self, query: &str, request: Request<Incoming>) -> io::Result<TextResponse> {
        let body = read_body(request).await;
        let body = body.ok_or_else(|| io::Error::other("the request body is truncated"))?;
        let Some(records) = split_records(&body) else {
            return Ok(text(
                StatusCode::BAD_REQUEST,
                "the last record is truncated",
            ));
        };
        let topic = query_text(query, "topic").unwrap_or_default();
        let end = self.end(topic);
        if query_number(query, "at").is_some_and(|at| at != end) {
            return Ok(json(
                StatusCode::PRECONDITION_FAILED,
                &json!({ "end": end }),
            ));
        }
        let offset = self.push(topic, records);
        if self.faults.get().loses_answers {
            return Err(io::Error::other("answer dropped by an injected fault"));
        }
        let end = self.end(topic);
        Ok(json(
            StatusCode::OK,
            &json!({ "offset": offset, "end": end }),
        ))
    }

    async fn read(&self, query: &str) -> TextResponse {
        let topic = query_text(query, "topic").unwrap_or_default();
        let from = query_number(query, "from").unwrap_or(0);
        let wait = query_number(query, "wait-ms").unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        let is_beyond_end = || self.era.get().is_some() && from > self.end(topic);
        while self.end(topic) <= from && Instant::now() < until && !is_beyond_end() {
            wait_ms(POLL_INTERVAL_MS).await;
        }
        let topics = self.topics.borrow();
        let stored = topics.get(topic).cloned().unwrap_or_default();
        if from < stored.first || is_beyond_end() {
            let body = json!({ "first": stored.first });
            return json(StatusCode::GONE, &body);
        }
        let mut body = stored.end().to_be_bytes().to_vec();
        body.extend_from_slice(&stored.first.to_be_bytes());
        let start = usize::try_from(from - stored.first).unwrap_or(usize::MAX);
        for (_, record) in stored.records.iter().skip(start) {
            let length = u32::try_from(record.len()).expect("the record length exceeds u32");
            body.extend_from_slice(&length.to_be_bytes());
            body.extend_from_slice(record);
        }
        TextResponse::new(Full::new(Bytes::from(body)))
    }

    fn newest(&self, query: &str) -> TextResponse {
        let topic = query_text(query, "topic").unwrap_or_default();
        let values = self.values.borrow();
        let of_topic = values.iter().filter(|((name, _), _)| name == topic);
        let items = of_topic.filter_map(|((_, key), values)| {
            let newest = values.last()?;
            let value = encode_base64(&newest.value);
            Some(json!({ "key": key, "value": value, "offset": newest.offset }))
        });
        let items: Vec<_> = items.collect();
        let body = json!({ "items": items, "has-more": false, "end": self.end(topic) });
        json(StatusCode::OK, &body)
    }

    fn end(&self, topic: &str) -> u64 {
        self.topics.borrow().get(topic).map_or(0, StoredTopic::end)
    }
}

fn split_keyed<'r>(topic: &str, record: &'r [u8]) -> Option<(&'r str, &'r [u8])> {
    if !topic.starts_with(KEYED_TOPIC_PREFIX) {
        return None;
    }
    let (length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((std::str::from_utf8(key).ok()?, value))
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<LENGTH_PREFIX_BYTES>()?;
        let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
        let (record, rest) = rest.split_at_checked(length)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}

fn query_text<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(pairs.find(|(key, _)| *key == name)?.1)
}

/// Encodes bytes as base64 with padding.
fn encode_base64(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}
