//! Checks fixed schedules: changes of tables, pauses of lease holders and replacement of a fleet.

mod support;

use lentilshift_rate::{RateRecord, RateSettings, TeamLimiter, TeamRate};
use model::{CentreName, TeamName, VmName};
use rstest::rstest;
use support::excess;
use support::simulation::{Faults, Simulation, TeamLoad, WARM_UP_MS};

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

fn simulation(seed: u64, vms: usize, sent_per_s: u32) -> Simulation<TeamLimiter> {
    simulation_at(50, seed, vms, sent_per_s)
}

fn simulation_at(
    rate_per_s: u32,
    seed: u64,
    vms: usize,
    sent_per_s: u32,
) -> Simulation<TeamLimiter> {
    let load = TeamLoad::steady(rate_per_s, BURST, sent_per_s, 100);
    Simulation::new(seed, vms, &[(TEAM, load)], Faults::default(), limiter)
}

fn allocators(simulation: &Simulation<TeamLimiter>) -> Vec<VmName> {
    let held = simulation
        .nodes()
        .filter(|(_, node, now)| node.allocated_slots(*now) > 0);
    held.map(|(vm, ..)| vm.clone()).collect()
}

/// Sends twice the burst to every node.
fn burst_everywhere(simulation: &mut Simulation<TeamLimiter>) {
    let vms: Vec<VmName> = simulation.nodes().map(|(vm, ..)| vm.clone()).collect();
    for vm in &vms {
        for _ in 0..2 * BURST {
            simulation.request(vm, &TeamName::new(TEAM));
        }
    }
    simulation.run_until(simulation.now + 30);
}

fn admitted(simulation: &Simulation<TeamLimiter>) -> usize {
    simulation.teams[&TeamName::new(TEAM)].admitted.len()
}

#[rstest]
fn new_share_waits_for_an_allocator_without_log(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = simulation(seed, 1, 0);
    simulation.start(CentreName::new("dc-0"));
    simulation.start(CentreName::new("dc-0"));
    simulation.run_until(WARM_UP_MS);
    let without_log = allocators(&simulation);
    assert_eq!(without_log.len(), 1);
    simulation.start(CentreName::new("dc-1"));
    simulation.start(CentreName::new("dc-1"));
    let is_second =
        |record: &RateRecord| matches!(record, RateRecord::Table(table) if table.epoch == 2);
    while !simulation.records().any(is_second) {
        simulation.run_until(simulation.now + 1);
    }
    simulation.cut_from_log(&without_log[0], simulation.now + 60_000);
    simulation.run_until(simulation.now + 8_000);
    assert_eq!(allocators(&simulation).len(), 2);
    burst_everywhere(&mut simulation);
    assert!(admitted(&simulation) >= BURST as usize);
    assert_eq!(simulation.excess(), 0);
    simulation.run_until(simulation.now + 2 * ABANDON_MS);
    burst_everywhere(&mut simulation);
    assert_eq!(simulation.excess(), 0);
}

#[rstest]
fn first_lease_of_a_new_centre_starts_empty(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = simulation_at(2, seed, 1, 0);
    simulation.start(CentreName::new("dc-0"));
    simulation.run_until(WARM_UP_MS + 60_000);
    let is_second =
        |record: &RateRecord| matches!(record, RateRecord::Table(table) if table.epoch == 2);
    simulation.start(CentreName::new("dc-1"));
    let vm = simulation.vm_in("dc-1");
    while !simulation.records().any(is_second) {
        simulation.run_until(simulation.now + 1);
    }
    simulation.pause(&vm, simulation.now + 3_000);
    burst_everywhere(&mut simulation);
    assert_eq!(admitted(&simulation), BURST as usize);
    while allocators(&simulation).len() < 2 {
        simulation.run_until(simulation.now + 1);
    }
    burst_everywhere(&mut simulation);
    assert_eq!(simulation.excess(), 0);
}

#[rstest]
fn paused_holder_grants_nothing_after_a_take_over(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = simulation(seed, 6, 0);
    simulation.run_until(WARM_UP_MS);
    let paused = allocators(&simulation);
    let resumes_at = simulation.now + 10_000;
    for vm in &paused {
        simulation.pause(vm, resumes_at);
    }
    simulation.run_until(resumes_at - 100);
    assert!(
        allocators(&simulation)
            .iter()
            .any(|vm| !paused.contains(vm))
    );
    burst_everywhere(&mut simulation);
    simulation.run_until(resumes_at);
    burst_everywhere(&mut simulation);
    assert!(admitted(&simulation) > 0);
    assert_eq!(simulation.excess(), 0);
}

#[rstest]
fn fleet_replaced_at_once_grants_no_token_twice(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = simulation(seed, 6, 0);
    simulation.run_until(WARM_UP_MS);
    burst_everywhere(&mut simulation);
    assert_eq!(admitted(&simulation), BURST as usize);
    let vms: Vec<VmName> = simulation.nodes().map(|(vm, ..)| vm.clone()).collect();
    for vm in &vms {
        simulation.kill(vm, 0);
    }
    for _ in 0..400 {
        simulation.run_until(simulation.now + 70);
        burst_everywhere(&mut simulation);
    }
    assert!(admitted(&simulation) > 2 * BURST as usize);
    assert_eq!(simulation.excess(), 0);
}

/// The longest delay until a new contract reaches every node in the simulation, in milliseconds.
const MAX_CONTRACT_DELAY_MS: u64 = 3_000;
/// The time from then until it is enforced everywhere, in milliseconds: the interval of table checks,
/// an append, the next read of the log and the lifetime of a grant.
const MAX_ENFORCEMENT_MS: u64 = 100 + 20 + 80 + 1_000 + 10;

#[rstest]
fn lowered_rate_is_enforced_in_time(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = simulation(seed, 12, 400);
    simulation.run_until(2 * WARM_UP_MS);
    let lower = TeamRate {
        rate_per_s: 5,
        burst: 10,
    };
    let team = TeamName::new(TEAM);
    let mut contract = simulation.contract();
    simulation.set_rate(&mut contract, &team, lower);
    simulation.run_until(simulation.now + MAX_CONTRACT_DELAY_MS + MAX_ENFORCEMENT_MS);
    let before = admitted(&simulation);
    simulation.run_until(simulation.now + 20_000);
    let after = &simulation.teams[&team].admitted[before..];
    assert!(!after.is_empty());
    assert_eq!(excess(lower, after), 0);
}
