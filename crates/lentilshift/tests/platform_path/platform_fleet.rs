use std::io;
use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::time::sleep;
use http::HeaderMap;
use serde_json::{Value, json};
use standin::{InstanceRun, InstanceServer, StoreServer};

/// The API key of the caller in these tests.
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// The longest wait for a condition of the fleet.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// The interval of an instance's reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest {
    pub host: &'static str,
    pub path: &'static str,
    pub key: Option<&'static str>,
    pub deadline_ms: u64,
}

impl CallerRequest {
    pub const fn new(path: &'static str) -> Self {
        Self {
            host: "cairns.example",
            path,
            key: Some(KEY),
            deadline_ms: 3_000,
        }
    }
}

/// The response to a request.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    headers: HeaderMap,
}

impl CallerResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The ports of every VM, all below the ephemeral ports of the system.
const CALLERS: u16 = 20_001;
const PEERS: u16 = 20_002;
const READY: u16 = 20_003;
const REPORTS: u16 = 20_004;
const INTERNAL: [u16; 2] = [20_010, 20_020];

/// The number of fleets that this test process has started.
static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);

/// Returns a loopback address that is unique to a VM, so that VMs can use the same ports.
fn vm_address(fleet: u8, number: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::from([127, high | 1, low, fleet * 4 + number + 1])
}

/// The platform's store, and instances, each with a node that runs as a process.
pub struct PlatformFleet {
    pub store: StoreServer,
    pub instances: Vec<Rc<InstanceServer>>,
    /// The number of this fleet within the test process.
    number: u8,
    vm_addresses: Vec<IpAddr>,
    nodes: Vec<Child>,
    /// The command of each node.
    commands: Vec<Command>,
    /// The `limits` in the settings of every node.
    limits: Value,
    client: cyper::Client,
}

/// Returns the bytes of a request.
pub fn request_text(method: &str, request: &CallerRequest) -> String {
    format!(
        "{method} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: 9c41d07be2a35f68\r\n\
         Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        request.path, request.host, request.deadline_ms
    )
}

impl Drop for PlatformFleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.kill();
            let _ = node.wait();
        }
    }
}

impl PlatformFleet {
    /// Starts two instances of one service and one of another, and waits until all nodes are ready.
    pub async fn start() -> Self {
        Self::start_on(StoreServer::default(), ["here"; 3]).await
    }

    /// Starts the same fleet with each instance in a zone of its own choice.
    #[allow(dead_code, reason = "not every test file has several zones")]
    pub async fn start_in(zones: [&str; 3]) -> Self {
        Self::start_on(StoreServer::default(), zones).await
    }

    /// Starts the same fleet on a store.
    #[allow(dead_code, reason = "not every test file has a store of its own")]
    pub async fn start_on(store: StoreServer, zones: [&str; 3]) -> Self {
        let instances = ["archive", "archive", "registry"].into_iter().zip(zones);
        Self::start_fleet(store, &instances.collect::<Vec<_>>(), json!({})).await
    }

    /// Starts an instance of each service, with the same limits for every node, and waits until all
    /// nodes are ready.
    #[allow(dead_code, reason = "not every test file limits its nodes")]
    pub async fn start_services(services: &[&str], limits: Value) -> Self {
        let instances = services.iter().map(|service| (*service, "here"));
        let instances: Vec<_> = instances.collect();
        Self::start_fleet(StoreServer::default(), &instances, limits).await
    }

