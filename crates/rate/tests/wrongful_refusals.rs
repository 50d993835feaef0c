//! Counts the refused requests that a single exact token bucket would admit.

mod support;

use std::collections::BTreeSet;

use lentilshift_rate::{RateSettings, TeamLimiter};
use model::{CentreName, TeamName, VmName};
use rstest::rstest;
use support::SimNode;
use support::naive::FixedNode;
use support::simulation::{Faults, Simulation, TeamLoad, WARM_UP_MS};

const VMS: usize = 15;
const LARGE_VMS: usize = 95;
/// The bound for teams within their rates, in thousandths of what the exact bucket admits.
const WITHIN_RATE_PER_MILLE: u64 = 1;
/// The bound for teams above their rates, in thousandths of what the exact bucket admits.
const ABOVE_RATE_PER_MILLE: u64 = 20;

fn limiter(vm: VmName, centre: CentreName) -> TeamLimiter {
    TeamLimiter::new(vm, centre, RateSettings::default())
}

const WITHIN: [(&str, TeamLoad); 4] = [
    ("large", TeamLoad::steady(2_000, 1_000, 1_800, VMS)),
    ("middle", TeamLoad::steady(200, 100, 180, VMS)),
    ("small", TeamLoad::steady(20, 20, 15, 2)),
    ("single", TeamLoad::steady(50, 40, 40, 1)),
];
const ABOVE: [(&str, TeamLoad); 3] = [
    ("large", TeamLoad::steady(2_000, 1_000, 6_000, VMS)),
    ("middle", TeamLoad::steady(200, 100, 800, VMS)),
    ("single", TeamLoad::steady(50, 40, 400, 1)),
];

fn shortfall<N: SimNode>(
    loads: &[(&str, TeamLoad)],
    end_ms: u64,
    outage_ms: u64,
    make: fn(VmName, CentreName) -> N,
) -> (u64, u64) {
    let mut simulation = Simulation::new(7, VMS, loads, Faults::default(), make);
    simulation.run_until(WARM_UP_MS);
    simulation.log_outage_until = simulation.now + outage_ms;
    simulation.run_until(end_ms);
    for (team, outcome) in &simulation.teams {
        println!(
            "team={team} exact={} admitted={}",
            outcome.exact_admitted,
            outcome.admitted.len()
        );
    }
    assert_eq!(simulation.excess(), 0);
    let (exact, short) = simulation.shortfall(&BTreeSet::new());
    println!(
        "exact={exact} short={short} messages={}",
        simulation.messages
    );
    (exact, short)
}

#[rstest]
#[case::within_rate(&WITHIN, 0, WITHIN_RATE_PER_MILLE)]
#[case::above_rate(&ABOVE, 0, ABOVE_RATE_PER_MILLE)]
#[case::within_rate_log_out(&WITHIN, 60_000, WITHIN_RATE_PER_MILLE)]
fn limiter_refuses_few(
    #[case] loads: &[(&str, TeamLoad)],
    #[case] outage_ms: u64,
    #[case] bound_per_mille: u64,
) {
    let (exact, short) = shortfall(loads, 60_000, outage_ms, limiter);
    assert!(
        short * 1_000 <= exact * bound_per_mille,
        "{short} of {exact}"
    );
}

/// Many small teams, a few medium ones and two large ones, as on a fleet of 95 nodes in five data
/// centres at 1.4 times its usual load.
fn many_teams() -> Vec<(String, TeamLoad)> {
    let load = |index: usize| match index {
        0..2 => TeamLoad::steady(200, 200, 150, LARGE_VMS),
        2..10 => TeamLoad::steady(17, 17, 14, LARGE_VMS),
        _ => TeamLoad::steady(5, 5, 4, LARGE_VMS),
    };
    (0..90)
        .map(|index| (format!("team-{index:02}"), load(index)))
        .collect()
}

