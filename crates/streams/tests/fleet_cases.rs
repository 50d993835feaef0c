//! Specific scenarios on the simulated fleet.

mod fleet;

use fleet::{SimFleet, TICK_MS};
use lentilshift_streams::{
    ConfigRecord, ConfigVersion, FollowSettings, KeyAnswer, KeyDigest, NewRecord, PlanSettings,
    RecordBody, TrustState,
};
use model::{RecordId, TeamName};
use rstest::{fixture, rstest};

const NODES: usize = 6;

fn key() -> KeyDigest {
    KeyDigest::of_key(b"a key")
}

/// A fleet that has a contract text and a key in force.
#[fixture]
fn ready_fleet() -> SimFleet {
    let mut fleet = SimFleet::new(1, NODES);
    run(&mut fleet, 1_000);
    let publish = ConfigRecord::publish(ConfigVersion::NONE, "", "a text");
    fleet.append(RecordId::from_random(1), &publish).unwrap();
    let (digest, team) = (key(), TeamName::new("team-a"));
    let grant = ConfigRecord::Grant { digest, team };
    fleet.append(RecordId::from_random(2), &grant).unwrap();
    run(&mut fleet, 3_000);
    fleet.check_agreement().unwrap();
    fleet
}

fn run(fleet: &mut SimFleet, span_ms: u64) {
    for _ in 0..span_ms / TICK_MS {
        fleet.step();
        fleet.check_versions().unwrap();
    }
}

fn withdraw(fleet: &mut SimFleet) {
    let change = ConfigRecord::Withdraw { digest: key() };
    fleet.append(RecordId::from_random(3), &change).unwrap();
}

#[rstest]
#[case::from_the_log(true, false)]
#[case::from_its_peers(false, true)]
#[case::from_both(true, true)]
fn partitioned_node_admits_no_withdrawn_key_after_5_s(
    #[from(ready_fleet)] mut fleet: SimFleet,
    #[case] from_log: bool,
    #[case] from_peers: bool,
) {
    fleet.nodes[0].is_cut_from_log = from_log;
    fleet.nodes[0].is_cut_from_peers = from_peers;
    withdraw(&mut fleet);
    run(&mut fleet, 5_000);
    let naive_admits = fleet.nodes[0].feed.fold().keys().team(&key()).is_some();
    assert_eq!(naive_admits, from_log && from_peers);
    assert!(fleet.admitting(&key()).is_empty());
}

#[rstest]
#[case::to_the_log(true, false)]
#[case::to_its_peers(false, true)]
fn node_that_reaches_the_log_or_its_peers_stays_fresh(
    #[from(ready_fleet)] mut fleet: SimFleet,
    #[case] from_log: bool,
    #[case] from_peers: bool,
) {
    fleet.nodes[0].is_cut_from_log = from_log;
    fleet.nodes[0].is_cut_from_peers = from_peers;
    for _ in 0..40 {
        run(&mut fleet, 500);
        assert_eq!(
            fleet.nodes[0].feed.trust_state(fleet.now),
            TrustState::Fresh
        );
    }
}

#[rstest]
#[case::refusing(false)]
#[case::hanging(true)]
fn keys_stay_trusted_while_the_log_is_out_for_all(
    #[from(ready_fleet)] mut fleet: SimFleet,
    #[case] hangs: bool,
) {
    fleet.log_faults.is_out = true;
    fleet.log_faults.hangs = hangs;
    for _ in 0..120 {
        run(&mut fleet, 100);
        assert_eq!(fleet.admitting(&key()).len(), NODES, "at {}", fleet.now);
    }
}

#[rstest]
fn keys_stay_trusted_while_the_log_is_slow(#[from(ready_fleet)] mut fleet: SimFleet) {
    fleet.log_faults.delay_ms = 2_500;
    for _ in 0..120 {
        run(&mut fleet, 100);
        assert_eq!(fleet.admitting(&key()).len(), NODES, "at {}", fleet.now);
    }
}

