//! Stand-ins of the platform's store, of instances and of clients, and the start of nodes.
//!
//! Each case includes this file. The nodes are the project's own program, started with the command
//! of the deploy file and a settings file like that of a small deployment.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A head of an HTTP/1.1 message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
    pub fn length(&self) -> Option<usize> {
        self.get("content-length")
            .and_then(|value| value.trim().parse().ok())
    }
}

/// Reads a head; `None` at a clean end.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        let count = reader.read_until(b'\n', &mut line)?;
        if count == 0 {
            if head.first.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.last() != Some(&b'\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if head.first.is_empty() {
            if line.is_empty() {
                continue;
            }
            head.first = line;
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request: with a length, in chunks, or none.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.is_chunked() {
        return read_chunks(reader);
    }
    let mut body = vec![0; head.length().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

pub fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let digits = line.trim_end().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk);
        let mut end = String::new();
        if reader.read_line(&mut end)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if size == 0 {
            return Ok(body);
        }
    }
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer is complete by its own framing.
    pub is_complete: bool,
}

/// Reads an answer to a request that isn't HEAD.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let head = loop {
        let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if head.status() >= 200 {
            break head;
        }
    };
    let mut answer = Answer {
        head,
        ..Answer::default()
    };
    if matches!(answer.head.status(), 204 | 304) {
        answer.is_complete = true;
        return Ok(answer);
    }
    if answer.head.is_chunked() {
        if let Ok(body) = read_chunks(reader) {
            answer.body = body;
            answer.is_complete = true;
        }
    } else if let Some(length) = answer.head.length() {
        let mut body = Vec::new();
        let read = reader.take(length as u64).read_to_end(&mut body);
        answer.is_complete = read.is_ok() && body.len() == length;
        answer.body = body;
    } else {
        answer.is_complete = reader.read_to_end(&mut answer.body).is_ok();
    }
    Ok(answer)
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    stream.set_write_timeout(Some(Duration::from_secs(12)))?;
    Ok(stream)
}

/// Sends one request on a new connection and reads its answer.
pub fn ask(address: SocketAddr, request: &[u8]) -> io::Result<Answer> {
    let mut stream = connect(address)?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream))
}

// ---- the store ----

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Vec<Vec<u8>>>,
}

/// How the store treats the calls of one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Good,
    Busy,
    Silent,
    Reset,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    pub modes: Mutex<BTreeMap<IpAddr, StoreMode>>,
    pub calls: AtomicU64,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("bind the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            state: Mutex::default(),
            changed: Condvar::new(),
            modes: Mutex::default(),
            calls: AtomicU64::new(0),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        store
    }

    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.state.lock().unwrap();
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        self.changed.notify_all();
    }

    fn mode_of(&self, ip: IpAddr) -> StoreMode {
        let modes = self.modes.lock().unwrap();
        modes.get(&ip).copied().unwrap_or(StoreMode::Good)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let ip = stream.peer_addr()?.ip();
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            self.calls.fetch_add(1, Ordering::Relaxed);
            match self.mode_of(ip) {
                StoreMode::Good => {}
                StoreMode::Busy => {
                    send(&mut writer, "503 Service Unavailable", &[], b"{}")?;
                    continue;
                }
                StoreMode::Silent => {
                    thread::sleep(Duration::from_secs(60));
                    return Ok(());
                }
                StoreMode::Reset => return Ok(()),
            }
            let target = head.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let value = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .find(|(key, _)| *key == name)
                    .map(|(_, value)| value.to_owned())
            };
            let topic = value("topic").unwrap_or_default();
            let number = |name: &str| value(name).and_then(|value| value.parse::<u64>().ok());
            match path {
                "/log-append" => {
                    let mut state = self.state.lock().unwrap();
                    let stored = state.topics.entry(topic).or_default();
                    let offset = stored.len();
                    let mut rest = &body[..];
                    while rest.len() >= 4 {
                        let size = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                        stored.push(rest[4..4 + size].to_vec());
                        rest = &rest[4 + size..];
                    }
                    let end = stored.len();
                    drop(state);
                    self.changed.notify_all();
                    let text = format!("{{\"offset\":{offset},\"end\":{end}}}");
                    send(&mut writer, "200 OK", &[], text.as_bytes())?;
                }
                "/log-read" => {
                    let from = number("from").unwrap_or(0) as usize;
                    let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                    let until = Instant::now() + wait;
                    let mut state = self.state.lock().unwrap();
                    loop {
                        let end = state.topics.get(&topic).map_or(0, Vec::len);
                        let left = until.saturating_duration_since(Instant::now());
                        if end > from || left.is_zero() {
                            break;
                        }
                        state = self.changed.wait_timeout(state, left).unwrap().0;
                    }
                    let empty = Vec::new();
                    let stored = state.topics.get(&topic).unwrap_or(&empty);
                    let mut out = (stored.len() as u64).to_be_bytes().to_vec();
                    out.extend_from_slice(&0_u64.to_be_bytes());
                    for record in stored.iter().skip(from) {
                        out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        out.extend_from_slice(record);
                    }
                    drop(state);
                    send(&mut writer, "200 OK", &[], &out)?;
                }
                "/log-newest" => {
                    send(
                        &mut writer,
                        "200 OK",
                        &[],
                        b"{\"items\":[],\"has-more\":false,\"end\":0}",
                    )?;
                }
                _ => send(&mut writer, "404 Not Found", &[], b"{}")?,
            }
        }
        Ok(())
    }
}

