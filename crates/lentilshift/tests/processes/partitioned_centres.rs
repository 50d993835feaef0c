//! Data centres that are partitioned from one another and from the log.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use compio::time::sleep;
use futures_util::future::{join, join_all};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use streams::{ConfigRecord, ConfigVersion};

use super::support::{
    AnsweredCall, CONTRACT, CallerRequest, GateState, OnceCounts, ProcessFleet, RateFlood,
    check_once,
};

/// The service and data centre of each node; the last data centre is partitioned from the others.
const NODES: [(&str, &str); 6] = [
    ("filings", "north"),
    ("filings", "north"),
    ("filings", "east"),
    ("filings", "east"),
    ("filings", "south"),
    ("filings", "south"),
];
/// The index of the first node of the partitioned data centre.
const FIRST_PARTITIONED: usize = 4;
/// The duration of the partition, and of the time after it during which requests are still sent.
const PARTITION_TIME: Duration = Duration::from_secs(15);
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// The interval of once calls, in milliseconds.
const CALL_INTERVAL_MS: u64 = 150;

/// The nodes that can reach the log during the partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogReach {
    All,
    Rest,
    Nobody,
}

/// Blocks all links between the last data centre and the others, and the log for some nodes.
async fn partition(fleet: &ProcessFleet, reach: LogReach) {
    let vms = fleet.vms().await;
    let (rest, partitioned) = vms.split_at(FIRST_PARTITIONED);
    let (rest, partitioned) = (BTreeSet::from_iter(rest), BTreeSet::from_iter(partitioned));
    for (index, node) in fleet.nodes.iter().enumerate() {
        let others = if index < FIRST_PARTITIONED {
            &partitioned
        } else {
            &rest
        };
        let others = others.iter().map(|vm| (*vm).clone()).collect();
        node.gates.links.block_vms(others);
        let is_log_blocked = match reach {
            LogReach::All => false,
            LogReach::Rest => index >= FIRST_PARTITIONED,
            LogReach::Nobody => true,
        };
        if is_log_blocked {
            node.gates.log.set_state(GateState::Blocked);
        }
    }
}

fn heal(fleet: &ProcessFleet) {
    for node in &fleet.nodes {
        node.gates.links.reopen();
        node.gates.log.reopen();
    }
}

/// Sends each once call to one node on either side of the partition, until `is_over` is set.
async fn send_pairs(fleet: &ProcessFleet, is_over: &Cell<bool>) -> Vec<AnsweredCall> {
    let mut random = SmallRng::seed_from_u64(1);
    let mut sending = Vec::new();
    let mut number = 0;
    while !is_over.get() {
        let key = format!("charge-{number}");
        number += 1;
        for nodes in [0..FIRST_PARTITIONED, FIRST_PARTITIONED..NODES.len()] {
            let node = random.random_range(nodes);
            let trace = format!("{key}-{node}");
            let request = CallerRequest::once("/filings/charges", &key, trace, 3_000);
            let address = fleet.nodes[node].callers;
            sending.push(compio::runtime::spawn(async move {
                let response = request.send(address).await;
                (request, response)
            }));
        }
        sleep(Duration::from_millis(CALL_INTERVAL_MS)).await;
    }
    let calls = join_all(sending).await;
    calls.into_iter().map(Result::unwrap).collect()
}

/// Asserts that no node goes back to an earlier version, until `is_over` is set.
async fn watch_versions(fleet: &ProcessFleet, is_over: &Cell<bool>) -> Vec<u64> {
    let mut versions = vec![0; NODES.len()];
    while !is_over.get() {
        for (version, node) in versions.iter_mut().zip(&fleet.nodes) {
            let dump = fleet.dump(node).await.expect("the node is up");
            let found = dump["contract"]["version"].as_u64().unwrap();
            assert!(found >= *version, "from version {version} to {found}");
            *version = found;
        }
        sleep(Duration::from_millis(100)).await;
    }
    versions
}

#[rstest]
#[case::all_reach_the_log(LogReach::All)]
#[case::rest_reaches_the_log(LogReach::Rest)]
#[case::nobody_reaches_the_log(LogReach::Nobody)]
#[compio::test]
async fn partitioned_centres_keep_rate_once_and_config(#[case] reach: LogReach) {
    let fleet = ProcessFleet::gated(&NODES, 10).await;
    let is_over = Cell::new(false);
    let partitioning = async {
        sleep(Duration::from_secs(1)).await;
        partition(&fleet, reach).await;
        let changed = CONTRACT.replace("deadline_ms = 60000", "deadline_ms = 50000");
        let base = ConfigVersion::new(1);
        fleet
            .append(&ConfigRecord::publish(base, CONTRACT, &changed))
            .await;
        sleep(PARTITION_TIME).await;
        let partitioned = in_force(&fleet).await;
        heal(&fleet);
        let healed = Instant::now();
        sleep(RECOVERY_TIME).await;
        is_over.set(true);
        println!(
            "in force during the partition: {partitioned:?}, {:?} after it: {:?}",
            healed.elapsed(),
            in_force(&fleet).await
        );
        partitioned
    };
    let flood = RateFlood::run(&fleet, PARTITION_TIME + RECOVERY_TIME);
    let watching = watch_versions(&fleet, &is_over);
    let others = join(flood, join(watching, partitioning));
    let (calls, (flood, (versions, partitioned))) =
        join(send_pairs(&fleet, &is_over), others).await;
    assert_eq!(versions, vec![2; NODES.len()], "in force on all nodes");
    let reached = if reach == LogReach::Nobody { 1 } else { 2 };
    let isolated = if reach == LogReach::All { 2 } else { 1 };
    assert!(
        partitioned[FIRST_PARTITIONED..]
            .iter()
            .all(|version| *version == isolated)
    );
    assert!(
        partitioned[..FIRST_PARTITIONED]
            .iter()
            .all(|version| *version == reached)
    );
    flood.check();
    let mut counts = OnceCounts::default();
    check_once(&fleet, &calls, &mut counts);
    let answered = calls
        .iter()
        .filter(|(_, response)| response.is_some())
        .count();
    assert_eq!(answered, calls.len(), "every call is answered in time");
    println!("{reach:?}: {counts:?}");
    assert!(counts.answered > 0);
}

/// Returns the contract version that is in force on each node.
async fn in_force(fleet: &ProcessFleet) -> Vec<u64> {
    let mut versions = Vec::new();
    for node in &fleet.nodes {
        let dump = fleet.dump(node).await.expect("the node is up");
        versions.push(dump["contract"]["version"].as_u64().unwrap());
    }
    versions
}