#[rstest]
fn node_that_starts_in_an_outage_gets_the_state_from_peers(
    #[from(ready_fleet)] mut fleet: SimFleet,
) {
    fleet.log_faults.is_out = true;
    run(&mut fleet, 3_000);
    fleet.replace(0);
    run(&mut fleet, 5_000);
    fleet.check_agreement().unwrap();
    let answer = fleet.nodes[0].feed.key_answer(fleet.now, &key());
    assert_eq!(answer, KeyAnswer::Team(TeamName::new("team-a")));
}

#[rstest]
#[case::one_by_one(true)]
#[case::all_at_once(false)]
fn state_outlives_its_records_and_its_nodes(
    #[from(ready_fleet)] mut fleet: SimFleet,
    #[case] one_by_one: bool,
) {
    run(&mut fleet, 3 * fleet::RETENTION_MS);
    assert!(fleet.read(lentilshift_streams::LogOffset::new(1)).is_err());
    for index in 0..NODES {
        fleet.replace(index);
        run(&mut fleet, if one_by_one { 2_000 } else { 0 });
    }
    run(&mut fleet, 5_000);
    fleet.check_agreement().unwrap();
    assert_eq!(fleet.admitting(&key()).len(), NODES);
}

#[rstest]
fn replaced_log_reverts_nothing(#[from(ready_fleet)] mut fleet: SimFleet) {
    fleet.store.recreate();
    let publish = ConfigRecord::publish(ConfigVersion::NONE, "", "a text of another log");
    let body = RecordBody::encode(&publish);
    let id = RecordId::from_random(9);
    let record = NewRecord { id, body };
    fleet.store.append(fleet.now, fleet::STREAM, vec![record]);
    run(&mut fleet, 1_000);
    let is_named = |node: &fleet::SimNode| node.feed.follower().fault().is_some();
    assert!(fleet.nodes.iter().any(is_named));
    for node in &fleet.nodes {
        assert_eq!(&*node.feed.fold().in_force().text, "a text");
    }
}

/// The time until a change is in force at all nodes must stay within 5 s for a small fleet and 13 s
/// for up to 4,000 nodes.
#[rstest]
#[case::today(15, 3, 5_000)]
#[case::hundreds(400, 7, 13_000)]
fn change_is_in_force_everywhere_in_time(
    #[case] nodes: usize,
    #[case] centres: usize,
    #[case] bound_ms: u64,
) {
    assert!(propagation_ms(nodes, centres) <= bound_ms);
}

/// Prints the virtual time until a change is in force at all nodes.
#[test]
#[ignore = "a measurement: cargo test --release -p lentilshift-streams --test fleet_cases -- --ignored --nocapture"]
fn propagation_time_by_fleet_size() {
    for (nodes, centres) in [(15, 3), (100, 7), (400, 7), (1_600, 7), (4_000, 7)] {
        let span = propagation_ms(nodes, centres);
        let age = greatest_age_ms(nodes, centres);
        println!("nodes={nodes} centres={centres} spread_ms={span} greatest_age_ms={age}");
        assert!(age <= 4_500);
        assert!(span <= 13_000);
    }
}

/// The time in which a change must be in force at all nodes, as set by operators of a large fleet,
/// in milliseconds.
const CONFIG_MS: u64 = 3_000;
/// The age of the last update from which on a node of that fleet uses other sources, in
/// milliseconds.
const STALE_AFTER_MS: u64 = 2_250;

/// Creates a fleet in which only two nodes read the log.
fn few_readers(seed: u64, nodes: usize, centres: usize) -> SimFleet {
    let plan = PlanSettings {
        gateways: 1,
        reading_centres: 2,
        ..PlanSettings::default()
    };
    let follow = FollowSettings {
        read_wait_ms: 975,
        hedge_after_ms: 1_275,
        pull_wait_ms: 1_125,
        pull_after_ms: STALE_AFTER_MS,
        direct_after_ms: STALE_AFTER_MS,
        direct_jitter_ms: 300,
        ..FollowSettings::default()
    };
    let mut fleet = SimFleet::with_follow(seed, (nodes, centres), plan, follow);
    run(&mut fleet, 6_000);
    fleet
}