pub fn send(
    writer: &mut impl Write,
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
    writer.write_all(&bytes)
}

// ---- instances ----

/// A request that an instance has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub instance: String,
    pub at: Instant,
    pub head: Head,
    pub body: Vec<u8>,
}

/// Answers a request whose head was read. Returns whether the connection is kept.
pub type Handler = dyn Fn(&Instance, &Head, &mut BufReader<TcpStream>, &mut TcpStream) -> io::Result<bool>
    + Send
    + Sync;

pub struct Instance {
    pub id: String,
    pub service: String,
    /// The address that it reports, which is that of the proxy before it if there is one.
    pub address: SocketAddr,
    pub slots: u32,
    pub born_ms: u64,
    sequence: AtomicU64,
    pub is_reporting: AtomicBool,
    pub is_draining: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    pub connections: AtomicU64,
}

impl Instance {
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        proxy: Option<&Arc<Proxy>>,
        slots: u32,
        handler: Arc<Handler>,
    ) -> Arc<Self> {
        let own = if proxy.is_some() {
            SocketAddr::from((address.ip(), BEHIND_PROXY))
        } else {
            address
        };
        let listener = TcpListener::bind(own).expect("bind an instance");
        if let Some(proxy) = proxy {
            proxy.serve(address, own);
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let instance = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            slots,
            born_ms: now.as_millis() as u64,
            sequence: AtomicU64::new(0),
            is_reporting: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            runs: Mutex::default(),
            connections: AtomicU64::new(0),
        });
        let server = Arc::clone(&instance);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                let handler = Arc::clone(&handler);
                server.connections.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    let _ = server.serve(stream, &*handler);
                });
            }
        });
        instance
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            if head.word(1) == "/healthz" {
                send(&mut writer, "200 OK", &[("Instance-Id", &self.id)], b"")?;
                continue;
            }
            let expected = head.get("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                read_body(&mut reader, &head)?;
                send(
                    &mut writer,
                    "421 Misdirected Request",
                    &[("Instance-Id", &self.id)],
                    b"",
                )?;
                continue;
            }
            if !handler(self, &head, &mut reader, &mut writer)? {
                return Ok(());
            }
        }
        Ok(())
    }

    pub fn note_run(&self, head: &Head, body: Vec<u8>) {
        self.runs.lock().unwrap().push(Run {
            instance: self.id.clone(),
            at: Instant::now(),
            head: head.clone(),
            body,
        });
    }

    /// Reports to its node; returns whether that was acknowledged.
    pub fn report(&self, control: SocketAddr) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.is_draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"max-concurrency\":{},\"state\":\"{state}\",\"warmup-left-ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.slots, self.born_ms
        );
        let request = format!(
            "PUT /instances/{} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        ask(control, request.as_bytes()).is_ok_and(|answer| answer.head.status() == 200)
    }
}

