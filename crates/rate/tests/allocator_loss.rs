//! Checks that teams within their rates are refused only briefly when an allocator is lost.

mod support;

use lentilshift_rate::{RateSettings, TeamLimiter};
use model::{CentreName, VmName};
use rstest::rstest;
use support::simulation::{Faults, Simulation, TeamLoad, WARM_UP_MS};

/// The longest time for which requests of teams within their rates may be refused, in milliseconds.
const MAX_REFUSAL_MS: u64 = 1_000;
/// The time after which the fleet must have settled again, in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// Teams at half of their rates, as the remaining data centres allocate two thirds of the rates.
const LOADS: [(&str, TeamLoad); 3] = [
    ("large", TeamLoad::steady(2_000, 2_000, 1_000, 12)),
    ("small", TeamLoad::steady(20, 20, 10, 2)),
    ("single", TeamLoad::steady(50, 40, 25, 1)),
];

fn limiter(vm: VmName, centre: CentreName) -> TeamLimiter {
    TeamLimiter::new(vm, centre, RateSettings::default())
}

fn simulation(seed: u64, centres: usize) -> Simulation<TeamLimiter> {
    let mut simulation = Simulation::new(seed, 0, &LOADS, Faults::default(), limiter);
    for index in 0..12 {
        simulation.start(CentreName::new(format!("dc-{}", index % centres)));
    }
    simulation.run_until(2 * WARM_UP_MS + seed * 733);
    simulation
}

fn allocators(simulation: &Simulation<TeamLimiter>) -> Vec<VmName> {
    let held = simulation
        .nodes()
        .filter(|(_, node, now)| node.allocated_slots(*now) > 0);
    held.map(|(vm, ..)| vm.clone()).collect()
}

/// Counts the wrongful refusals from `since` on and the time until the last of them.
fn refusals(simulation: &Simulation<TeamLimiter>, since: u64) -> (usize, u64) {
    let wrongful = simulation.teams.values().flat_map(|team| &team.wrongful);
    let times_ms: Vec<u64> = wrongful.copied().filter(|at| *at >= since).collect();
    let last_ms = times_ms.iter().max().map_or(0, |last| last - since);
    (times_ms.len(), last_ms)
}

#[derive(Clone, Copy, Debug)]
enum Loss {
    Kill,
    Pause,
}

#[rstest]
fn lost_allocator_causes_only_brief_refusals(
    #[values(1, 3)] centres: usize,
    #[values(Loss::Kill, Loss::Pause)] loss: Loss,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut simulation = simulation(seed, centres);
    let lost = allocators(&simulation)[0].clone();
    let since = simulation.now;
    match loss {
        Loss::Kill => simulation.kill(&lost, SETTLE_MS),
        Loss::Pause => simulation.pause(&lost, since + SETTLE_MS),
    }
    simulation.run_until(since + SETTLE_MS);
    let (count, last_ms) = refusals(&simulation, since);
    println!("centres={centres} {loss:?} seed={seed} refused={count} for_ms={last_ms}");
    assert_eq!(simulation.excess(), 0);
    assert!(
        last_ms <= MAX_REFUSAL_MS,
        "{count} refused for {last_ms} ms"
    );
}
