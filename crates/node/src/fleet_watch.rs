use std::collections::BTreeMap;
use std::rc::Rc;

use clock::ClockTime;
use member::{MemberAnnouncement, MemberState, MemberSubset};
use model::{CentreName, ServiceName, VmName};
use route::RouteTarget;
use streams::{ClaimShard, LogEra, LogStream, PlanSettings, RelayBatch, RelayPlan, RelayPull};

use crate::config_watch::pull_from;
use crate::log_return::on_log_return;
use crate::node_core::NodeCore;
use crate::stream_host::StreamWatch;
use crate::suspect_watch::set_service_peers;

/// Follows the members stream; its changes are picked up by [`apply_members`].
pub(crate) struct FleetWatch(pub(crate) Rc<NodeCore>);

impl StreamWatch for FleetWatch {
    fn on_update(&self, _now: ClockTime) {}

    fn on_went_back(&self, stream: LogStream, era: LogEra) {
        on_log_return(&self.0, stream, era);
    }

    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch> {
        pull_from(&self.0, peer, pull).await
    }
}

/// Updates links, rates, routers and relay plans when the members have changed.
pub(crate) fn apply_members(core: &Rc<NodeCore>) {
    let is_changed = core.fleet.with(|feed| feed.fold().take_changed());
    if !is_changed {
        return;
    }
    update_links(core);
    let services: Vec<ServiceName> = core.contract().services.keys().cloned().collect();
    for service in &services {
        update_router(core, service);
    }
    update_relay_plans(core);
    let mut siblings = core.ready_vms(&core.settings.service);
    siblings.retain(|vm| *vm != core.settings.vm);
    set_service_peers(core, siblings);
}

fn update_links(core: &NodeCore) {
    let members = core.fleet.with(|feed| {
        let members = feed.fold().view().members();
        members.cloned().collect::<Vec<_>>()
    });
    core.links.retain_members(&members);
    let ready = members
        .into_iter()
        .filter(|member| member.state == MemberState::Ready)
        .map(|member| (member.vm, member.centre));
    core.rates
        .with(|feed| feed.fold().limiter.set_members(ready));
}

fn update_router(core: &NodeCore, service: &ServiceName) {
    let settings = &core.settings;
    let evacuation = core.evacuation.borrow();
    let picked = core.fleet.with(|feed| {
        let ready = feed.fold().view().ready(service);
        let open = ready.filter(|member| evacuation.is_open(&member.centre));
        let picked = MemberSubset::default().pick(&settings.vm, &settings.centre, open);
        picked.into_iter().cloned().collect::<Vec<_>>()
    });
    core.with_router(service, |router| {
        let removed = router.names().filter(|vm| !is_listed(&picked, vm));
        let removed: Vec<VmName> = removed.cloned().collect();
        for vm in removed {
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

/// Updates from which nodes this one pulls the streams, and which node appends announcements.
fn update_relay_plans(core: &NodeCore) {
    let node_settings = &core.settings;
    let shard = ClaimShard::of(&node_settings.service);
    let (by_centre, claims_by_centre, has_peers) = core.fleet.with(|feed| {
        let view = feed.fold().view();
        let has_peers = view.members().any(|member| member.vm != node_settings.vm);
        let claims_by_centre =
            view.ready_by_centre_where(|service| ClaimShard::of(service) == shard);
        let ready = view.ready_by_centre();
        core.ready_members.set(ready.values().map(Vec::len).sum());
        (view.live_by_centre(), claims_by_centre, has_peers)
    });
    let appender = RelayPlan::first_reader(&by_centre).cloned();
    core.appender_vm.replace(appender.filter(|_| has_peers));
    let settings = &core.settings;
    let plan_by = |settings: &PlanSettings| {
        let plan = RelayPlan::new(
            &node_settings.vm,
            &node_settings.centre,
            &by_centre,
            settings,
        );
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
    let claims_plan = RelayPlan::new(
        &node_settings.vm,
        &node_settings.centre,
        &claims_by_centre,
        &settings.plan_others,
    );
    core.claims.with(|feed| feed.set_plan(claims_plan));
    let readers = by_centre.iter().map(|(centre, names)| {
        let gateways = RelayPlan::gateways(names, &settings.plan);
        (centre.clone(), gateways.len())
    });
    set_relay_plans(core, &plans, readers.collect(), has_peers);
}

/// The relay plans for the streams that all nodes follow: the configuration, and the others.
pub(crate) struct StreamPlans {
    pub(crate) config: RelayPlan,
    pub(crate) others: RelayPlan,
}

/// Sets the relay plans of the streams that all nodes follow.
pub(crate) fn set_relay_plans(
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

/// Returns a plan to pull from the addresses in the settings, for a node that knows no members yet.
pub(crate) fn seed_plan(core: &NodeCore) -> RelayPlan {
    let seeds = core
        .settings
        .peers
        .iter()
        .map(|address| core.links.add_seed(*address));
    RelayPlan::from_sources(seeds.collect())
}