    /// Starts an instance of each service in its zone.
    async fn start_fleet(store: StoreServer, instances: &[(&str, &str)], limits: Value) -> Self {
        let address = store.start().await.unwrap();
        let mut fleet = Self {
            store,
            instances: Vec::new(),
            number: FLEET_COUNT.fetch_add(1, Ordering::Relaxed),
            vm_addresses: Vec::new(),
            nodes: Vec::new(),
            commands: Vec::new(),
            limits,
            client: cyper::Client::new().unwrap(),
        };
        fleet.publish(4, KEY, "/records/");
        for (service, zone) in instances {
            fleet.add(service, zone, address).await;
        }
        fleet.wait_until_ready().await;
        fleet
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Publishes a configuration with one key and one route for it, as operators do.
    pub fn publish(&self, version: u64, key: &str, path: &str) {
        self.publish_rate(version, key, path, 5_000);
    }

    /// Does the same with a rate per second, which is also the burst.
    pub fn publish_rate(&self, version: u64, key: &str, path: &str, rate: u32) {
        let services = json!([{"name": "archive"}, {"name": "registry"}]);
        self.publish_services(version, (key, path, "archive"), rate, &services);
    }

    /// Publishes a configuration that sends the requests that may not be repeated to a service.
    pub fn publish_moved(&self, version: u64, service: &str) {
        let services = json!([{"name": "archive"}, {"name": "registry"}]);
        self.publish_services(version, (KEY, "/records/", service), 5_000, &services);
    }

    /// Publishes a configuration by which cold instances bear 16 requests per second.
    #[allow(dead_code, reason = "not every test file has cold instances")]
    pub fn publish_with_warm_up(&self, version: u64) {
        let service = |name: &str| {
            json!({"name": name, "health-path": "/healthz", "warmup-s": 3.0,
                   "warmup-per-s": 16.0})
        };
        let services = json!([service("archive"), service("registry")]);
        self.publish_services(version, (KEY, "/records/", "archive"), 5_000, &services);
    }

    /// Publishes a configuration with a key, a route for it, the service that gets the requests that
    /// may not be repeated, and the rate of the key's team.
    fn publish_services(
        &self,
        version: u64,
        (key, path, slow_service): (&str, &str, &str),
        rate: u32,
        services: &serde_json::Value,
    ) {
        let route = |name: &str, path: &str, is_open: bool| {
            json!({"name": name, "path-prefix": path, "kind": "safe", "timeout-ms": 900,
                   "target-latency-ms": 200, "priority": 1, "service": "archive",
                   "max-attempts": 2, "allow-anonymous": is_open})
        };
        let slow = json!({"name": "r-slow", "path-prefix": "/slow/", "kind": "unsafe",
                          "timeout-ms": 6_000, "target-latency-ms": 500, "priority": 1,
                          "service": slow_service, "max-attempts": 2, "allow-anonymous": true});
        let upload = json!({"name": "r-upload", "path-prefix": "/uploads/", "kind": "upload",
                            "timeout-ms": 6_000, "target-latency-ms": 500, "priority": 1,
                            "service": "archive", "max-attempts": 1, "allow-anonymous": true});
        let body = json!({
            "version": format!("{version:08x}"),
            "services": services,
            "tenants": [{"name": "clubs", "api-keys": [key], "rate-per-s": rate, "burst": rate}],
            "virtual-hosts": [{"host": "cairns.example",
                "paths": [route("r-keyed", path, false), route("r-open", "/open/", true), slow, upload]}],
        });
        self.store
            .put("keyed.op", "config", body.to_string().as_bytes());
    }

    /// Returns the address to which the instance of a VM reports.
    pub fn report_address(&self, node: usize) -> SocketAddr {
        SocketAddr::new(self.vm_addresses[node], REPORTS)
    }

    /// Returns the requests that the instances have run.
    pub fn runs(&self) -> Vec<InstanceRun> {
        self.instances
            .iter()
            .flat_map(|instance| instance.runs())
            .collect()
    }

    /// Signals a node to stop.
    pub fn terminate(&self, node: usize) {
        self.signal(node, "-TERM");
    }

    /// Sends a signal, such as `-STOP`, to a node.
    pub fn signal(&self, node: usize, signal: &str) {
        let id = self.nodes[node].id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.expect("the signal is sent").success());
    }

    /// Sends a signal to a node twice, the second time after a pause.
    pub fn signal_twice(&self, node: usize, signal: &str, pause: Duration) {
        let id = self.nodes[node].id().to_string();
        let send = || Command::new("kill").args([signal, &id]).spawn();
        let first = send().expect("the signal is sent");
        std::thread::sleep(pause);
        let second = send().expect("the signal is sent");
        for mut sender in [first, second] {
            assert!(sender.wait().expect("the signal is sent").success());
        }
    }

