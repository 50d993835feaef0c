//! Teams within their rates when an allocator is lost.

mod support;

use lentilshift_rate::{RateSettings, TeamLimiter};
use model::{CentreName, VmName};
use rstest::rstest;
use support::world::{Faults, TeamLoad, WARM_UP_MS, World};

/// The longest time for which teams within their rates are refused anything, in milliseconds.
const REFUSED_MS: u64 = 1_000;
/// The time after which a fleet has surely settled again, in milliseconds.
const AFTER_MS: u64 = 30_000;

/// Teams at half of their rates, as the data centres that are left have two thirds of them.
const LOADS: [(&str, TeamLoad); 3] = [
    ("large", TeamLoad::steady(2_000, 2_000, 1_000, 12)),
    ("small", TeamLoad::steady(20, 20, 10, 2)),
    ("single", TeamLoad::steady(50, 40, 25, 1)),
];

fn limiter(vm: VmName, centre: CentreName) -> TeamLimiter {
    TeamLimiter::new(vm, centre, RateSettings::default())
}

fn world(seed: u64, centres: usize) -> World<TeamLimiter> {
    let mut world = World::new(seed, 0, &LOADS, Faults::default(), limiter);
    for index in 0..12 {
        world.start(CentreName::new(format!("dc-{}", index % centres)));
    }
    world.run_until(2 * WARM_UP_MS + seed * 733);
    world
}

fn allocators(world: &World<TeamLimiter>) -> Vec<VmName> {
    let held = world
        .nodes()
        .filter(|(_, node, now)| node.allocated_slots(*now) > 0);
    held.map(|(vm, ..)| vm.clone()).collect()
}

/// Counts the wrongful refusals from `since` on and the time until the last of them.
fn refusals(world: &World<TeamLimiter>, since: u64) -> (usize, u64) {
    let wrongful = world.teams.values().flat_map(|team| &team.wrongful);
    let late: Vec<u64> = wrongful.copied().filter(|at| *at >= since).collect();
    let last_ms = late.iter().max().map_or(0, |last| last - since);
    (late.len(), last_ms)
}

#[derive(Clone, Copy, Debug)]
enum Loss {
    Kill,
    Pause,
}

#[rstest]
fn lost_allocator_is_felt_briefly(
    #[values(1, 3)] centres: usize,
    #[values(Loss::Kill, Loss::Pause)] loss: Loss,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut world = world(seed, centres);
    let lost = allocators(&world)[0].clone();
    let since = world.now;
    match loss {
        Loss::Kill => world.kill(&lost, AFTER_MS),
        Loss::Pause => world.pause(&lost, since + AFTER_MS),
    }
    world.run_until(since + AFTER_MS);
    let (count, last_ms) = refusals(&world, since);
    println!("centres={centres} {loss:?} seed={seed} refused={count} for_ms={last_ms}");
    assert_eq!(world.excess(), 0);
    assert!(last_ms <= REFUSED_MS, "{count} refused for {last_ms} ms");
}
