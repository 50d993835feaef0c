//! Checks nodes that start after the first records of the stream have expired.

mod support;

use std::collections::BTreeSet;

use clock::ClockTime;
use lentilshift_rate::{
    RateDecision, RateMessage, RateRecord, RateSettings, TeamLimiter, TeamRate,
};
use model::{CentreName, TeamName, VmName};
use rstest::rstest;
use support::simulation::{Faults, Simulation, TeamLoad};
use support::{Contract, Members, SimAction, SimNode, seeds};

const RETAIN_MS: u64 = 6_000;
const LOADS: [(&str, TeamLoad); 2] = [("steady", load(300, 100)), ("changing", load(100, 50))];

const fn load(rate_per_s: u32, burst: u32) -> TeamLoad {
    TeamLoad {
        rate: TeamRate { rate_per_s, burst },
        sent_per_s: 600,
        on_ms: 2_000,
        period_ms: 3_000,
        vms: 12,
    }
}

fn limiter(vm: VmName, centre: CentreName) -> TeamLimiter {
    let settings = RateSettings {
        lease_ms: 3_000,
        promise_ms: 1_000,
        abandon_ms: 5_000,
        snapshot_ms: 1_500,
        successors: 1,
        ..RateSettings::default()
    };
    TeamLimiter::new(vm, centre, settings)
}

/// A limiter that ignores that records have expired.
struct NaiveReader(TeamLimiter);

impl SimNode for NaiveReader {
    type Message = RateMessage;

    fn admit(&mut self, now: ClockTime, team: &TeamName, is_first: bool) -> RateDecision {
        SimNode::admit(&mut self.0, now, team, is_first)
    }
    fn next_poll(&self) -> ClockTime {
        self.0.next_poll()
    }
    fn poll(&mut self, now: ClockTime, actions: &mut Vec<SimAction<RateMessage>>) {
        SimNode::poll(&mut self.0, now, actions);
    }
    fn receive(
        &mut self,
        now: ClockTime,
        from: &VmName,
        message: RateMessage,
        actions: &mut Vec<SimAction<RateMessage>>,
    ) {
        SimNode::receive(&mut self.0, now, from, message, actions);
    }
    fn set_members(&mut self, now: ClockTime, members: &Members) {
        SimNode::set_members(&mut self.0, now, members);
    }
    fn set_contract(&mut self, now: ClockTime, contract: &Contract, version: u64) {
        SimNode::set_contract(&mut self.0, now, contract, version);
    }
    fn receive_record(&mut self, now: ClockTime, offset: u64, record: &RateRecord) {
        self.0.receive_record(now, offset, record);
    }
    fn log_caught_up(&mut self, now: ClockTime) {
        self.0.log_caught_up(now);
    }
}

fn simulation<N: SimNode>(
    seed: u64,
    faults: Faults,
    make: fn(VmName, CentreName) -> N,
) -> Simulation<N> {
    let mut simulation = Simulation::new(seed, 12, &LOADS, faults, make);
    simulation.retain_ms = RETAIN_MS;
    simulation
}

/// Replaces all nodes one by one, and returns how many then have allocators and the admissions in
/// excess of the rates.
fn replace_all<N: SimNode>(
    make: fn(VmName, CentreName) -> N,
    is_served: fn(&N) -> bool,
) -> (usize, usize) {
    let mut simulation = simulation(1, Faults::default(), make);
    simulation.run_until(20_000);
    let vms: Vec<VmName> = simulation.nodes().map(|(vm, ..)| vm.clone()).collect();
    for vm in vms {
        simulation.kill(&vm, 0);
        simulation.run_until(simulation.now + 8_000);
    }
    simulation.run_until(simulation.now + 10_000);
    let served = simulation.nodes().filter(|(_, node, _)| is_served(node));
    (served.count(), simulation.excess())
}

#[test]
fn nodes_replaced_one_by_one_are_served() {
    let naive = |vm, centre| NaiveReader(limiter(vm, centre));
    let (_, excess) = replace_all(naive, |node| node.0.is_served());
    assert!(excess > 0);
    assert_eq!(replace_all(limiter, TeamLimiter::is_served), (12, 0));
}

#[rstest]
fn all_nodes_replaced_at_once_are_served(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = simulation(seed, Faults::default(), limiter);
    simulation.run_until(20_000);
    let vms: Vec<VmName> = simulation.nodes().map(|(vm, ..)| vm.clone()).collect();
    for vm in &vms[1..] {
        simulation.kill(vm, 0);
    }
    simulation.kill(&vms[0], 0);
    simulation.log_outage_until = simulation.now + 2 * RETAIN_MS;
    simulation.run_until(simulation.now + 50_000);
    assert_eq!(simulation.excess(), 0);
    assert!(simulation.nodes().all(|(_, node, _)| node.is_served()));
}

#[rstest]
#[case::all(Faults::ALL)]
#[case::kills(Faults { kills: 300, pauses: 300, ..Faults::default() })]
#[case::log(Faults { log_outages: 100, node_log_outages: 1_000, kills: 100, contract_changes: 300, ..Faults::default() })]
#[case::centres(Faults { centre_kills: 60, pauses: 300, delayed: 20_000, ..Faults::default() })]
fn limiter_never_exceeds_with_retention(#[case] faults: Faults) {
    for seed in 0..seeds(5) {
        let mut simulation = simulation(seed, faults, limiter);
        simulation.run_until(60_000);
        assert_eq!(simulation.excess(), 0, "seed {seed}");
        let (exact, short) = simulation.shortfall(&BTreeSet::new());
        println!("seed={seed} exact={exact} short={short}");
    }
}

fn read(node: &mut TeamLimiter, records: &[RateRecord], from: usize, to: usize) {
    for (offset, record) in records.iter().enumerate().take(to).skip(from) {
        node.receive_record(ClockTime::from_ms(offset as u64), offset as u64, record);
    }
}

#[rstest]
fn readers_agree_wherever_they_start(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = simulation(seed, Faults::ALL, limiter);
    simulation.run_until(60_000);
    let records: Vec<RateRecord> = simulation.records().cloned().collect();
    let node = || limiter(VmName::new("reader"), CentreName::new("dc-0"));
    let mut whole = node();
    read(&mut whole, &records, 0, records.len());
    for covers in (1..records.len()).step_by(7) {
        let mut peer = node();
        read(&mut peer, &records, 0, covers);
        for begin in [covers / 2, covers] {
            let mut reader = node();
            reader.lose_before(begin as u64);
            assert!(reader.is_missing_records());
            reader.apply_snapshot(ClockTime::ZERO, &peer.snapshot().unwrap());
            read(&mut reader, &records, covers, records.len());
            assert_eq!(reader.snapshot(), whole.snapshot());
        }
        let mut reader = node();
        reader.lose_before(covers as u64);
        read(&mut reader, &records, covers, records.len());
        assert!(reader.is_missing_records() || reader.snapshot() == whole.snapshot());
    }
}
