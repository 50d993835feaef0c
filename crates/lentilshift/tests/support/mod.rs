//! A fleet whose nodes are processes of the built binary.

mod open_connection;
mod process_node;

pub use open_connection::OpenConnection;
pub use process_node::ProcessNode;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;
use platform::{
    ConfigRecord, ConfigVersion, KeyDigest, LogStream, NewRecord, PlatformLog, RecordBody,
};
use standin::{BackendCall, BackendServer, BackendSettings, LogServer};

/// The longest that anything in these tests is waited for.
pub const PATIENCE: Duration = Duration::from_mins(1);
/// The key of the tests' caller.
pub const KEY: &str = "a-key-for-tests-only";

const CONTRACT: &str = r#"
[services.registry]
[services.filings]
depends_on = ["registry"]
[services.filings.calls.read]
path = "/records"
method = "GET"
[services.filings.calls.file]
path = "/records"
method = "POST"
deadline_ms = 60000
[teams.clubs]
rate_per_s = 10000
burst = 10000
"#;

/// The log's stand-in, and backend servers with their nodes.
pub struct ProcessFleet {
    pub log_address: SocketAddr,
    pub backends: Vec<Rc<BackendServer>>,
    pub nodes: Vec<ProcessNode>,
}

impl ProcessFleet {
    /// Starts two nodes of `filings`, which calls `registry`, and one node of that.
    pub async fn start() -> Self {
        let server = LogServer::bind("127.0.0.1:0".parse().unwrap());
        let server = server.await.unwrap();
        let mut fleet = Self {
            log_address: server.addr().unwrap(),
            backends: Vec::new(),
            nodes: Vec::new(),
        };
        compio::runtime::spawn(server.run()).detach();
        let publish = ConfigRecord::publish(ConfigVersion::NONE, "", CONTRACT);
        fleet.append(&publish).await;
        let digest = KeyDigest::of_key(KEY.as_bytes());
        let team = "clubs".into();
        fleet.append(&ConfigRecord::Grant { digest, team }).await;
        let look_up = BackendCall {
            method: "GET".parse().unwrap(),
            path: "/registry/records/7".into(),
        };
        let calls = vec![look_up];
        for service in ["filings", "filings", "registry"] {
            let settings = BackendSettings {
                service: service.into(),
                calls: if service == "filings" {
                    calls.clone()
                } else {
                    Vec::new()
                },
                ..BackendSettings::default()
            };
            let backend = BackendServer::start(settings).await.unwrap();
            let node = ProcessNode::start(service, backend.address(), fleet.log_address);
            backend.set_egress(node.egress);
            fleet.backends.push(backend);
            fleet.nodes.push(node);
        }
        fleet.settle().await;
        fleet
    }

    /// Appends a record of the configuration stream.
    pub async fn append(&self, record: &ConfigRecord) {
        let base = format!("http://{}", self.log_address);
        let log = adapter::HttpLog::new(base, adapter::HttpSettings::default()).unwrap();
        let id = model::RecordId::from_random(rand::random());
        let body = RecordBody::encode(record);
        let records = vec![NewRecord { id, body }];
        log.append(LogStream::Config, records).await.unwrap();
    }

    /// Waits until every node serves requests.
    async fn settle(&self) {
        let until = Instant::now() + PATIENCE;
        for node in &self.nodes {
            while !self.is_served_by(node).await {
                assert!(Instant::now() < until, "a node isn't ready in time");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Returns whether a node knows the whole fleet and serves a look-up.
    async fn is_served_by(&self, node: &ProcessNode) -> bool {
        let mut admin = OpenConnection::open(node.admin).await;
        let dump = admin.get("/dump", KEY).await.unwrap();
        let dump: serde_json::Value = serde_json::from_str(&dump.body).unwrap();
        if dump["ready_members"] != self.nodes.len() || dump["is_ready"] != true {
            return false;
        }
        let mut caller = OpenConnection::open(node.callers).await;
        caller.get(LOOK_UP, KEY).await.unwrap().status == 200
    }
}

/// The path of a request that runs on both services.
pub const LOOK_UP: &str = "/filings/records/7";
