//! Stand-ins for the platform: its store, instances, clients, and the processes of the nodes.
//!
//! Everything listens on loopback addresses only. The programs under test run as separate processes
//! with the command of the deploy file.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The name of the host that the routes belong to.
pub const HOST: &str = "cairns.example";
/// The API key of the only tenant.
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// The interval of the status reports of an instance, as in the settings of a small deployment.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Writes the record of a case, one line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let started = Instant::now();
        Ok(Self { file, started })
    }

    pub fn elapsed_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {text}");
        println!("{ms:>7} ms  {text}");
    }
}

/// A request or a response: the first line, the headers in lower case, and the whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    fn length(&self) -> usize {
        self.header("content-length")
            .and_then(|length| length.trim().parse().ok())
            .unwrap_or(0)
    }
}

/// Reads the head of a message; returns `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
}

/// Reads the body that a head announces, by length or in chunks.
fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let coding = message.header("transfer-encoding").unwrap_or("");
    if !coding.eq_ignore_ascii_case("chunked") {
        message.body = vec![0; message.length()];
        return reader.read_exact(&mut message.body);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        message.body.extend_from_slice(&chunk[..size]);
    }
}

fn write_response(
    stream: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Vec<Vec<u8>>>,
    newest: BTreeMap<(String, String), (u64, Vec<u8>)>,
}

