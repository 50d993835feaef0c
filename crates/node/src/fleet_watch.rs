use std::collections::BTreeSet;
use std::rc::Rc;

use clock::ClockTime;
use member::{MemberAnnouncement, MemberSubset};
use model::{CentreName, ServiceName, VmName};
use platform::{PlanSettings, RelayBatch, RelayPlan, RelayPull};
use route::RouteTarget;

use crate::config_watch::pull_from;
use crate::node_core::NodeCore;
use crate::stream_host::StreamWatch;

/// Puts what the members stream brings in force.
pub(crate) struct FleetWatch(pub(crate) Rc<NodeCore>);

impl StreamWatch for FleetWatch {
    fn on_change(&self, now: ClockTime) {
        put_members(&self.0, now);
    }

    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch> {
        pull_from(&self.0, peer, pull).await
    }
}

/// Brings routers, links and relay plans in line with the members.
pub(crate) fn put_members(core: &NodeCore, now: ClockTime) {
    let services: Vec<ServiceName> = core.contract().services.keys().cloned().collect();
    for service in &services {
        put_service(core, now, service);
    }
    put_plan(core);
}

fn put_service(core: &NodeCore, now: ClockTime, service: &ServiceName) {
    let picked = core.fleet.with_state(|fleet| {
        let ready = fleet.view.ready(service);
        let settings = &core.settings;
        let picked = MemberSubset::default().pick(&settings.vm, &settings.centre, ready);
        picked.into_iter().cloned().collect::<Vec<_>>()
    });
    for member in &picked {
        core.links.upsert(member.vm.clone(), member.peer_addr);
    }
    core.with_router(service, |router| {
        let gone = router.names().filter(|vm| !is_listed(&picked, vm));
        let gone: Vec<VmName> = gone.cloned().collect();
        for vm in gone {
            router.remove(&vm);
        }
        for member in picked {
            let target = RouteTarget {
                centre: member.centre,
                slots: member.slots,
                started: now,
            };
            router.upsert(member.vm, target);
        }
    });
}

fn is_listed(members: &[MemberAnnouncement], vm: &VmName) -> bool {
    members.iter().any(|member| member.vm == *vm)
}

/// Plans whom this node asks for news of the log.
fn put_plan(core: &NodeCore) {
    let settings = PlanSettings::default();
    let own = &core.settings;
    let (plan, centres, has_peers, addresses) = core.fleet.with_state(|fleet| {
        let by_centre = fleet.view.ready_by_centre();
        let empty = Vec::new();
        let local = by_centre.get(&own.centre).unwrap_or(&empty);
        let others = by_centre
            .iter()
            .filter(|(centre, _)| **centre != own.centre);
        let remote: Vec<VmName> = others
            .flat_map(|(_, names)| RelayPlan::readers(names, &settings))
            .collect();
        let plan = RelayPlan::new(&own.vm, local, &remote, &settings);
        let addresses: Vec<_> = plan
            .sources()
            .iter()
            .filter_map(|vm| fleet.view.get(vm))
            .map(|member| (member.vm.clone(), member.peer_addr))
            .collect();
        let centres: BTreeSet<CentreName> = by_centre.keys().cloned().collect();
        let has_peers = fleet.view.members().any(|member| member.vm != own.vm);
        (plan, centres, has_peers, addresses)
    });
    for (vm, address) in addresses {
        core.links.upsert(vm, address);
    }
    let plan = if plan.sources().is_empty() {
        seed_plan(core)
    } else {
        plan
    };
    core.config.set_plan(plan.clone());
    core.fleet.set_plan(plan);
    core.trust.borrow_mut().set_members(centres, has_peers);
}

/// Plans by the addresses of the settings, for a node that knows no member yet.
pub(crate) fn seed_plan(core: &NodeCore) -> RelayPlan {
    let seeds = core.settings.peers.iter().map(|address| {
        let vm = VmName::new(format!("seed-{address}"));
        core.links.upsert(vm.clone(), *address);
        vm
    });
    RelayPlan::from_sources(seeds.collect())
}
