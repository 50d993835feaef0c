//! Schedules written out in full: tables that change, holders that pause, fleets replaced at once.

mod support;

use lentilshift_rate::{RateRecord, RateSettings, TeamLimiter, TeamRate};
use model::{CentreName, TeamName, VmName};
use rstest::rstest;
use support::excess;
use support::world::{Faults, TeamLoad, WARM_UP_MS, World};

const ABANDON_MS: u64 = 12_000;
const BURST: u32 = 100;
const TEAM: &str = "team";

fn limiter(vm: VmName, centre: CentreName) -> TeamLimiter {
    let settings = RateSettings {
        lease_ms: 3_000,
        promise_ms: 1_000,
        abandon_ms: ABANDON_MS,
        successors: 1,
        ..RateSettings::default()
    };
    TeamLimiter::new(vm, centre, settings)
}

fn world(seed: u64, vms: usize, sent_per_s: u32) -> World<TeamLimiter> {
    world_at(50, seed, vms, sent_per_s)
}

fn world_at(rate_per_s: u32, seed: u64, vms: usize, sent_per_s: u32) -> World<TeamLimiter> {
    let load = TeamLoad::steady(rate_per_s, BURST, sent_per_s, 100);
    World::new(seed, vms, &[(TEAM, load)], Faults::default(), limiter)
}

fn allocators(world: &World<TeamLimiter>) -> Vec<VmName> {
    let held = world
        .nodes()
        .filter(|(_, node, now)| node.allocated_slots(*now) > 0);
    held.map(|(vm, ..)| vm.clone()).collect()
}

/// Sends twice the burst at every node.
fn burst_everywhere(world: &mut World<TeamLimiter>) {
    let vms: Vec<VmName> = world.nodes().map(|(vm, ..)| vm.clone()).collect();
    for vm in &vms {
        for _ in 0..2 * BURST {
            world.request(vm, &TeamName::new(TEAM));
        }
    }
    world.run_until(world.now + 30);
}

fn admitted(world: &World<TeamLimiter>) -> usize {
    world.teams[&TeamName::new(TEAM)].admitted.len()
}

#[rstest]
fn share_of_a_new_centre_waits_for_an_allocator_that_reads_late(#[values(1, 2, 3)] seed: u64) {
    let mut world = world(seed, 1, 0);
    world.start(CentreName::new("dc-0"));
    world.start(CentreName::new("dc-0"));
    world.run_until(WARM_UP_MS);
    let late = allocators(&world);
    assert_eq!(late.len(), 1);
    world.start(CentreName::new("dc-1"));
    world.start(CentreName::new("dc-1"));
    let is_second =
        |record: &RateRecord| matches!(record, RateRecord::Table(table) if table.epoch == 2);
    while !world.records().any(is_second) {
        world.run_until(world.now + 1);
    }
    world.cut_from_log(&late[0], world.now + 60_000);
    world.run_until(world.now + 8_000);
    assert_eq!(allocators(&world).len(), 2);
    burst_everywhere(&mut world);
    assert!(admitted(&world) >= BURST as usize);
    assert_eq!(world.excess(), 0);
    world.run_until(world.now + 2 * ABANDON_MS);
    burst_everywhere(&mut world);
    assert_eq!(world.excess(), 0);
}

#[rstest]
fn first_lease_of_a_later_centre_begins_empty(#[values(1, 2, 3)] seed: u64) {
    let mut world = world_at(2, seed, 1, 0);
    world.start(CentreName::new("dc-0"));
    world.run_until(WARM_UP_MS + 60_000);
    let is_second =
        |record: &RateRecord| matches!(record, RateRecord::Table(table) if table.epoch == 2);
    world.start(CentreName::new("dc-1"));
    let vm = world.vm_in("dc-1");
    while !world.records().any(is_second) {
        world.run_until(world.now + 1);
    }
    world.pause(&vm, world.now + 3_000);
    burst_everywhere(&mut world);
    assert_eq!(admitted(&world), BURST as usize);
    while allocators(&world).len() < 2 {
        world.run_until(world.now + 1);
    }
    burst_everywhere(&mut world);
    assert_eq!(world.excess(), 0);
}

#[rstest]
fn paused_holder_grants_nothing_after_its_lease_moved(#[values(1, 2, 3)] seed: u64) {
    let mut world = world(seed, 6, 0);
    world.run_until(WARM_UP_MS);
    let paused = allocators(&world);
    let wakes_at = world.now + 10_000;
    for vm in &paused {
        world.pause(vm, wakes_at);
    }
    world.run_until(wakes_at - 100);
    assert!(allocators(&world).iter().any(|vm| !paused.contains(vm)));
    burst_everywhere(&mut world);
    world.run_until(wakes_at);
    burst_everywhere(&mut world);
    assert!(admitted(&world) > 0);
    assert_eq!(world.excess(), 0);
}

#[rstest]
fn fleet_replaced_at_once_holds_no_token_twice(#[values(1, 2, 3)] seed: u64) {
    let mut world = world(seed, 6, 0);
    world.run_until(WARM_UP_MS);
    burst_everywhere(&mut world);
    assert_eq!(admitted(&world), BURST as usize);
    let vms: Vec<VmName> = world.nodes().map(|(vm, ..)| vm.clone()).collect();
    for vm in &vms {
        world.kill(vm, 0);
    }
    for _ in 0..400 {
        world.run_until(world.now + 70);
        burst_everywhere(&mut world);
    }
    assert!(admitted(&world) > 2 * BURST as usize);
    assert_eq!(world.excess(), 0);
}

/// The time until a new contract reaches every node here, in milliseconds.
const CONTRACT_MS: u64 = 3_000;
/// The time from then until it holds everywhere, in milliseconds: the next look at tables, an
/// append, the next read of the log and the life of a grant.
const LOWERED_MS: u64 = 100 + 20 + 80 + 1_000 + 10;

#[rstest]
fn lowered_rate_holds_within_its_time(#[values(1, 2, 3)] seed: u64) {
    let mut world = world(seed, 12, 400);
    world.run_until(2 * WARM_UP_MS);
    let lower = TeamRate {
        rate_per_s: 5,
        burst: 10,
    };
    let team = TeamName::new(TEAM);
    let mut contract = world.contract();
    world.set_rate(&mut contract, &team, lower);
    world.run_until(world.now + CONTRACT_MS + LOWERED_MS);
    let before = admitted(&world);
    world.run_until(world.now + 20_000);
    let after = &world.teams[&team].admitted[before..];
    assert!(!after.is_empty());
    assert_eq!(excess(lower, after), 0);
}