/// Runs a request whole and answers with its id as the body.
pub fn plain(
    instance: &Instance,
    head: &Head,
    reader: &mut BufReader<TcpStream>,
    writer: &mut TcpStream,
) -> io::Result<bool> {
    let body = read_body(reader, head)?;
    instance.note_run(head, body);
    answer_ok(head, writer, &instance.id.clone().into_bytes())?;
    Ok(true)
}

pub fn answer_ok(head: &Head, writer: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let id = head.get("request-id").unwrap_or("").to_owned();
    send(
        writer,
        "200 OK",
        &[
            ("Request-Id", &id),
            ("Response-Signature", &format!("sig-{id}")),
        ],
        body,
    )
}

// ---- a proxy ----

/// Forwards connections; those that are open at some moment can go silent for good, without a
/// reset, while new ones work.
#[derive(Default)]
pub struct Proxy {
    silent_before: AtomicU64,
    opened: AtomicU64,
    pub silenced: AtomicU64,
}

impl Proxy {
    pub fn silence(&self) {
        self.silent_before
            .store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_before.load(Ordering::SeqCst)
    }

    fn serve(self: &Arc<Self>, from: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(from).expect("bind a proxy");
        let proxy = Arc::clone(self);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let number = proxy.opened.fetch_add(1, Ordering::SeqCst);
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let pairs = [(near.try_clone(), far.try_clone()), (Ok(far), Ok(near))];
                for (source, target) in pairs {
                    let (Ok(source), Ok(target)) = (source, target) else {
                        continue;
                    };
                    let proxy = Arc::clone(&proxy);
                    thread::spawn(move || proxy.forward(number, source, target));
                }
            }
        });
    }

    fn forward(&self, number: u64, mut source: TcpStream, mut target: TcpStream) {
        let mut bytes = vec![0; 64 * 1024];
        while let Ok(count) = source.read(&mut bytes) {
            if self.is_silent(number) {
                // Both sockets stay open, and nothing passes any more.
                self.silenced.fetch_add(1, Ordering::SeqCst);
                thread::sleep(Duration::from_secs(100));
                return;
            }
            if count == 0 || target.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = target.shutdown(std::net::Shutdown::Write);
    }
}

// ---- machines ----

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub service: String,
    pub zone: String,
    pub instance: Option<Arc<Instance>>,
    pub node: Mutex<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
}

/// The longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);
/// Where an instance listens that is reached through a proxy.
const BEHIND_PROXY: u16 = 18557;
pub const CONTROL: u16 = 18540;
pub const INBOUND: u16 = 18543;
pub const READY: u16 = 18546;
pub const APP: u16 = 18547;
pub const OUTBOUND: u16 = 18548;

impl Machine {
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }
    pub fn start_node(&self, log_level: &str) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log file");
        let mut command = Command::new("target/release/lentilshift");
        command.arg("node").env_clear();
        for name in ["PATH", "HOME"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("LENTILSHIFT_SETTINGS", &self.settings);
        command.env("LENTILSHIFT_LOG_LEVEL", log_level);
        command
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log);
        *self.node.lock().unwrap() = Some(command.spawn().expect("start a node"));
    }
    pub fn pid(&self) -> u32 {
        self.node.lock().unwrap().as_ref().map_or(0, Child::id)
    }
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill")
            .arg(signal)
            .arg(self.pid().to_string())
            .status();
    }
    /// Returns the exit status if the node has ended.
    pub fn ended(&self) -> Option<String> {
        let mut node = self.node.lock().unwrap();
        node.as_mut()?
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }
    /// Returns the memory of the node, in MB.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or("");
        let kb = line
            .split_whitespace()
            .nth(1)
            .and_then(|text| text.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }
    pub fn kill(&self) {
        if let Some(node) = self.node.lock().unwrap().as_mut() {
            let _ = node.kill();
            let _ = node.wait();
        }
    }
    pub fn is_ready(&self) -> bool {
        ask(self.at(READY), b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .is_ok_and(|answer| answer.head.status() == 200)
    }
}

pub struct Fleet {
    pub store: Arc<Store>,
    pub machines: Vec<Arc<Machine>>,
    pub folder: PathBuf,
    pub record: Mutex<File>,
    pub started: Instant,
    is_over: Arc<AtomicBool>,
}

