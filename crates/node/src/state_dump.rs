use std::net::SocketAddr;

use limit::LoadReport;
use model::{CentreName, ServiceName, VmName};
use serde::Serialize;
use streams::ConfigVersion;

use crate::node_core::NodeCore;

/// The state of a node, without secrets.
#[derive(Serialize)]
pub(crate) struct StateDump {
    vm: VmName,
    centre: CentreName,
    service: ServiceName,
    is_ready: bool,
    is_leaving: bool,
    backend_address: SocketAddr,
    load: LoadReport,
    running_calls: usize,
    open_connections: usize,
    allocated_slots: usize,
    ready_members: usize,
    unreadable_members: u64,
    links: Vec<VmName>,
    contract: ContractDump,
    services: Vec<ServiceName>,
}

/// The contract in force and a newer text that was refused.
#[derive(Serialize)]
struct ContractDump {
    version: ConfigVersion,
    newest_version: ConfigVersion,
    refused: Option<RefusedText>,
}

/// A text that was refused because it isn't a valid contract.
#[derive(Serialize)]
struct RefusedText {
    version: ConfigVersion,
    reason: String,
}

/// Returns the state of a node.
pub(crate) fn dump_state(core: &NodeCore) -> StateDump {
    StateDump {
        vm: core.settings.vm.clone(),
        centre: core.settings.centre.clone(),
        service: core.settings.service.clone(),
        is_ready: core.is_ready(),
        is_leaving: core.is_leaving(),
        backend_address: core.settings.backend_address,
        load: core.gate.load(core.now()),
        running_calls: core.running.len(),
        open_connections: core.open_connections.get(),
        allocated_slots: core
            .rates
            .with(|feed| feed.fold().limiter.allocated_slots(core.now())),
        ready_members: core.ready_members.get(),
        unreadable_members: core.fleet.with(|feed| feed.fold().unreadable()),
        links: core.links.names(),
        contract: dump_contract(core),
        services: core.contract().services.keys().cloned().collect(),
    }
}

fn dump_contract(core: &NodeCore) -> ContractDump {
    core.config.with(|state| {
        let fold = state.feed.fold();
        let refused = fold.fault().map(|fault| RefusedText {
            version: fault.version,
            reason: fault.reason.clone(),
        });
        ContractDump {
            version: fold.in_force().version,
            newest_version: fold.newest().version,
            refused,
        }
    })
}
