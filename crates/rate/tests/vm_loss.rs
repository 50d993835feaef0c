//! Checks that teams within their rates are refused only briefly when VMs are lost for good, while
//! records are read back from the log a second or more after they were appended.

mod support;

use lentilshift_rate::{LeaseRecord, RateRecord, TeamLimiter};
use model::{CentreName, VmName};
use rstest::rstest;
use support::simulation::{Faults, Simulation, TeamLoad, WARM_UP_MS};

/// The longest time for which requests of teams within their rates may be refused, in milliseconds.
const MAX_REFUSAL_MS: u64 = 1_000;
/// The time for which the fleet is observed after the loss, in milliseconds.
const OBSERVED_MS: u64 = 30_000;
/// The bounds of the time between two reads of the log, in milliseconds.
const READ_INTERVAL_MS: (u64, u64) = (1_000, 1_500);

/// Teams far within their rates, so that any one data centre's share is enough.
const LOADS: [(&str, TeamLoad); 2] = [
    ("large", TeamLoad::steady(1_000, 1_000, 100, usize::MAX)),
    ("small", TeamLoad::steady(100, 50, 10, 2)),
];

/// The VMs that are lost at once.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Allocator,
    Successor,
    Other,
    Third,
    AllButOne,
    Centre,
}

fn limiter(vm: VmName, centre: CentreName) -> TeamLimiter {
    TeamLimiter::new(vm, centre, support::platform_settings())
}

/// Returns the newest lease of the first data centre.
fn newest_lease(simulation: &Simulation<TeamLimiter>) -> LeaseRecord {
    let leases = simulation.records().filter_map(|record| match record {
        RateRecord::Lease(lease) if lease.centre.as_str() == "dc-0" => Some(lease),
        _ => None,
    });
    leases.last().unwrap().clone()
}

fn lost_vms(simulation: &Simulation<TeamLimiter>, loss: Loss) -> Vec<VmName> {
    let lease = newest_lease(simulation);
    let holder = lease.holder.clone().unwrap();
    let mut vms: Vec<VmName> = simulation.nodes().map(|(vm, ..)| vm.clone()).collect();
    let is_named = |vm: &VmName| *vm == holder || lease.successors.contains(vm);
    match loss {
        Loss::Allocator => vec![holder],
        Loss::Successor => lease.successors[..1].to_vec(),
        Loss::Other => vec![vms.into_iter().find(|vm| !is_named(vm)).unwrap()],
        Loss::Third => {
            vms.sort_by_key(|vm| !is_named(vm));
            vms.truncate(vms.len().div_ceil(3));
            vms
        }
        Loss::AllButOne => {
            vms.pop();
            vms
        }
        Loss::Centre => simulation.vms_of("dc-0"),
    }
}

#[rstest]
#[case::pair_loses_its_allocator((2, 1), Loss::Allocator)]
#[case::pair_loses_its_successor((2, 1), Loss::Successor)]
#[case::three_lose_their_allocator((3, 1), Loss::Allocator)]
#[case::three_lose_a_successor((3, 1), Loss::Successor)]
#[case::three_lose_all_but_one((3, 1), Loss::AllButOne)]
#[case::five_lose_their_allocator((5, 1), Loss::Allocator)]
#[case::five_lose_a_successor((5, 1), Loss::Successor)]
#[case::five_lose_another((5, 1), Loss::Other)]
#[case::five_lose_a_third((5, 1), Loss::Third)]
#[case::five_lose_all_but_one((5, 1), Loss::AllButOne)]
#[case::nine_lose_their_allocator((9, 1), Loss::Allocator)]
#[case::nine_lose_a_successor((9, 1), Loss::Successor)]
#[case::nine_lose_another((9, 1), Loss::Other)]
#[case::nine_lose_a_third((9, 1), Loss::Third)]
#[case::nine_lose_all_but_one((9, 1), Loss::AllButOne)]
#[case::fifteen_lose_an_allocator((15, 3), Loss::Allocator)]
#[case::fifteen_lose_a_third((15, 3), Loss::Third)]
#[case::fifteen_lose_a_centre((15, 3), Loss::Centre)]
#[case::fifteen_lose_all_but_one((15, 3), Loss::AllButOne)]
#[case::large_fleet_loses_an_allocator((95, 5), Loss::Allocator)]
#[case::large_fleet_loses_a_third((95, 5), Loss::Third)]
#[case::large_fleet_loses_a_centre((95, 5), Loss::Centre)]
fn lost_vms_cause_only_brief_refusals(#[case] fleet: (usize, usize), #[case] loss: Loss) {
    let mut longest_ms = 0;
    for seed in 1..=support::seeds(3) {
        let mut simulation =
            Simulation::with_centres(seed, fleet, &LOADS, Faults::default(), limiter);
        simulation.read_interval_ms = READ_INTERVAL_MS;
        simulation.run_until(2 * WARM_UP_MS + seed * 733);
        let since = simulation.now;
        simulation.kill_at_once(&lost_vms(&simulation, loss), 10 * OBSERVED_MS);
        simulation.run_until(since + OBSERVED_MS);
        let wrongful = simulation.teams.values().flat_map(|team| &team.wrongful);
        let refused: Vec<u64> = wrongful.copied().filter(|at| *at >= since).collect();
        let last_ms = refused.iter().max().map_or(0, |last| last - since);
        println!(
            "fleet={fleet:?} {loss:?} seed={seed} refused={} for_ms={last_ms}",
            refused.len()
        );
        assert_eq!(simulation.excess(), 0);
        longest_ms = longest_ms.max(last_ms);
    }
    assert!(longest_ms <= MAX_REFUSAL_MS, "refused for {longest_ms} ms");
}