fn readers(fleet: &SimFleet) -> Vec<usize> {
    let nodes = fleet.nodes.iter().enumerate();
    let readers = nodes.filter(|(_, node)| fleet.plan_of(node).is_reader());
    readers.map(|(index, _)| index).collect()
}

/// A fault of the nodes that read the log, just before a change.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReaderFault {
    Nothing,
    CutFromLog,
    CutFromPeers,
    Paused,
}

#[rstest]
fn change_is_in_force_in_time_when_readers_fail(
    #[values(
        ReaderFault::Nothing,
        ReaderFault::CutFromLog,
        ReaderFault::CutFromPeers,
        ReaderFault::Paused
    )]
    fault: ReaderFault,
    #[values(1, 2)] faulty: usize,
    #[values((15, 3), (95, 5), (300, 7))] (nodes, centres): (usize, usize),
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = few_readers(seed, nodes, centres);
    let readers = readers(&fleet);
    assert_eq!(readers.len(), 2, "the fleet's size adds no reader");
    for index in &readers[..faulty] {
        let node = &mut fleet.nodes[*index];
        match fault {
            ReaderFault::Nothing => {}
            ReaderFault::CutFromLog => node.is_cut_from_log = true,
            ReaderFault::CutFromPeers => node.is_cut_from_peers = true,
            ReaderFault::Paused => node.paused_until = fleet.now.plus_ms(10_000),
        }
    }
    let publish = ConfigRecord::publish(ConfigVersion::NONE, "", "a text");
    fleet.append(RecordId::from_random(1), &publish).unwrap();
    let start = fleet.now;
    while fleet.now.since_ms(start) < CONFIG_MS {
        run(&mut fleet, TICK_MS);
    }
    let is_late = |(index, node): &(usize, &fleet::SimNode)| {
        let is_faulty = readers[..faulty].contains(index) && fault != ReaderFault::Nothing;
        !is_faulty && node.feed.fold().in_force().version.get() == 0
    };
    let late = fleet.nodes.iter().enumerate().filter(is_late).count();
    assert_eq!(late, 0);
}

#[rstest]
fn state_stays_fresh_with_two_readers(
    #[values((95, 5), (300, 7))] (nodes, centres): (usize, usize),
) {
    let mut fleet = few_readers(1, nodes, centres);
    for _ in 0..80 {
        run(&mut fleet, 100);
        for node in &fleet.nodes {
            let age = node.feed.follower().fresh_at().unwrap().age_ms(fleet.now);
            assert!(age < STALE_AFTER_MS, "{} is {age} ms behind", node.name);
        }
    }
}

fn propagation_ms(nodes: usize, centres: usize) -> u64 {
    let mut fleet = SimFleet::with_plan(1, nodes, centres, PlanSettings::default());
    run(&mut fleet, 6_000);
    let publish = ConfigRecord::publish(ConfigVersion::NONE, "", "a text");
    fleet.append(RecordId::from_random(1), &publish).unwrap();
    let start = fleet.now;
    let is_known = |node: &fleet::SimNode| node.feed.fold().in_force().version.get() == 1;
    while !fleet.nodes.iter().all(is_known) {
        run(&mut fleet, TICK_MS);
    }
    fleet.now.since_ms(start)
}

/// Returns the maximum age of the last update at any node over 4 s without faults.
fn greatest_age_ms(nodes: usize, centres: usize) -> u64 {
    let mut fleet = SimFleet::with_plan(1, nodes, centres, PlanSettings::default());
    run(&mut fleet, 6_000);
    let mut greatest = 0;
    for _ in 0..40 {
        run(&mut fleet, 100);
        let times = fleet
            .nodes
            .iter()
            .map(|node| node.feed.follower().fresh_at());
        let ages = times.map(|time| time.map_or(u64::MAX, |time| time.age_ms(fleet.now)));
        greatest = ages.fold(greatest, u64::max);
    }
    greatest
}