    /// Returns whether a node handles the signals to read its settings again and to stop.
    pub fn handles_signals(&self, node: usize) -> bool {
        const HANGUP_AND_TERM: u64 = 1 << 0 | 1 << 14;
        let path = format!("/proc/{}/status", self.nodes[node].id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let caught = text.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let caught = caught.and_then(|caught| u64::from_str_radix(caught.trim(), 16).ok());
        caught.is_some_and(|caught| caught & HANGUP_AND_TERM == HANGUP_AND_TERM)
    }

    /// Returns the exit status of a node if it has ended.
    pub fn ended(&mut self, node: usize) -> Option<ExitStatus> {
        self.nodes[node].try_wait().expect("the node is a child")
    }

    /// Waits until a node has ended by itself, and returns its exit status.
    pub async fn end_of(&mut self, node: usize, limit: Duration) -> ExitStatus {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.ended(node) {
                return status;
            }
            assert!(Instant::now() < until, "the node hasn't ended");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills a node and starts it again, and waits until all nodes know that it is ready.
    #[allow(dead_code, reason = "not every test file restarts nodes")]
    pub async fn restart(&mut self, node: usize) {
        self.kill(node);
        self.spawn(node);
        self.wait_until_ready().await;
    }

    /// Kills a node.
    #[allow(dead_code, reason = "not every test file restarts nodes")]
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].kill().expect("the node runs");
        self.nodes[node].wait().expect("the node has ended");
    }

    /// Starts a node that has ended.
    #[allow(dead_code, reason = "not every test file restarts nodes")]
    pub fn spawn(&mut self, node: usize) {
        self.nodes[node] = self.commands[node].spawn().expect("the node starts");
    }

    /// Returns the address of a node for callers.
    pub fn caller_address(&self, node: usize) -> SocketAddr {
        SocketAddr::new(self.vm_addresses[node], CALLERS)
    }

    /// Returns the address of a node for readiness checks.
    #[allow(dead_code, reason = "not every test file connects to it")]
    pub fn ready_address(&self, node: usize) -> SocketAddr {
        SocketAddr::new(self.vm_addresses[node], READY)
    }

    /// Returns the address of a node for other nodes.
    #[allow(dead_code, reason = "not every test file connects to it")]
    pub fn peer_address(&self, node: usize) -> SocketAddr {
        SocketAddr::new(self.vm_addresses[node], PEERS)
    }

    /// Opens a connection to a node.
    pub async fn connect(&self, node: usize) -> io::Result<TcpStream> {
        TcpStream::connect(self.caller_address(node)).await
    }

    /// Opens a connection to a node, sends a request and returns the connection.
    pub async fn open(&self, node: usize, method: &str, request: &CallerRequest) -> TcpStream {
        let mut stream = self.connect(node).await.expect("the node listens");
        let sent = stream.write_all(request_text(method, request)).await.0;
        sent.expect("the request is sent");
        stream
    }

    /// Returns the memory that a node has resident, in bytes, or `None` if it has ended.
    pub fn memory_bytes(&self, node: usize) -> Option<u64> {
        self.status_bytes(node, "VmRSS:")
    }

    /// Returns the most memory that a node has had resident, in bytes, or `None` if it has ended.
    #[allow(dead_code, reason = "not every test file reads it")]
    pub fn peak_memory_bytes(&self, node: usize) -> Option<u64> {
        self.status_bytes(node, "VmHWM:")
    }