/// Returns the middle bytes of loopback addresses on which all ports of the machines are free.
fn pick_network(machines: u8) -> (u8, u8) {
    let pid = std::process::id();
    let ports = [
        CONTROL,
        INBOUND,
        READY,
        APP,
        OUTBOUND,
        BEHIND_PROXY,
        18700,
        18701,
    ];
    let candidates = (0..200).map(|attempt| {
        let number = pid.wrapping_mul(7).wrapping_add(attempt);
        (64 + ((number >> 8) & 63) as u8, (number & 255) as u8)
    });
    let is_free = |network: &(u8, u8)| {
        let ips = (1..=machines).map(|last| Ipv4Addr::new(127, network.0, network.1, last));
        let mut addresses = ips.flat_map(|ip| ports.map(|port| (ip, port)));
        addresses.all(|address| TcpListener::bind(address).is_ok())
    };
    let mut candidates = candidates.filter(is_free);
    candidates.next().unwrap_or_else(|| {
        println!("can't run: no loopback addresses with free ports");
        std::process::exit(2);
    })
}

/// The machines to start: name, zone, service.
pub struct Spec<'s> {
    /// What stands between the nodes and their instances.
    pub proxy: Option<Arc<Proxy>>,
    pub machines: &'s [(&'s str, &'s str, &'s str)],
    pub memory_mb: u32,
    pub slots: u32,
    pub log_level: &'s str,
}

