use std::time::Instant;

use clock::ClockTime;
use member::{MemberAnnouncement, MemberSettings, MemberState, MemberSubset, MemberView};
use model::{CentreName, ServiceName, VmName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{RouteSettings, RouteTarget, VmRouter};

use crate::load_error::LoadError;
use crate::node_child::resident_kb;

/// The numbers of services to measure.
const SERVICE_COUNTS: [usize; 4] = [50, 130, 265, 530];
/// The average number of VMs per service: 4000 VMs for 530 services.
const VMS_PER_SERVICE: f64 = 4_000.0 / 530.0;
/// The number of data centres.
const CENTRE_COUNT: usize = 7;
/// The repetitions of each operation, over which its time is averaged.
const ROUNDS: u32 = 20;
/// The interval at which a node checks its members and ticks its routers, in milliseconds.
const MEMBER_CHECK_INTERVAL_MS: f64 = 250.0;

/// Measures the memory and processor time of a node with routers to all services, by number of
/// services.
pub(crate) fn measure(repeats: u32) -> Result<(), LoadError> {
    println!(
        "| run | services | members | routers kB | expiry us | put of all members us | look at all routers us | both looks, % of a core | choice ns |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for run in 1..=repeats {
        for services in SERVICE_COUNTS {
            measure_size(run, services)?;
        }
    }
    Ok(())
}

/// The member view and the routers of one node.
struct NodeView {
    vm: VmName,
    centre: CentreName,
    view: MemberView,
    services: Vec<ServiceName>,
    routers: Vec<VmRouter>,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "small counts"
)]
fn measure_size(run: u32, services: usize) -> Result<(), LoadError> {
    let members = (services as f64 * VMS_PER_SERVICE).round() as usize;
    let mut node = new_node_view(services, members);
    let before_kb = resident_kb("self")?;
    sync_routers(&mut node);
    let routers_kb = resident_kb("self")?.saturating_sub(before_kb);
    let expiry_us = mean_us(|round| {
        node.view.advance_to(ClockTime::from_ms(u64::from(round)));
    });
    let sync_us = mean_us(|_| sync_routers(&mut node));
    let tick_us = mean_us(|round| {
        let now = ClockTime::from_ms(u64::from(round));
        node.routers.iter_mut().for_each(|router| router.tick(now));
    });
    let mut random = SmallRng::seed_from_u64(1);
    let choices_us = mean_us(|round| {
        let now = ClockTime::from_ms(u64::from(round));
        for router in &mut node.routers {
            std::hint::black_box(router.choose(now, &mut random, &[]));
        }
    });
    let cpu_percent = (expiry_us + tick_us) / (MEMBER_CHECK_INTERVAL_MS * 1_000.0) * 100.0;
    let choice_ns = choices_us * 1_000.0 / services as f64;
    println!(
        "| {run} | {services} | {members} | {routers_kb} | {expiry_us:.0} | {sync_us:.0} | {tick_us:.0} | {cpu_percent:.3} | {choice_ns:.0} |"
    );
    Ok(())
}

fn mean_us(mut operation: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    (0..ROUNDS).for_each(&mut operation);
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn new_node_view(services: usize, members: usize) -> NodeView {
    let centre = CentreName::new("dc-0");
    let mut view = MemberView::new(MemberSettings::default());
    for index in 0..members {
        view.apply(&member(index, services));
    }
    let routers = (0..services).map(|_| VmRouter::new(RouteSettings::default(), centre.clone()));
    NodeView {
        vm: VmName::new("vm-0"),
        view,
        services: (0..services).map(service).collect(),
        routers: routers.collect(),
        centre,
    }
}

fn service(index: usize) -> ServiceName {
    ServiceName::new(format!("service-{index:03}"))
}

fn member(index: usize, services: usize) -> MemberAnnouncement {
    MemberAnnouncement {
        vm: VmName::new(format!("vm-{index:032}")),
        centre: CentreName::new(format!("dc-{}", index % CENTRE_COUNT)),
        service: service(index % services),
        peer_addr: ([10, 0, 0, 1], 7_000).into(),
        slots: 65,
        incarnation: 1,
        sequence: 1,
        state: MemberState::Ready,
        valid_ms: 2_400_000,
    }
}

/// Updates all routers with the ready members, as a node does when members change.
fn sync_routers(node: &mut NodeView) {
    for (service, router) in node.services.iter().zip(&mut node.routers) {
        let ready = node.view.ready(service);
        let picked = MemberSubset::default().pick(&node.vm, &node.centre, ready);
        for member in picked {
            let target = RouteTarget {
                centre: member.centre.clone(),
                slots: member.slots,
            };
            router.upsert(member.vm.clone(), target);
        }
    }
}
