use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use compio::time::sleep;
use http::HeaderMap;
use serde_json::json;
use standin::{InstanceRun, InstanceServer, StoreServer};

/// The key of the tests' caller.
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// The longest that a fleet is waited for.
const PATIENCE: Duration = Duration::from_mins(1);
/// The time between two reports of an instance.
const REPORT_EVERY: Duration = Duration::from_millis(300);

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    pub host: &'static str,
    pub path: &'static str,
    pub key: Option<&'static str>,
}

impl Ask {
    pub const fn new(path: &'static str) -> Self {
        Self {
            host: "cairns.example",
            path,
            key: Some(KEY),
        }
    }
}

/// What a caller was told.
#[derive(Debug)]
pub struct Told {
    pub status: u16,
    headers: HeaderMap,
}

impl Told {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The ports of every machine, all below those that the system hands out.
const CALLERS: u16 = 20_001;
const PEERS: u16 = 20_002;
const READY: u16 = 20_003;
const REPORTS: u16 = 20_004;
const INTERNAL: [u16; 2] = [20_010, 20_020];

/// The fleets of this test process.
static FLEETS: AtomicU8 = AtomicU8::new(0);

/// Returns a loopback address of its own for each machine, so that no ports are shared.
fn machine_address(fleet: u8, number: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::from([127, high | 1, low, fleet * 4 + number + 1])
}

/// The platform's store and instances, each with a node that runs as a process.
pub struct PlatformFleet {
    pub store: StoreServer,
    pub instances: Vec<Rc<InstanceServer>>,
    /// Tells the fleets of this process apart.
    number: u8,
    machines: Vec<IpAddr>,
    nodes: Vec<Child>,
    client: cyper::Client,
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
    /// Starts two instances of one service and one of another, and waits until all are served.
    pub async fn start() -> Self {
        let store = StoreServer::default();
        let address = store.start().await.unwrap();
        let mut fleet = Self {
            store,
            instances: Vec::new(),
            number: FLEETS.fetch_add(1, Ordering::Relaxed),
            machines: Vec::new(),
            nodes: Vec::new(),
            client: cyper::Client::new().unwrap(),
        };
        fleet.publish(4, KEY, "/records/");
        for service in ["archive", "archive", "registry"] {
            fleet.add(service, address).await;
        }
        fleet.settle().await;
        fleet
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Publishes a configuration with one key and one route for it, as operators do.
    pub fn publish(&self, version: u64, key: &str, path: &str) {
        let route = |name: &str, path: &str, is_open: bool| {
            json!({"name": name, "path-prefix": path, "kind": "safe", "timeout-ms": 900,
                   "target-latency-ms": 200, "priority": 1, "service": "archive",
                   "max-attempts": 2, "allow-anonymous": is_open})
        };
        let body = json!({
            "version": format!("{version:08x}"),
            "services": [{"name": "archive"}, {"name": "registry"}],
            "tenants": [{"name": "clubs", "api-keys": [key], "rate-per-s": 5000, "burst": 5000}],
            "virtual-hosts": [{"host": "cairns.example",
                "paths": [route("r-keyed", path, false), route("r-open", "/open/", true)]}],
        });
        self.store
            .put("keyed.op", "config", body.to_string().as_bytes());
    }

    /// Returns where the instance of a machine reports.
    pub fn report_address(&self, node: usize) -> SocketAddr {
        SocketAddr::new(self.machines[node], REPORTS)
    }

    /// Returns all that the instances have run.
    pub fn runs(&self) -> Vec<InstanceRun> {
        self.instances
            .iter()
            .flat_map(|instance| instance.runs())
            .collect()
    }

    /// Asks a node to stop.
    pub fn terminate(&self, node: usize) {
        let id = self.nodes[node].id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status();
        assert!(status.expect("the signal is sent").success());
    }

    /// Asks a node once, and returns nothing when it takes no connection or gives no answer.
    pub async fn try_ask(&self, node: usize, ask: &Ask) -> Option<Told> {
        self.send(node, ask).await.ok()
    }

    /// Asks a node, again while the team's tokens are on their way.
    pub async fn ask(&self, node: usize, ask: &Ask) -> Told {
        let until = Instant::now() + PATIENCE;
        loop {
            let told = self.ask_once(node, ask).await;
            if told.status != 429 || Instant::now() > until {
                return told;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn ask_once(&self, node: usize, ask: &Ask) -> Told {
        self.send(node, ask).await.expect("the node answers")
    }

    async fn send(&self, node: usize, ask: &Ask) -> Result<Told, cyper::Error> {
        let url = format!("http://{}:{CALLERS}{}", self.machines[node], ask.path);
        let mut headers = vec![
            ("host", ask.host),
            ("request-id", "9c41d07be2a35f68"),
            ("deadline-ms", "3000"),
        ];
        headers.extend(ask.key.map(|key| ("api-key", key)));
        let request = self.client.get(url).unwrap();
        let request = headers.into_iter().fold(request, |request, (name, value)| {
            request.header(name, value).unwrap()
        });
        let answer = request.send().await?;
        Ok(Told {
            status: answer.status().as_u16(),
            headers: answer.headers().clone(),
        })
    }

    async fn add(&mut self, service: &str, store: SocketAddr) {
        let number = u8::try_from(self.machines.len()).expect("a fleet is small");
        let machine = machine_address(self.number, number);
        let instance = InstanceServer::start(service, &format!("i-{number}")).await;
        let instance = instance.unwrap();
        let on = |port: u16| format!("{machine}:{port}");
        let settings = json!({
            "node": format!("machine-{number}"),
            "zone": "here",
            "service": service,
            "listen": {"outbound": on(CALLERS), "inbound": on(PEERS),
                       "ready": on(READY), "control": on(REPORTS)},
            "internal-ports": INTERNAL,
            "app-addr": instance.address().to_string(),
            "platform": {"address": store.to_string(), "keep_s": 20},
            "bounds": {"revoke-ms": 4000, "fail-closed": true},
        });
        let path = std::env::temp_dir().join(format!("lentilshift-{machine}.json"));
        std::fs::write(&path, settings.to_string()).expect("the file can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilshift"));
        command.arg("node").env_clear().stdout(Stdio::null());
        command.env("LENTILSHIFT_SETTINGS", &path);
        self.nodes.push(command.spawn().expect("the node starts"));
        let node = SocketAddr::new(machine, REPORTS);
        let reporting = Rc::clone(&instance);
        compio::runtime::spawn(async move {
            loop {
                reporting.report(node, "ready").await;
                sleep(REPORT_EVERY).await;
            }
        })
        .detach();
        self.machines.push(machine);
        self.instances.push(instance);
    }

    /// Waits until every node is ready and knows all others.
    async fn settle(&self) {
        let until = Instant::now() + PATIENCE;
        for machine in &self.machines {
            while !self.is_settled(*machine).await {
                assert!(Instant::now() < until, "a node isn't ready in time");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    async fn is_settled(&self, machine: IpAddr) -> bool {
        let get = |path: &str| self.client.get(format!("http://{machine}:{READY}{path}"));
        let Ok(answer) = get("/ready").unwrap().send().await else {
            return false;
        };
        let is_ready = answer.status().is_success();
        let Ok(dump) = get("/dump").unwrap().send().await else {
            return false;
        };
        let dump: serde_json::Value = serde_json::from_str(&dump.text().await.unwrap()).unwrap();
        is_ready && dump["ready_members"].as_u64() >= Some(self.machines.len() as u64)
    }
}
