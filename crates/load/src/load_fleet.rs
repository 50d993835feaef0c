use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::{HttpLog, HttpSettings};
use compio::time::sleep;
use model::{RecordId, TeamName};
use streams::{
    ConfigRecord, ConfigVersion, KeyDigest, LogOffset, LogStream, NewRecord, PlatformLog,
    RecordBody,
};

use crate::byte_relay::ByteRelay;
use crate::fleet_plan::{CONTRACT, KEY, OTHER_KEY, VmPlan};
use crate::load_client::LoadConnection;
use crate::load_error::LoadError;
use crate::node_child::{NodeChild, NodeOptions, NodePorts};
use crate::standin_thread::StandinThread;

/// The time after which a fleet that isn't ready counts as failed, in milliseconds.
const SETTLE_TIMEOUT_MS: u64 = 60_000;
/// The interval between two checks of a starting fleet, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Stand-ins for the platform and the backend servers, and nodes as child processes.
pub(crate) struct LoadFleet {
    pub(crate) standins: StandinThread,
    pub(crate) nodes: Vec<NodeChild>,
    /// The bytes between nodes in both directions; 0 unless they are counted.
    pub(crate) peer_bytes: Rc<Cell<u64>>,
    /// The bytes between nodes and the log in both directions; 0 unless they are counted.
    pub(crate) log_bytes: Rc<Cell<u64>>,
}

impl LoadFleet {
    /// Starts a fleet and waits until every node sees all nodes as ready.
    ///
    /// With `counts_bytes`, all traffic between nodes and to the log passes through byte-counting
    /// relays.
    pub(crate) async fn start(plans: &[VmPlan], counts_bytes: bool) -> Result<Self, LoadError> {
        let ports: Vec<NodePorts> = plans.iter().map(|_| NodePorts::find_free()).collect();
        let egresses: Vec<SocketAddr> = ports.iter().map(|ports| ports.egress).collect();
        let standins = StandinThread::start(plans, &egresses)?;
        let mut fleet = Self {
            standins,
            nodes: Vec::new(),
            peer_bytes: Rc::default(),
            log_bytes: Rc::default(),
        };
        publish(&fleet.log()?).await?;
        let mut platform = fleet.standins.log;
        if counts_bytes {
            let relay = ByteRelay::start(platform, Rc::clone(&fleet.log_bytes)).await?;
            platform = relay.address();
        }
        for (index, (plan, ports)) in plans.iter().zip(ports).enumerate() {
            let mut advertise = None;
            if counts_bytes {
                let bytes = Rc::clone(&fleet.peer_bytes);
                advertise = Some(ByteRelay::start(ports.ingress, bytes).await?.address());
            }
            let options = NodeOptions {
                service: plan.service,
                slots: plan.slots,
                backend: fleet.standins.backends[index],
                platform,
                advertise,
            };
            fleet.nodes.push(NodeChild::start(ports, &options)?);
        }
        fleet.settle().await?;
        Ok(fleet)
    }

    /// Returns the address at which a node accepts callers.
    pub(crate) fn caller_address(&self, node: usize) -> SocketAddr {
        self.nodes[node].ports.callers
    }

    /// Returns the number of records appended to all streams of the log.
    pub(crate) async fn appended_records(&self) -> Result<u64, LoadError> {
        let log = self.log()?;
        let mut count = 0;
        for stream in LogStream::all() {
            let batch = log.read(stream, LogOffset::ZERO, 0).await?;
            count += batch.end.get();
        }
        Ok(count)
    }

    /// Returns the processor time of all nodes, in microseconds.
    pub(crate) fn cpu_us(&self) -> Result<u64, LoadError> {
        let mut total_us = 0;
        for node in &self.nodes {
            total_us += node.cpu_us()?;
        }
        Ok(total_us)
    }

    fn log(&self) -> Result<HttpLog, LoadError> {
        log_client(self.standins.log)
    }

    async fn settle(&self) -> Result<(), LoadError> {
        let mut waited_ms = 0;
        for node in 0..self.nodes.len() {
            while !self.is_settled(node).await {
                if waited_ms > SETTLE_TIMEOUT_MS {
                    return Err("a node didn't see all members as ready in time".into());
                }
                sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
                waited_ms += CHECK_INTERVAL_MS;
            }
        }
        Ok(())
    }

    async fn is_settled(&self, node: usize) -> bool {
        let Ok(dump) = self.dump(node).await else {
            return false;
        };
        let ready = dump["ready_members"].as_u64().unwrap_or(0);
        dump["is_ready"] == true && ready == self.nodes.len() as u64
    }

    async fn dump(&self, node: usize) -> Result<serde_json::Value, LoadError> {
        let url = format!("http://{}/dump", self.nodes[node].ports.admin);
        let answer = cyper::Client::new()?.get(url)?.send().await?;
        Ok(serde_json::from_str(&answer.text().await?)?)
    }

    /// Sends requests to each node until it has rate tokens for both teams.
    pub(crate) async fn warm_up(&self, path: &str) -> Result<(), LoadError> {
        for node in 0..self.nodes.len() {
            for key in [KEY, OTHER_KEY] {
                let mut connection = LoadConnection::open(self.caller_address(node)).await?;
                let mut waited_ms = 0;
                while connection.get(path, key).await?.status != 200 {
                    sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
                    waited_ms += CHECK_INTERVAL_MS;
                    if waited_ms > SETTLE_TIMEOUT_MS {
                        return Err("a node didn't serve its warm-up requests in time".into());
                    }
                }
            }
        }
        Ok(())
    }
}

/// Returns a client of the stand-in for the log.
pub(crate) fn log_client(address: SocketAddr) -> Result<HttpLog, LoadError> {
    let base = format!("http://{address}");
    Ok(HttpLog::new(base, HttpSettings::default())?)
}

/// Publishes the contract and grants both keys, as records on the log.
pub(crate) async fn publish(log: &HttpLog) -> Result<(), LoadError> {
    let publish = ConfigRecord::publish(ConfigVersion::NONE, "", CONTRACT);
    let records = [publish, grant(KEY, "clubs"), grant(OTHER_KEY, "wardens")];
    for (id, record) in (1..).zip(&records) {
        let record = NewRecord {
            id: RecordId::from_random(id),
            body: RecordBody::encode(record),
        };
        log.append(LogStream::Config, vec![record]).await?;
    }
    Ok(())
}

fn grant(key: &str, team: &str) -> ConfigRecord {
    ConfigRecord::Grant {
        digest: KeyDigest::of_key(key.as_bytes()),
        team: TeamName::new(team),
    }
}
