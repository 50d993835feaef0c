use std::rc::Rc;
use std::time::Duration;

use compio::runtime::spawn;
use compio::time::sleep;
use model::VmName;
use node::{NodeProcess, NodeSettings};
use standin::{BackendServer, BackendSettings, LogServer};
use wire::FleetSecret;

use crate::fleet_plan::KEY;
use crate::load_client::LoadConnection;
use crate::load_error::LoadError;
use crate::load_fleet::{log_client, publish};
use crate::node_child::FLEET_SECRET;

/// The interval between two checks of a starting fleet, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;
/// The number of failed checks after which starting the fleet fails.
const MAX_CHECKS: u32 = 300;

/// Stand-ins and nodes that all run on the event loop of this thread.
pub(crate) struct LocalFleet {
    pub(crate) backends: Vec<Rc<BackendServer>>,
    pub(crate) nodes: Vec<NodeProcess>,
}

impl LocalFleet {
    /// Starts a backend server and a node for each service, and waits until all nodes serve.
    pub(crate) async fn start(services: [&str; 2]) -> Result<Self, LoadError> {
        let log = LogServer::bind(([127, 0, 0, 1], 0).into()).await?;
        let platform_address = log.addr()?;
        spawn(log.run()).detach();
        publish(&log_client(platform_address)?).await?;
        let mut fleet = Self {
            backends: Vec::new(),
            nodes: Vec::new(),
        };
        for service in services {
            let backend = BackendServer::start(BackendSettings::default()).await?;
            let secret = FleetSecret::new(FLEET_SECRET)?;
            let vm = VmName::new(format!("vm-of-{service}"));
            let settings = NodeSettings {
                backend_address: backend.address(),
                platform_address,
                ..NodeSettings::loopback(vm, service.into(), secret)
            };
            fleet.nodes.push(NodeProcess::start(settings).await?);
            fleet.backends.push(backend);
        }
        fleet.settle().await?;
        Ok(fleet)
    }

    async fn settle(&self) -> Result<(), LoadError> {
        for node in &self.nodes {
            let mut connection = LoadConnection::open(node.caller_address()).await?;
            let mut checks = 0;
            while connection.get("/deep/read", KEY).await?.status != 200 {
                sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
                checks += 1;
                if checks > MAX_CHECKS {
                    return Err("a node didn't serve its warm-up requests in time".into());
                }
            }
        }
        Ok(())
    }
}