impl Fleet {
    /// Starts a store, the instances and the nodes. `config` makes the configuration.
    pub fn start(
        spec: &Spec<'_>,
        record: &str,
        config: &str,
        handler: impl Fn(&str) -> Arc<Handler>,
    ) -> Self {
        let pid = std::process::id();
        let network = pick_network(spec.machines.len() as u8);
        let base = |index: u32| Ipv4Addr::new(127, network.0, network.1, (index + 1) as u8);
        let folder = std::env::temp_dir().join(format!("fleet-{pid}"));
        fs::create_dir_all(&folder).expect("temporary folder");
        let store = Store::start(base(200));
        store.put("keyed.op", "config", config.as_bytes());
        let is_over = Arc::new(AtomicBool::new(false));
        let zones: Vec<String> = ["zone-a", "zone-b", "zone-c"]
            .iter()
            .map(|zone| format!("\"{zone}\":\"region\""))
            .collect();
        let mut machines = Vec::new();
        for (index, (name, zone, service)) in spec.machines.iter().enumerate() {
            let ip = base(index as u32);
            let at = |port: u16| format!("{ip}:{port}");
            let settings = format!(
                "{{\"node\":\"{name}\",\"role\":\"node\",\"instance-class\":\"sidecar\",\"serves\":[\"sidecar\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"region\",\"zones\":{{{}}},\"listen\":{{\"inbound\":\"{}\",\"outbound\":\"{}\",\"ready\":\"{}\",\"control\":\"{}\"}},\"internal-ports\":[18700,18715],\"seeds\":[],\"bootstrap\":true,\"loss-counts\":false,\"limits\":{{\"cpu-share\":0.4,\"cores\":1,\"memory-mb\":{},\"max-fds\":4100,\"link-mbps\":1000.0,\"disk-mb\":0}},\"data-dir\":null,\"discovery\":\"static\",\"entry\":\"static\",\"heartbeat-interval-ms\":1500,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"pressure\",\"tenants\",\"quota\",\"platform\"],\"fault-tolerance\":{{\"machines\":2,\"zones\":0,\"regions\":0}},\"bounds\":{{\"seed-lag-s\":3,\"reuse-after-s\":2,\"stable-window-ms\":3000,\"ack-ms\":4000,\"catch-up-s\":4,\"drain-ms\":2000,\"grace-s\":6,\"lost-ms\":200,\"config-ms\":2000,\"revert-ms\":250,\"max-skew-ms\":5000,\"fail-closed\":true,\"revoke-ms\":5000,\"retry-budget-ratio\":0.2,\"budget-window-s\":10,\"budget-slack\":49,\"quota-window-s\":5,\"quota-over\":0.1,\"quota-slack\":20,\"recover-s\":15}},\"app-addr\":\"{}\",\"service\":\"{service}\",\"platform\":{{\"address\":\"{}\",\"form\":\"log\",\"writes-per-s\":400,\"reads-per-s\":2000,\"parts\":8,\"append-ms\":4.0,\"part-mb-s\":20.0,\"read-mb-s\":80.0,\"record-bytes\":262144,\"call-bytes\":2097152,\"keep_s\":300,\"part-mb\":200,\"ttl-min-ms\":1000}}}}",
                zones.join(","),
                at(INBOUND),
                at(OUTBOUND),
                at(READY),
                at(CONTROL),
                spec.memory_mb,
                at(APP),
                store.address
            );
            let path = folder.join(format!("{name}.json"));
            fs::write(&path, settings).expect("settings file");
            let address = SocketAddr::from((ip, APP));
            let proxy = spec.proxy.as_ref();
            let instance = Instance::start(
                &format!("i-{name}"),
                service,
                address,
                proxy,
                spec.slots,
                handler(name),
            );
            let machine = Arc::new(Machine {
                name: (*name).to_owned(),
                ip,
                service: (*service).to_owned(),
                zone: (*zone).to_owned(),
                instance: Some(instance),
                node: Mutex::new(None),
                settings: path,
                log: folder.join(format!("{name}.log")),
            });
            machine.start_node(spec.log_level);
            let reporter = Arc::clone(&machine);
            let over = Arc::clone(&is_over);
            thread::spawn(move || {
                let instance = reporter.instance.as_ref().unwrap();
                while !over.load(Ordering::Relaxed) {
                    let mut is_acked = false;
                    if instance.is_reporting.load(Ordering::Relaxed) {
                        is_acked = instance.report(reporter.at(CONTROL));
                    }
                    thread::sleep(Duration::from_millis(if is_acked { 1500 } else { 300 }));
                }
            });
            machines.push(machine);
        }
        let record = File::create(record).expect("record file");
        let watched = machines.clone();
        thread::spawn(move || {
            thread::sleep(LIMIT);
            for machine in &watched {
                machine.kill();
            }
            println!("can't run: the case didn't end in time");
            std::process::exit(2);
        });
        Self {
            store,
            machines,
            folder,
            record: Mutex::new(record),
            started: Instant::now(),
            is_over,
        }
    }

    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{at:>6} ms  {text}");
    }

    /// Waits until all nodes are ready; returns whether they are.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.machines.iter().all(|machine| machine.is_ready()) {
                // The members are known everywhere a little later.
                thread::sleep(Duration::from_millis(2500));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn log_of(&self, machine: &Machine) -> String {
        fs::read_to_string(&machine.log).unwrap_or_default()
    }

    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        for machine in &self.machines {
            machine.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

/// A configuration with these routes: (name, prefix, kind, timeout-ms, service).
pub fn config(
    version: u32,
    services: &[&str],
    routes: &[(&str, &str, &str, u32, &str)],
    tenants: &str,
) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-connections\":784,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, timeout, service)| {
            format!("{{\"name\":\"{name}\",\"path-prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout-ms\":{timeout},\"target-latency-ms\":1500,\"priority\":1,\"service\":\"{service}\",\"max-attempts\":2,\"allow-anonymous\":{}}}", tenants.is_empty())
        })
        .collect();
    let tenants = if tenants.is_empty() {
        String::new()
    } else {
        format!("\"tenants\":{tenants},")
    };
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},{tenants}\"virtual-hosts\":[{{\"host\":\"site.example\",\"paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    )
}

/// Returns whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Notes the result and ends the process with its exit code.
pub fn finish(fleet: Fleet, is_broken: bool, text: &str) -> ! {
    let result = if is_broken { "broken" } else { "held" };
    fleet.note(&format!("the rule was {result}: {text}"));
    println!("{result}: {text}");
    fleet.end();
    std::process::exit(i32::from(is_broken));
}

/// Ends the process because the case can't run.
pub fn give_up(fleet: Fleet, text: &str) -> ! {
    fleet.note(&format!("the case can't run: {text}"));
    println!("can't run: {text}");
    fleet.end();
    std::process::exit(2);
}