    fn status_bytes(&self, node: usize, field: &str) -> Option<u64> {
        let path = format!("/proc/{}/status", self.nodes[node].id());
        let text = std::fs::read_to_string(path).ok()?;
        let value = text.lines().find_map(|line| line.strip_prefix(field))?;
        let kilobytes: u64 = value.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes * 1_024)
    }

    /// Returns the number of descriptors that a node has open, or `None` if it has ended.
    #[allow(dead_code, reason = "not every test file reads it")]
    pub fn descriptor_count(&self, node: usize) -> Option<usize> {
        let path = format!("/proc/{}/fd", self.nodes[node].id());
        Some(std::fs::read_dir(path).ok()?.count())
    }

    /// Waits until a node is ready for callers.
    pub async fn wait_until_serving(&self, node: usize, limit: Duration) {
        let until = Instant::now() + limit;
        let url = format!("http://{}:{READY}/ready", self.vm_addresses[node]);
        loop {
            let answer = self.client.get(&url).unwrap().send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            assert!(Instant::now() < until, "the node isn't ready in time");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request once; returns `None` when the node refuses the connection or doesn't answer.
    pub async fn try_send(&self, node: usize, request: &CallerRequest) -> Option<CallerResponse> {
        self.request(node, request).await.ok()
    }

    /// Sends a request, and retries it while it is refused for lack of tokens.
    pub async fn send(&self, node: usize, request: &CallerRequest) -> CallerResponse {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let response = self.send_once(node, request).await;
            if response.status != 429 || Instant::now() > until {
                return response;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn send_once(&self, node: usize, request: &CallerRequest) -> CallerResponse {
        self.request(node, request).await.expect("the node answers")
    }

    async fn request(
        &self,
        node: usize,
        request: &CallerRequest,
    ) -> Result<CallerResponse, cyper::Error> {
        let url = format!(
            "http://{}:{CALLERS}{}",
            self.vm_addresses[node], request.path
        );
        let deadline_ms = request.deadline_ms.to_string();
        let mut headers = vec![
            ("host", request.host),
            ("request-id", "9c41d07be2a35f68"),
            ("deadline-ms", &deadline_ms),
        ];
        headers.extend(request.key.map(|key| ("api-key", key)));
        let request = self.client.get(url).unwrap();
        let request = headers.into_iter().fold(request, |request, (name, value)| {
            request.header(name, value).unwrap()
        });
        let answer = request.send().await?;
        Ok(CallerResponse {
            status: answer.status().as_u16(),
            headers: answer.headers().clone(),
        })
    }

    async fn add(&mut self, service: &str, zone: &str, store: SocketAddr) {
        let number = u8::try_from(self.vm_addresses.len()).expect("a fleet is small");
        let vm = vm_address(self.number, number);
        let instance = InstanceServer::start(service, &format!("i-{number}")).await;
        let instance = instance.unwrap();
        let listen = |port: u16| format!("{vm}:{port}");
        let settings = json!({
            "node": format!("machine-{number}"),
            "zone": zone,
            "service": service,
            "listen": {"outbound": listen(CALLERS), "inbound": listen(PEERS),
                       "ready": listen(READY), "control": listen(REPORTS)},
            "internal-ports": INTERNAL,
            "limits": self.limits,
            "app-addr": instance.address().to_string(),
            "platform": {"address": store.to_string(), "keep_s": 20},
            "bounds": {"revoke-ms": 4000, "fail-closed": true, "cold-over": 1.5,
                       "cold-slack": 8},
        });
        let path = std::env::temp_dir().join(format!("lentilshift-{vm}.json"));
        std::fs::write(&path, settings.to_string()).expect("the file can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilshift"));
        command.arg("node").env_clear().stdout(Stdio::null());
        command.env("LENTILSHIFT_SETTINGS", &path);
        self.nodes.push(command.spawn().expect("the node starts"));
        self.commands.push(command);
        let node = SocketAddr::new(vm, REPORTS);
        let reporting = Rc::clone(&instance);
        compio::runtime::spawn(async move {
            loop {
                reporting.report(node, "ready").await;
                sleep(REPORT_INTERVAL).await;
            }
        })
        .detach();
        self.vm_addresses.push(vm);
        self.instances.push(instance);
    }

    /// Waits until every node is ready and knows all members of the fleet.
    async fn wait_until_ready(&self) {
        let until = Instant::now() + WAIT_TIMEOUT;
        for vm in &self.vm_addresses {
            while !self.is_ready(*vm).await {
                assert!(Instant::now() < until, "a node isn't ready in time");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    async fn is_ready(&self, vm: IpAddr) -> bool {
        let get = |path: &str| self.client.get(format!("http://{vm}:{READY}{path}"));
        let Ok(answer) = get("/ready").unwrap().send().await else {
            return false;
        };
        let is_ready = answer.status().is_success();
        let Ok(dump) = get("/dump").unwrap().send().await else {
            return false;
        };
        let dump: serde_json::Value = serde_json::from_str(&dump.text().await.unwrap()).unwrap();
        is_ready && dump["ready_members"].as_u64() >= Some(self.vm_addresses.len() as u64)
    }
}
