//! Checks that no team exceeds its rate and burst in any window of time, under random faults.

mod support;

use std::collections::BTreeSet;

use lentilshift_rate::{RateSettings, TeamLimiter, TeamRate};
use model::{CentreName, VmName};
use rstest::rstest;
use support::naive::{FailoverNode, GossipNode};
use support::simulation::{Faults, Simulation, TeamLoad};
use support::{SimNode, seeds};

const END_MS: u64 = 60_000;
const LARGE: TeamLoad = TeamLoad {
    rate: TeamRate {
        rate_per_s: 300,
        burst: 150,
    },
    sent_per_s: 1_200,
    on_ms: 2_000,
    period_ms: 3_000,
    vms: 12,
};
const SMALL: TeamLoad = TeamLoad {
    rate: TeamRate {
        rate_per_s: 20,
        burst: 40,
    },
    sent_per_s: 800,
    on_ms: 300,
    period_ms: 4_000,
    vms: 2,
};
const MOVING: TeamLoad = TeamLoad {
    rate: TeamRate {
        rate_per_s: 200,
        burst: 60,
    },
    ..LARGE
};
const LOADS: [(&str, TeamLoad); 4] = [
    ("large", LARGE),
    ("small", SMALL),
    ("changing", LARGE),
    ("moving", MOVING),
];

fn limiter(vm: VmName, centre: CentreName) -> TeamLimiter {
    let settings = RateSettings {
        lease_ms: 3_000,
        promise_ms: 1_000,
        abandon_ms: 12_000,
        successors: 1,
        ..RateSettings::default()
    };
    TeamLimiter::new(vm, centre, settings)
}

fn run<N: SimNode>(seed: u64, faults: Faults, make: fn(VmName, CentreName) -> N) -> Simulation<N> {
    let mut simulation = Simulation::new(seed, 12, &LOADS, faults, make);
    simulation.run_until(END_MS);
    simulation
}

/// The faults under which wrongful refusals are bounded.
const BOUNDED: Faults = Faults {
    contract_changes: 0,
    log_outages: 0,
    node_log_outages: 0,
    ..Faults::ALL
};
/// The bound under these faults, as a percentage of what the exact bucket admits.
const BOUNDED_PER_CENT: u64 = 15;

/// Runs `count` seeds, checks every window, and returns what the exact bucket admits and how many
/// fewer the limiter does.
fn check(count: u64, faults: Faults) -> (u64, u64) {
    let (mut exact, mut short, mut admitted) = (0, 0, 0);
    let mut failed = Vec::new();
    for seed in 0..count {
        let simulation = run(seed, faults, limiter);
        if simulation.excess() > 0 {
            failed.push((seed, simulation.excess()));
        }
        let (own_exact, own_short) = simulation.shortfall(&BTreeSet::new());
        exact += own_exact;
        short += own_short;
        admitted += simulation
            .teams
            .values()
            .map(|team| team.admitted.len())
            .sum::<usize>();
    }
    println!("seeds={count} admitted={admitted} exact={exact} short={short} {faults:?}");
    assert!(failed.is_empty(), "seeds and their excess: {failed:?}");
    (exact, short)
}

#[test]
fn limiter_refuses_few_under_bounded_faults() {
    let (exact, short) = check(seeds(6), BOUNDED);
    assert!(
        short * 100 <= exact * BOUNDED_PER_CENT,
        "{short} of {exact}"
    );
}

#[rstest]
#[case::all(Faults::ALL)]
#[case::centres_come_and_go(Faults { centre_kills: 60, pauses: 300, delayed: 20_000, ..Faults::default() })]
#[case::kills_and_pauses(Faults { contract_changes: 0, partitions: 0, log_outages: 0, ..Faults::ALL })]
#[case::log_and_cuts(Faults { kills: 0, pauses: 0, contract_changes: 0, ..Faults::ALL })]
#[case::contract_changes(Faults { contract_changes: 1_000, ..Faults::default() })]
#[case::shares_move(Faults { contract_changes: 200, node_log_outages: 1_000, pauses: 300, ..Faults::default() })]
fn limiter_never_exceeds(#[case] faults: Faults) {
    check(seeds(3), faults);
}

#[test]
fn naive_counters_exceed_when_a_centre_is_partitioned() {
    let faults = Faults {
        partitions: 200,
        ..Faults::default()
    };
    assert!(run(1, faults, GossipNode::new).excess() > 0);
    assert_eq!(run(1, faults, limiter).excess(), 0);
}

#[test]
fn naive_failover_exceeds_when_the_holder_is_paused() {
    let faults = Faults {
        pauses: 600,
        ..Faults::default()
    };
    assert!(run(1, faults, FailoverNode::new).excess() > 0);
    assert_eq!(run(1, faults, limiter).excess(), 0);
}

#[rstest]
#[case::all(Faults::ALL)]
#[case::kills(Faults { kills: 1_000, pauses: 1_000, contract_changes: 1_000, delayed: 20_000, ..Faults::default() })]
#[case::centres_come_and_go(Faults { centre_kills: 300, node_log_outages: 1_000, ..Faults::default() })]
fn limiter_never_exceeds_from_the_first_millisecond(#[case] faults: Faults) {
    for seed in 0..seeds(10) {
        let mut simulation = Simulation::new(seed, 12, &LOADS, faults, limiter);
        simulation.traffic_from = 0;
        simulation.run_until(10_000);
        assert_eq!(simulation.excess(), 0, "seed {seed}");
    }
}
