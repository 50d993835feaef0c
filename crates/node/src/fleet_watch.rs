use std::collections::BTreeMap;
use std::rc::Rc;

use clock::ClockTime;
use member::{MemberAnnouncement, MemberState, MemberSubset};
use model::{CentreName, ServiceName, VmName};
use route::RouteTarget;
use streams::{ClaimShard, PlanSettings, RelayBatch, RelayPlan, RelayPull};

use crate::config_watch::pull_from;
use crate::node_core::NodeCore;
use crate::stream_host::StreamWatch;
use crate::suspect_watch::set_service_peers;

/// Asks other nodes for what the members stream brings.
pub(crate) struct FleetWatch(pub(crate) Rc<NodeCore>);

impl StreamWatch for FleetWatch {
    fn on_news(&self, _now: ClockTime) {}

    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch> {
        pull_from(&self.0, peer, pull).await
    }
}

/// Brings routers, links, rates and relay plans in line with the members, where these changed.
pub(crate) fn put_members(core: &Rc<NodeCore>) {
    let is_changed = core.fleet.with(|feed| feed.fold().take_changed());
    if !is_changed {
        return;
    }
    put_links(core);
    let services: Vec<ServiceName> = core.contract().services.keys().cloned().collect();
    for service in &services {
        put_service(core, service);
    }
    put_plan(core);
    let mut siblings = core.ready_vms(&core.settings.service);
    siblings.retain(|vm| *vm != core.settings.vm);
    set_service_peers(core, siblings);
}

fn put_links(core: &NodeCore) {
    let members = core.fleet.with(|feed| {
        let members = feed.fold().view().members();
        members.cloned().collect::<Vec<_>>()
    });
    core.links.keep_only(&members);
    let ready = members
        .into_iter()
        .filter(|member| member.state == MemberState::Ready)
        .map(|member| (member.vm, member.centre));
    core.rates
        .with(|feed| feed.fold().limiter.set_members(ready));
}

fn put_service(core: &NodeCore, service: &ServiceName) {
    let settings = &core.settings;
    let picked = core.fleet.with(|feed| {
        let ready = feed.fold().view().ready(service);
        let picked = MemberSubset::default().pick(&settings.vm, &settings.centre, ready);
        picked.into_iter().cloned().collect::<Vec<_>>()
    });
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
    let own = &core.settings;
    let shard = ClaimShard::of(&own.service);
    let (by_centre, of_shard, has_peers) = core.fleet.with(|feed| {
        let view = feed.fold().view();
        let has_peers = view.members().any(|member| member.vm != own.vm);
        let of_shard = view.ready_by_centre_where(|service| ClaimShard::of(service) == shard);
        let ready = view.ready_by_centre();
        core.ready_members.set(ready.values().map(Vec::len).sum());
        (view.live_by_centre(), of_shard, has_peers)
    });
    let keeper = RelayPlan::first_reader(&by_centre).cloned();
    core.keeper.replace(keeper.filter(|_| has_peers));
    let settings = &core.settings;
    let plan_by = |settings: &PlanSettings| {
        let plan = RelayPlan::new(&own.vm, &own.centre, &by_centre, settings);
        if plan.sources().is_empty() {
            seed_plan(core)
        } else {
            plan
        }
    };
    let plans = StreamPlans {
        config: plan_by(&settings.plan),
        others: plan_by(&settings.plan_others),
    };
    let claims_plan = RelayPlan::new(&own.vm, &own.centre, &of_shard, &settings.plan_others);
    core.claims.with(|feed| feed.set_plan(claims_plan));
    let readers = by_centre.iter().map(|(centre, names)| {
        let gateways = RelayPlan::gateways(names, &settings.plan);
        (centre.clone(), gateways.len())
    });
    use_plans(core, &plans, readers.collect(), has_peers);
}

/// Whom a node asks for news of the streams that all nodes follow.
pub(crate) struct StreamPlans {
    pub(crate) config: RelayPlan,
    pub(crate) others: RelayPlan,
}

/// Follows the streams that all nodes read by their plans.
pub(crate) fn use_plans(
    core: &NodeCore,
    plans: &StreamPlans,
    readers: BTreeMap<CentreName, usize>,
    has_peers: bool,
) {
    core.fleet.with(|feed| feed.set_plan(plans.others.clone()));
    core.rates.with(|feed| feed.set_plan(plans.others.clone()));
    core.config.with(|state| {
        state
            .feed
            .set_members(plans.config.clone(), readers, has_peers);
    });
}

/// Plans by the addresses of the settings, for a node that knows no member yet.
pub(crate) fn seed_plan(core: &NodeCore) -> RelayPlan {
    let seeds = core
        .settings
        .peers
        .iter()
        .map(|address| core.links.add_seed(*address));
    RelayPlan::from_sources(seeds.collect())
}
