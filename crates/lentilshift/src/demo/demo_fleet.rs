use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;
use futures_util::future::join_all;
use http::Method;
use model::{ServiceName, TeamName, VmName};
use node::{NodeProcess, NodeSettings};
use rand::Rng;
use standin::{BackendCall, BackendServer, BackendSettings, LogServer};
use streams::{ConfigRecord, ConfigVersion, KeyDigest};
use wire::FleetSecret;

use crate::command_error::CommandError;
use crate::commands::key::new_key;
use crate::config_client::ConfigClient;
use crate::demo::demo_contract::CONTRACT;
use crate::demo::{DemoCaller, DemoError};

/// The time within which the nodes have to be ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 10_000;
/// The interval of checks whether they are ready, in milliseconds.
const READY_CHECK_INTERVAL_MS: u64 = 20;
/// The time that a backend server of the demo needs for a request, in milliseconds.
const RUN_MS: u64 = 20;
/// The requests that a backend server of the demo can run at once.
const SLOTS: u32 = 4;

/// A backend server and its node, which stand for one VM.
pub(crate) struct DemoVm {
    pub(crate) name: &'static str,
    pub(crate) backend: Rc<BackendServer>,
    pub(crate) node: NodeProcess,
}

/// The requests that the backend servers received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestCount {
    pub(crate) total: usize,
    pub(crate) with_key: usize,
}

/// The platform's log, two services and three nodes, all on this thread's event loop.
pub(crate) struct DemoFleet {
    pub(crate) log_address: SocketAddr,
    pub(crate) vms: Vec<DemoVm>,
    /// The fleet secret, which a node needs to join.
    pub(crate) secret: String,
}

impl DemoFleet {
    /// Starts the fleet with the contract of the demo, and waits until it is ready.
    pub(crate) async fn start() -> Result<Self, CommandError> {
        let log_address = start_log().await?;
        let base = ConfigVersion::NONE;
        let record = ConfigRecord::publish(base, "", CONTRACT);
        submit(log_address, &record).await?;
        let calls = vec![BackendCall {
            method: Method::GET,
            path: "/registry/records/7".into(),
        }];
        let secret: [u128; 2] = rand::rng().random();
        let secret = format!("{:032x}{:032x}", secret[0], secret[1]);
        let mut fleet = Self {
            log_address,
            vms: Vec::new(),
            secret,
        };
        fleet.add("filings-1", "filings", &calls).await?;
        fleet.add("filings-2", "filings", &calls).await?;
        fleet.add("registry-1", "registry", &[]).await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    async fn add(
        &mut self,
        name: &'static str,
        service: &'static str,
        calls: &[BackendCall],
    ) -> Result<(), CommandError> {
        let settings = BackendSettings {
            service: service.into(),
            run_ms: RUN_MS,
            calls: calls.to_vec(),
            ..BackendSettings::default()
        };
        let backend = BackendServer::start(settings).await;
        let backend = backend.map_err(DemoError::from)?;
        let secret =
            FleetSecret::new(self.secret.as_str()).expect("64 digits are longer than the minimum");
        let settings = NodeSettings {
            backend_address: backend.address(),
            backend_slots: SLOTS,
            platform_address: self.log_address,
            ..NodeSettings::loopback(VmName::new(name), ServiceName::new(service), secret)
        };
        let node = NodeProcess::start(settings).await?;
        backend.set_egress(node.egress_address());
        self.vms.push(DemoVm {
            name,
            backend,
            node,
        });
        Ok(())
    }

    /// Grants a new key to a team and returns it.
    pub(crate) async fn grant(&self, team: &str) -> Result<String, CommandError> {
        let key = new_key();
        let record = ConfigRecord::Grant {
            digest: KeyDigest::of_key(key.as_bytes()),
            team: TeamName::new(team),
        };
        submit(self.log_address, &record).await?;
        Ok(key)
    }

    /// Withdraws a key.
    pub(crate) async fn withdraw(&self, key: &str) -> Result<(), CommandError> {
        let digest = KeyDigest::of_key(key.as_bytes());
        submit(self.log_address, &ConfigRecord::Withdraw { digest }).await
    }

    /// Counts the requests that the backend servers received, and those whose head held one of `keys`.
    pub(crate) fn count_requests(&self, keys: &[&str]) -> RequestCount {
        let mut count = RequestCount::default();
        for vm in &self.vms {
            for entry in vm.backend.record().entries() {
                count.total += 1;
                let holds_key = keys.iter().any(|key| entry.head.contains(key));
                count.with_key += usize::from(holds_key);
            }
        }
        count
    }

    /// Stops every node gracefully.
    pub(crate) async fn stop(&self) {
        join_all(self.vms.iter().map(|vm| vm.node.stop())).await;
    }

    async fn wait_until_ready(&self) -> Result<(), DemoError> {
        let started = Instant::now();
        while !self.is_ready().await? {
            let elapsed_ms = started.elapsed().as_millis();
            if elapsed_ms > u128::from(READY_TIMEOUT_MS) {
                return Err(DemoError::NotReady(READY_TIMEOUT_MS));
            }
            sleep(Duration::from_millis(READY_CHECK_INTERVAL_MS)).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> Result<bool, DemoError> {
        for vm in &self.vms {
            let mut admin = DemoCaller::connect(vm.node.admin_address()).await?;
            let dump = admin.get("/dump").await?;
            let dump = serde_json::from_slice::<serde_json::Value>(&dump.body);
            let dump = dump.unwrap_or_default();
            let members = dump["ready_members"].as_u64();
            if dump["is_ready"] != true || members != Some(self.vms.len() as u64) {
                return Ok(false);
            }
        }
        Ok(true)
    }
}

async fn start_log() -> Result<SocketAddr, DemoError> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = LogServer::bind(any_port).await?;
    let address = server.addr()?;
    compio::runtime::spawn(server.run()).detach();
    Ok(address)
}

async fn submit(log_address: SocketAddr, record: &ConfigRecord) -> Result<(), CommandError> {
    let mut client = ConfigClient::connect(log_address).await?;
    let advice = "run the demo again";
    client.submit(record, advice).await.map(drop)
}
