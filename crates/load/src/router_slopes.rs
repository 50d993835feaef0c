use std::time::Instant;

use clock::ClockTime;
use member::{MemberAnnouncement, MemberSettings, MemberState, MemberSubset, MemberView};
use model::{CentreName, ServiceName, VmName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{RouteSettings, RouteTarget, VmRouter};

use crate::load_error::LoadError;
use crate::node_child::resident_kb;

/// The services of the fleet, by size.
const SERVICES: [usize; 4] = [50, 130, 265, 530];
/// The VMs of each service, about.
const VMS_PER_SERVICE: f64 = 4_000.0 / 530.0;
/// The data centres.
const CENTRES: usize = 7;
/// The times that each operation is repeated.
const ROUNDS: u32 = 20;
/// The period between two looks at the members, in milliseconds.
const MEMBER_TICK_MS: f64 = 250.0;

/// Measures what routers to all services cost a node, by size of the fleet.
pub(crate) fn measure(repeats: u32) -> Result<(), LoadError> {
    println!(
        "| run | services | members | routers kB | expiry us | put of all members us | look at all routers us | both looks, % of a core | choice ns |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for run in 1..=repeats {
        for services in SERVICES {
            measure_size(run, services)?;
        }
    }
    Ok(())
}

/// A node's view of the fleet, and its routers.
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
    let mut node = new_view(services, members);
    let before = resident_kb("self")?;
    put_members(&mut node);
    let routers_kb = resident_kb("self")?.saturating_sub(before);
    let expiry_us = time_us(|round| {
        node.view.advance_to(ClockTime::from_ms(u64::from(round)));
    });
    let put_us = time_us(|_| put_members(&mut node));
    let look_us = time_us(|round| {
        let now = ClockTime::from_ms(u64::from(round));
        node.routers.iter_mut().for_each(|router| router.tick(now));
    });
    let mut random = SmallRng::seed_from_u64(1);
    let rounds_us = time_us(|round| {
        let now = ClockTime::from_ms(u64::from(round));
        for router in &mut node.routers {
            std::hint::black_box(router.choose(now, &mut random, &[]));
        }
    });
    let share = (expiry_us + look_us) / (MEMBER_TICK_MS * 1_000.0) * 100.0;
    let choice_ns = rounds_us * 1_000.0 / services as f64;
    println!(
        "| {run} | {services} | {members} | {routers_kb} | {expiry_us:.0} | {put_us:.0} | {look_us:.0} | {share:.3} | {choice_ns:.0} |"
    );
    Ok(())
}

fn time_us(mut work: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    (0..ROUNDS).for_each(&mut work);
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn new_view(services: usize, members: usize) -> NodeView {
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
        centre: CentreName::new(format!("dc-{}", index % CENTRES)),
        service: service(index % services),
        peer_addr: ([10, 0, 0, 1], 7_000).into(),
        slots: 65,
        incarnation: 1,
        sequence: 1,
        state: MemberState::Ready,
        valid_ms: 2_400_000,
    }
}

/// Brings all routers in line with the members, as a node does when members change.
fn put_members(node: &mut NodeView) {
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