#[rstest]
fn large_fleet_refuses_few_requests_of_ninety_teams(#[values(1, 2, 3)] seed: u64) {
    let teams = many_teams();
    let loads: Vec<(&str, TeamLoad)> = teams.iter().map(|(name, load)| (&**name, *load)).collect();
    let size = (LARGE_VMS, 5);
    let mut simulation =
        Simulation::with_centres(seed, size, &loads, Faults::default(), short_wait_limiter);
    simulation.run_until(WARM_UP_MS + 30_000);
    assert_eq!(simulation.excess(), 0);
    let (exact, short) = simulation.shortfall(&BTreeSet::new());
    println!(
        "exact={exact} short={short} messages={}",
        simulation.messages
    );
    assert!(
        short * 1_000 <= exact * WITHIN_RATE_PER_MILLE,
        "{short} of {exact}"
    );
}

/// A limiter with the shorter token wait that fleets are configured with.
fn short_wait_limiter(vm: VmName, centre: CentreName) -> TeamLimiter {
    let settings = RateSettings {
        wait_ms: 250,
        ..RateSettings::default()
    };
    TeamLimiter::new(vm, centre, settings)
}

#[test]
fn naive_fixed_shares_refuse_many() {
    let (exact, short) = shortfall(&WITHIN, 30_000, 0, FixedNode::new);
    assert!(
        short * 1_000 > exact * WITHIN_RATE_PER_MILLE,
        "{short} of {exact}"
    );
}

fn admitted_of_whole_burst<N: SimNode>(make: fn(VmName, CentreName) -> N) -> usize {
    let loads = [("quiet", TeamLoad::steady(1, 40, 0, 1))];
    let mut simulation = Simulation::new(3, VMS, &loads, Faults::default(), make);
    simulation.run_until(WARM_UP_MS + 60_000);
    let team = TeamName::new("quiet");
    let vm = simulation.vm_in("dc-1");
    for _ in 0..40 {
        simulation.request(&vm, &team);
    }
    simulation.run_until(simulation.now + 30);
    simulation.teams[&team].admitted.len()
}

#[test]
fn one_vm_reaches_the_whole_burst() {
    assert!(admitted_of_whole_burst(FixedNode::new) < 40);
    assert_eq!(admitted_of_whole_burst(limiter), 40);
}

#[rstest]
fn whole_burst_is_admitted_behind_a_token_request(
    #[values("dc-0", "dc-1", "dc-2")] centre: &str,
    #[values(1, 2, 3)] seed: u64,
    #[values(10, 50)] poll_every_ms: u64,
) {
    let loads = [("quiet", TeamLoad::steady(1, 40, 0, 1))];
    let mut simulation = Simulation::new(seed, VMS, &loads, Faults::default(), limiter);
    simulation.run_until(WARM_UP_MS + 60_000);
    simulation.poll_every_ms = poll_every_ms;
    let team = TeamName::new("quiet");
    // An allocator sends no token requests for tokens that it allocates itself.
    let vm = simulation.vm_in_where(centre, |node, now| node.allocated_slots(now) == 0);
    let sent = simulation.messages;
    for _ in 0..40 {
        simulation.request(&vm, &team);
        simulation.poll(&vm);
    }
    assert!(simulation.messages > sent);
    simulation.run_until(simulation.now + 30);
    assert_eq!(simulation.teams[&team].admitted.len(), 40);
}

#[rstest]
fn fresh_fleet_admits_the_whole_burst_at_once(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let loads = [("quiet", TeamLoad::steady(1, 40, 0, 1))];
    let mut simulation = Simulation::new(seed, VMS, &loads, Faults::default(), limiter);
    while !simulation.nodes().all(|(_, node, _)| node.is_served()) {
        simulation.run_until(simulation.now + 1);
        assert!(simulation.now < WARM_UP_MS);
    }
    let team = TeamName::new("quiet");
    let vm = simulation.vm_in("dc-1");
    for _ in 0..40 {
        simulation.request(&vm, &team);
    }
    simulation.run_until(simulation.now + 30);
    assert_eq!(simulation.teams[&team].admitted.len(), 40);
}