/// The platform's store: appends, waiting reads and the newest record of each key.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn start(&self, ip: Ipv4Addr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(address)
    }

    /// Publishes a value under a key, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).unwrap()];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.push(topic, vec![record]);
    }

    /// Returns the machine that the newest lease in the store names as its holder.
    pub fn newest_holder(&self) -> Option<String> {
        let state = self.state.lock().unwrap();
        let records = state.topics.get("rates")?.iter().rev();
        let mut texts = records.map(|record| String::from_utf8_lossy(record).replace('\\', ""));
        texts.find_map(|text| {
            let start = text.find("\"holder\":\"")? + 10;
            let end = start + text[start..].find(['.', '"'])?;
            Some(text[start..end].to_owned())
        })
    }

    fn push(&self, topic: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut state = self.state.lock().unwrap();
        let stored = state.topics.entry(topic.to_owned()).or_default();
        let first = stored.len() as u64;
        stored.extend(records.iter().cloned());
        let end = stored.len() as u64;
        if topic.starts_with("keyed.") {
            for (offset, record) in (first..).zip(&records) {
                let length = usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                let value = record[length + 1..].to_vec();
                state
                    .newest
                    .insert((topic.to_owned(), key), (offset, value));
            }
        }
        self.changed.notify_all();
        (first, end)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut reader)? {
            read_body(&mut reader, &mut request)?;
            let target = request.first.split(' ').nth(1).unwrap_or("").to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let value = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map(|pair| pair.1)
            };
            let number = |name: &str| value(name).and_then(|text| text.parse::<u64>().ok());
            let topic = value("topic").unwrap_or("");
            match path {
                "/log-append" => {
                    thread::sleep(Duration::from_millis(4));
                    let (offset, end) = self.push(topic, split_records(&request.body));
                    let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
                    let json = [("Content-Type", "application/json")];
                    write_response(&mut writer, "200 OK", &json, body.as_bytes())?;
                }
                "/log-read" => {
                    let from = number("from").unwrap_or(0);
                    let wait_ms = number("wait-ms").unwrap_or(0).min(30_000);
                    let body = self.read(topic, from, wait_ms);
                    write_response(&mut writer, "200 OK", &[], &body)?;
                }
                "/log-newest" => {
                    let body = self.newest(topic);
                    let json = [("Content-Type", "application/json")];
                    write_response(&mut writer, "200 OK", &json, body.as_bytes())?;
                }
                _ => write_response(&mut writer, "404 Not Found", &[], b"")?,
            }
        }
        Ok(())
    }

    /// Returns the records from an offset, once there are some or the wait is over.
    fn read(&self, topic: &str, from: u64, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let end = state.topics.get(topic).map_or(0, Vec::len) as u64;
            let now = Instant::now();
            if end > from || now >= until {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                let start = usize::try_from(from).unwrap();
                for record in state.topics.get(topic).into_iter().flatten().skip(start) {
                    let length = u32::try_from(record.len()).unwrap();
                    body.extend_from_slice(&length.to_be_bytes());
                    body.extend_from_slice(record);
                }
                return body;
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let state = self.state.lock().unwrap();
        let of_topic = state.newest.iter().filter(|((name, _), _)| name == topic);
        let items: Vec<String> = of_topic
            .map(|((_, key), (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = state.topics.get(topic).map_or(0, Vec::len);
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"has-more\":false,\"end\":{end}}}")
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
        records.push(record.to_vec());
        body = rest;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for position in 0..4 {
            let index = (word >> (18 - 6 * position)) & 63;
            let is_padding = position > group.len();
            text.push(if is_padding {
                '='
            } else {
                ALPHABET[index as usize] as char
            });
        }
    }
    text
}

/// A request that an instance began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub began_at: Instant,
}

/// An instance of a service.
///
/// The path of a request says what its work is: `wN` is N milliseconds of work, and `rN` is a pause
/// of N milliseconds before the instance reads the rest of the request from its connection.
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born_ms: u128,
    sequence: AtomicU64,
    is_down: AtomicBool,
    state: Mutex<Option<&'static str>>,
    runs: Mutex<Vec<Run>>,
    open: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Instance {
    pub fn start(id: &str, service: &str, ip: Ipv4Addr, record: &Record) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let instance = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            born_ms: now.as_millis(),
            sequence: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            state: Mutex::new(Some("ready")),
            runs: Mutex::default(),
            open: Mutex::default(),
            record: record.clone(),
        });
        let accepting = Arc::clone(&instance);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_down.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(open) = stream.try_clone() {
                    accepting.open.lock().unwrap().push(open);
                }
                let serving = Arc::clone(&accepting);
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(instance)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Sends status reports to the node beside the instance until the instance leaves.
    pub fn report_to(self: &Arc<Self>, node: SocketAddr) {
        let instance = Arc::clone(self);
        thread::spawn(move || {
            loop {
                let state = *instance.state.lock().unwrap();
                let Some(state) = state else { return };
                if !instance.is_down.load(Ordering::SeqCst) {
                    let report = instance.next_report(state);
                    instance.send_report(node, &report);
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    /// Returns the next status report of the instance.
    pub fn next_report(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"here\",\"version\":\"v1\",\
             \"max-concurrency\":64,\"state\":\"{state}\",\"warmup-left-ms\":0,\
             \"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.born_ms
        )
    }

    /// Sends a status report and returns whether it was acknowledged.
    pub fn send_report(&self, node: SocketAddr, report: &str) -> bool {
        let head = format!("PUT /instances/{} HTTP/1.1\r\nHost: node\r\n", self.id);
        control_call(node, &head, report.as_bytes()) == Some(200)
    }

    /// Ends the status reports, and tells the node that the instance is gone.
    pub fn send_delete(&self, node: SocketAddr) -> bool {
        *self.state.lock().unwrap() = None;
        let head = format!("DELETE /instances/{} HTTP/1.1\r\nHost: node\r\n", self.id);
        control_call(node, &head, b"") == Some(200)
    }

    /// Makes all later status reports say that the instance is leaving, and sends one.
    pub fn send_draining(&self, node: SocketAddr) -> bool {
        *self.state.lock().unwrap() = Some("draining");
        let report = self.next_report("draining");
        self.send_report(node, &report)
    }

    /// Ends the instance: it closes its connections and accepts no more.
    pub fn end(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    fn serve(self: Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let own = self.id.as_str();
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(4 * 1024, stream);
        while let Some(mut request) = read_head(&mut reader)? {
            let target = request.first.split(' ').nth(1).unwrap_or("").to_owned();
            let id = request.header("request-id").unwrap_or("").to_owned();
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != own) {
                read_body(&mut reader, &mut request)?;
                let headers = [("Instance-Id", own)];
                write_response(&mut writer, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            let began_at = Instant::now();
            let run = Run {
                request: id.clone(),
                began_at,
            };
            self.runs.lock().unwrap().push(run);
            self.record
                .line(&format!("instance {own} runs request {id} {target}"));
            thread::sleep(Duration::from_millis(path_number(&target, 'r')));
            if let Err(error) = read_body(&mut reader, &mut request) {
                self.record.line(&format!(
                    "instance {own}: connection broken while it reads request {id}: {error}"
                ));
                return Err(error);
            }
            thread::sleep(Duration::from_millis(path_number(&target, 'w')));
            let body = format!("{own} ran {id} with {} bytes", request.body.len());
            let headers = [
                ("Request-Id", id.as_str()),
                ("Response-Signature", own),
                ("Keep-Alive", "timeout=10"),
            ];
            write_response(&mut writer, "200 OK", &headers, body.as_bytes())?;
            self.record
                .line(&format!("instance {own} answered request {id}: 200"));
        }
        Ok(())
    }
}

/// Returns the number in the path segment that begins with a letter, or 0.
fn path_number(path: &str, letter: char) -> u64 {
    let segments = path.split('/');
    let mut numbers = segments.filter_map(|segment| segment.strip_prefix(letter)?.parse().ok());
    numbers.next().unwrap_or(0)
}

/// Makes a call to the control address of a node, and returns the status of its answer.
fn control_call(node: SocketAddr, head: &str, body: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1)).ok()?;
    let limit = Some(Duration::from_secs(1));
    stream.set_read_timeout(limit).ok()?;
    let kind = "Content-Type: application/json\r\nConnection: close\r\n";
    let text = format!("{head}{kind}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let answer = read_head(&mut BufReader::new(stream)).ok()??;
    Some(answer.status())
}

/// What a client has got for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer, with its status and whether an instance has signed it.
    Answer(u16, bool),
    /// The connection ended without a complete answer.
    Closed,
    /// No connection was accepted.
    Refused,
    /// There was no answer by the deadline.
    Silent,
}

/// A request of a client, and what came of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub outcome: Outcome,
}

/// Sends one request on a new connection and waits for its answer.
pub fn send(
    node: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
    record: &Record,
) -> Sent {
    record.line(&format!(
        "client sends request {id} {method} {path} to {node}"
    ));
    let sent_at = Instant::now();
    let outcome = exchange(node, method, path, id, deadline_ms, body);
    record.line(&format!("client: request {id} ends with {outcome:?}"));
    Sent {
        id: id.to_owned(),
        sent_at,
        ended_at: Instant::now(),
        outcome,
    }
}

fn exchange(
    node: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Outcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else {
        return Outcome::Refused;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)));
    let length = match body.len() {
        0 if method == "GET" => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\n{length}\r\n"
    );
    let sent = stream.write_all(text.as_bytes());
    if sent.and_then(|()| stream.write_all(body)).is_err() {
        return Outcome::Closed;
    }
    let mut reader = BufReader::new(stream);
    let answer = read_head(&mut reader).and_then(|head| match head {
        Some(mut head) => read_body(&mut reader, &mut head).map(|()| Some(head)),
        None => Ok(None),
    });
    match answer {
        Ok(Some(answer)) => {
            let is_signed = answer.header("response-signature").is_some();
            Outcome::Answer(answer.status(), is_signed)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Outcome::Silent,
        Ok(None) | Err(_) => Outcome::Closed,
    }
}

/// A machine with its instance and the process of its node.
pub struct Machine {
    pub name: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub instance: Arc<Instance>,
    folder: PathBuf,
    settings: PathBuf,
    process: Option<Child>,
    starts: u32,
}

impl Machine {
    pub fn new(
        name: &str,
        ip: Ipv4Addr,
        instance: &Arc<Instance>,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Self> {
        let ports = free_ports(ip, 6)?;
        let at = |index: usize| SocketAddr::from((ip, ports[index]));
        let (low, high) = internal_ports(ip)?;
        let text = format!(
            "{{\"node\":\"{name}\",\"role\":\"node\",\"instance-class\":\"sidecar\",\
             \"serves\":[\"sidecar\"],\"ip\":\"{ip}\",\"zone\":\"here\",\"region\":\"here\",\
             \"zones\":{{\"here\":\"here\"}},\"listen\":{{\"inbound\":\"{}\",\"outbound\":\"{}\",\
             \"ready\":\"{}\",\"control\":\"{}\"}},\"internal-ports\":[{low},{high}],\"seeds\":[],\
             \"bootstrap\":true,\"heartbeat-interval-ms\":1500,\"bounds\":{{\"seed-lag-s\":3,\
             \"reuse-after-s\":2,\"stable-window-ms\":3000,\"ack-ms\":4000,\"catch-up-s\":4,\
             \"drain-ms\":2000,\"grace-s\":6,\"lost-ms\":200,\"config-ms\":2000,\"revert-ms\":250,\
             \"max-skew-ms\":5000,\"fail-closed\":true,\"revoke-ms\":5000,\
             \"retry-budget-ratio\":0.2,\"budget-window-s\":10,\"budget-slack\":49,\
             \"quota-window-s\":5,\"quota-over\":0.1,\"quota-slack\":20,\"recover-s\":15}},\
             \"app-addr\":\"{}\",\"service\":\"{}\",\"platform\":{{\"address\":\"{store}\",\
             \"form\":\"log\",\"writes-per-s\":400,\"reads-per-s\":2000,\"parts\":8,\
             \"append-ms\":4.0,\"part-mb-s\":20.0,\"read-mb-s\":80.0,\"record-bytes\":262144,\
             \"call-bytes\":2097152,\"keep_s\":20,\"part-mb\":200,\"ttl-min-ms\":1000}}}}",
            at(0),
            at(1),
            at(2),
            at(3),
            instance.address,
            instance.service,
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            outbound: at(1),
            ready: at(2),
            control: at(3),
            instance: Arc::clone(instance),
            folder: folder.to_owned(),
            settings,
            process: None,
            starts: 0,
        })
    }

    /// Starts the node with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let mut command = Command::new("target/release/lentilshift");
        command.arg("node").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("LENTILSHIFT_SETTINGS", &self.settings);
        let log = File::create(log)?;
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        self.process = Some(command.spawn()?);
        Ok(())
    }

    /// Changes a field of the settings file that a running node doesn't use.
    pub fn rewrite_settings(&self, seeds: u32) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let start = text.find("\"seeds\":[").unwrap() + 9;
        let end = start + text[start..].find(']').unwrap();
        let text = format!(
            "{}\"127.0.0.1:{}\"{}",
            &text[..start],
            9_000 + seeds,
            &text[end..]
        );
        fs::write(&self.settings, text)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            // Sound: it sends a signal to a process that this program started and hasn't reaped.
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.process.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Kills the process, and starts the node again.
    pub fn restart(&mut self, pause: Duration) -> io::Result<()> {
        self.signal(SIGKILL);
        if let Some(process) = &mut self.process {
            process.wait()?;
        }
        thread::sleep(pause);
        self.start()
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /ready HTTP/1.1\r\nHost: node\r\n";
        control_call(self.ready, head, b"") == Some(200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Returns ports that nothing uses at an address.
fn free_ports(ip: Ipv4Addr, count: usize) -> io::Result<Vec<u16>> {
    let listeners: io::Result<Vec<_>> = (0..count).map(|_| TcpListener::bind((ip, 0))).collect();
    listeners?
        .iter()
        .map(|listener| Ok(listener.local_addr()?.port()))
        .collect()
}

/// Returns a range of ports for the node's own use whose first two ports are free.
fn internal_ports(ip: Ipv4Addr) -> io::Result<(u16, u16)> {
    for low in (7_000..9_000).step_by(16) {
        let is_free = |port: u16| TcpListener::bind((ip, port)).is_ok();
        if is_free(low) && is_free(low + 1) {
            return Ok((low, low + 15));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Returns a loopback address of this case's own.
pub fn address(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    let high = (process >> 8) as u8 | 1;
    Ipv4Addr::new(127, high, process as u8, number + 1)
}

/// A configuration with one tenant and a route for each service.
pub fn config(version: u32, routes: &[(&str, &str, &str)]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.2).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-connections\":550,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    let paths: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(number, (prefix, kind, service))| {
            format!(
                "{{\"name\":\"r-{number}\",\"path-prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
                 \"timeout-ms\":2500,\"target-latency-ms\":1500,\"priority\":1,\
                 \"service\":\"{service}\",\"max-attempts\":2,\"allow-anonymous\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"clubs\",\"api-keys\":[\"{KEY}\"],\
         \"priority\":1,\"rate-per-s\":1000,\"burst\":1000}}],\"virtual-hosts\":[{{\
         \"host\":\"{HOST}\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    )
}

/// A small fleet: the store, and machines with an instance and a node each.
pub struct Fleet {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub record: Record,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a machine for each of the services, and waits until all serve.
    pub fn start(
        services: &[&str],
        routes: &[(&str, &str, &str)],
        record: &Record,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::default();
        let store_address = store.start(address(0))?;
        store.put("keyed.op", "config", config(4, routes).as_bytes());
        let mut fleet = Self {
            store,
            machines: Vec::new(),
            record: record.clone(),
            folder,
        };
        for (number, service) in (1_u8..).zip(services) {
            let ip = address(number);
            let instance = Instance::start(&format!("i-{number}"), service, ip, record)?;
            let name = format!("machine-{number}");
            let mut machine = Machine::new(&name, ip, &instance, store_address, &fleet.folder)?;
            machine.start()?;
            instance.report_to(machine.control);
            fleet.machines.push(machine);
        }
        fleet.wait_until_serving(routes)?;
        Ok(fleet)
    }

    /// Waits until every node answers requests on every route.
    fn wait_until_serving(&self, routes: &[(&str, &str, &str)]) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(40);
        let mut number = 0;
        for machine in &self.machines {
            for (prefix, _, _) in routes {
                loop {
                    number += 1;
                    let id = format!("5e7{number:013x}");
                    let outcome = exchange(
                        machine.outbound,
                        "GET",
                        &format!("{prefix}first"),
                        &id,
                        3_000,
                        b"",
                    );
                    if outcome == Outcome::Answer(200, true) {
                        break;
                    }
                    if Instant::now() > until {
                        return Err(io::Error::other(format!(
                            "no service at {prefix}: {outcome:?}"
                        )));
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            }
            while !machine.is_ready() {
                if Instant::now() > until {
                    return Err(io::Error::other("a node isn't ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        thread::sleep(Duration::from_secs(4));
        self.record
            .line("all nodes serve, and have been in touch for the stable window");
        Ok(())
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(mut self) {
        self.machines.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are kept in {}", self.folder.display());
        }
    }
}
