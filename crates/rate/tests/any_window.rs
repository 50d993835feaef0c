//! No team exceeds its rate and burst in any window, whatever fails.

mod support;

use lentilshift_rate::{RateSettings, TeamLimiter, TeamRate};
use model::{CentreName, VmName};
use rstest::rstest;
use support::naive::{FailoverNode, GossipNode};
use support::world::{Faults, TeamLoad, World};
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
const LOADS: [(&str, TeamLoad); 3] = [("large", LARGE), ("small", SMALL), ("changing", LARGE)];

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

fn run<N: SimNode>(seed: u64, faults: Faults, make: fn(VmName, CentreName) -> N) -> World<N> {
    let mut world = World::new(seed, 12, &LOADS, faults, make);
    world.run_until(END_MS);
    world
}

#[test]
fn limiter_never_exceeds_under_all_faults() {
    let (mut exact, mut short, mut admitted) = (0, 0, 0);
    let mut failed = Vec::new();
    for seed in 0..seeds(12) {
        let world = run(seed, Faults::ALL, limiter);
        if world.excess() > 0 {
            failed.push((seed, world.excess()));
        }
        let (own_exact, own_short) = world.shortfall(&std::collections::BTreeSet::new());
        exact += own_exact;
        short += own_short;
        admitted += world
            .teams
            .values()
            .map(|team| team.admitted.len())
            .sum::<usize>();
    }
    println!("admitted={admitted} exact={exact} short={short} failed={failed:?}");
    assert!(failed.is_empty(), "seeds and their excess: {failed:?}");
    assert!(
        short * 100 <= exact * 15,
        "{short} of {exact} were refused wrongly"
    );
}

#[rstest]
#[case::kills_and_pauses(Faults { contract_changes: 0, cuts: 0, log_outages: 0, ..Faults::ALL })]
#[case::log_and_cuts(Faults { kills: 0, pauses: 0, contract_changes: 0, ..Faults::ALL })]
#[case::contract_changes(Faults { contract_changes: 1_000, ..Faults::default() })]
fn limiter_never_exceeds(#[case] faults: Faults) {
    for seed in 0..seeds(4) {
        assert_eq!(run(seed, faults, limiter).excess(), 0, "seed {seed}");
    }
}

#[test]
fn naive_counters_exceed_when_a_centre_is_cut_off() {
    let faults = Faults {
        cuts: 200,
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
