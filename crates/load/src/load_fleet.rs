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
use crate::fleet_plan::{CONTRACT, KEY, OTHER_KEY, PairPlan};
use crate::load_client::LoadConnection;
use crate::load_error::LoadError;
use crate::node_child::{NodeChild, NodePorts, NodeStart};
use crate::standin_thread::StandinThread;

/// The longest time that a fleet may take to settle, in milliseconds.
const SETTLE_LIMIT_MS: u64 = 60_000;
/// The time between two looks at a fleet that settles, in milliseconds.
const LOOK_MS: u64 = 100;

/// Stand-ins and nodes, these as processes of their own.
pub(crate) struct LoadFleet {
    pub(crate) standins: StandinThread,
    pub(crate) nodes: Vec<NodeChild>,
    /// The bytes between nodes, both ways, where these are counted.
    pub(crate) peer_bytes: Rc<Cell<u64>>,
    /// The bytes between nodes and the log, both ways, where these are counted.
    pub(crate) log_bytes: Rc<Cell<u64>>,
}

impl LoadFleet {
    /// Starts a fleet and waits until every node knows all the others.
    pub(crate) async fn start(plans: &[PairPlan], is_counted: bool) -> Result<Self, LoadError> {
        let ports: Vec<NodePorts> = plans.iter().map(|_| NodePorts::find()).collect();
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
        if is_counted {
            let relay = ByteRelay::start(platform, Rc::clone(&fleet.log_bytes)).await?;
            platform = relay.address();
        }
        for (index, (plan, ports)) in plans.iter().zip(ports).enumerate() {
            let mut advertise = None;
            if is_counted {
                let bytes = Rc::clone(&fleet.peer_bytes);
                advertise = Some(ByteRelay::start(ports.ingress, bytes).await?.address());
            }
            let start = NodeStart {
                service: plan.service,
                slots: plan.slots,
                backend: fleet.standins.backends[index],
                platform,
                advertise,
            };
            fleet.nodes.push(NodeChild::start(ports, &start)?);
        }
        fleet.settle().await?;
        Ok(fleet)
    }

    /// Returns the address for callers of a node.
    pub(crate) fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node].ports.callers
    }

    /// Returns the records that the log has taken.
    pub(crate) async fn appended(&self) -> Result<u64, LoadError> {
        let log = self.log()?;
        let mut appended = 0;
        for stream in LogStream::all() {
            let batch = log.read(stream, LogOffset::ZERO, 0).await?;
            appended += batch.end.get();
        }
        Ok(appended)
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
        log_at(self.standins.log)
    }

    async fn settle(&self) -> Result<(), LoadError> {
        let mut waited_ms = 0;
        for node in 0..self.nodes.len() {
            while !self.is_settled(node).await {
                if waited_ms > SETTLE_LIMIT_MS {
                    return Err("the fleet doesn't settle".into());
                }
                sleep(Duration::from_millis(LOOK_MS)).await;
                waited_ms += LOOK_MS;
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

    /// Sends requests until each node has tokens of both teams.
    pub(crate) async fn warm_up(&self, path: &str) -> Result<(), LoadError> {
        for node in 0..self.nodes.len() {
            for key in [KEY, OTHER_KEY] {
                let mut connection = LoadConnection::open(self.callers(node)).await?;
                let mut waited_ms = 0;
                while connection.get(path, key).await?.status != 200 {
                    sleep(Duration::from_millis(LOOK_MS)).await;
                    waited_ms += LOOK_MS;
                    if waited_ms > SETTLE_LIMIT_MS {
                        return Err("a node doesn't serve".into());
                    }
                }
            }
        }
        Ok(())
    }
}

/// Returns a client of the log's stand-in.
pub(crate) fn log_at(address: SocketAddr) -> Result<HttpLog, LoadError> {
    let base = format!("http://{address}");
    Ok(HttpLog::new(base, HttpSettings::default())?)
}

/// Puts the contract and both keys on the log.
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
