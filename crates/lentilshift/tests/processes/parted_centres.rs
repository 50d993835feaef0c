//! Data centres that are cut off from one another, and from the log.

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
    CONTRACT, CallerRequest, GateState, OnceCounts, ProcessFleet, RateFlood, ToldCall, check_once,
};

/// The nodes with their data centres; the last two are cut off.
const PAIRS: [(&str, &str); 6] = [
    ("filings", "north"),
    ("filings", "north"),
    ("filings", "east"),
    ("filings", "east"),
    ("filings", "south"),
    ("filings", "south"),
];
/// The first node that is cut off.
const CUT_FROM: usize = 4;
/// The time for which the data centres are parted, and then linked again.
const PARTED: Duration = Duration::from_secs(15);
const LINKED: Duration = Duration::from_secs(5);
/// The time between two once-calls, in milliseconds.
const CALL_MS: u64 = 150;

/// Who reaches the log while the data centres are parted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogReach {
    All,
    Rest,
    Nobody,
}

/// Cuts all links between the last data centre and the rest, and some from the log.
async fn part(fleet: &ProcessFleet, reach: LogReach) {
    let vms = fleet.vms().await;
    let (rest, cut) = vms.split_at(CUT_FROM);
    let (rest, cut) = (BTreeSet::from_iter(rest), BTreeSet::from_iter(cut));
    for (index, node) in fleet.nodes.iter().enumerate() {
        let others = if index < CUT_FROM { &cut } else { &rest };
        let others = others.iter().map(|vm| (*vm).clone()).collect();
        node.gates.links.cut_vms(others);
        let is_off = match reach {
            LogReach::All => false,
            LogReach::Rest => index >= CUT_FROM,
            LogReach::Nobody => true,
        };
        if is_off {
            node.gates.log.set_state(GateState::Cut);
        }
    }
}

fn mend(fleet: &ProcessFleet) {
    for node in &fleet.nodes {
        node.gates.links.mend();
        node.gates.log.mend();
    }
}

/// Sends once-calls, each to a node of either side, until told to end.
async fn send_pairs(fleet: &ProcessFleet, is_over: &Cell<bool>) -> Vec<ToldCall> {
    let mut random = SmallRng::seed_from_u64(1);
    let mut sending = Vec::new();
    let mut number = 0;
    while !is_over.get() {
        let key = format!("charge-{number}");
        number += 1;
        for nodes in [0..CUT_FROM, CUT_FROM..PAIRS.len()] {
            let node = random.random_range(nodes);
            let trace = format!("{key}-{node}");
            let request = CallerRequest::once("/filings/charges", &key, trace, 3_000);
            let address = fleet.nodes[node].callers;
            sending.push(compio::runtime::spawn(async move {
                let told = request.send(address).await;
                (request, told)
            }));
        }
        sleep(Duration::from_millis(CALL_MS)).await;
    }
    let told = join_all(sending).await;
    told.into_iter().map(Result::unwrap).collect()
}

/// Watches that no node goes back to an earlier version, until told to end.
async fn watch_versions(fleet: &ProcessFleet, is_over: &Cell<bool>) -> Vec<u64> {
    let mut versions = vec![0; PAIRS.len()];
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
async fn parted_centres_keep_rate_once_and_config(#[case] reach: LogReach) {
    let fleet = ProcessFleet::gated(&PAIRS, 10).await;
    let is_over = Cell::new(false);
    let parting = async {
        sleep(Duration::from_secs(1)).await;
        part(&fleet, reach).await;
        let changed = CONTRACT.replace("deadline_ms = 60000", "deadline_ms = 50000");
        let base = ConfigVersion::new(1);
        fleet
            .append(&ConfigRecord::publish(base, CONTRACT, &changed))
            .await;
        sleep(PARTED).await;
        let parted = in_force(&fleet).await;
        mend(&fleet);
        let mended = Instant::now();
        sleep(LINKED).await;
        is_over.set(true);
        println!(
            "in force while parted: {parted:?}, {:?} after: {:?}",
            mended.elapsed(),
            in_force(&fleet).await
        );
        parted
    };
    let flood = RateFlood::run(&fleet, PARTED + LINKED);
    let watching = watch_versions(&fleet, &is_over);
    let others = join(flood, join(watching, parting));
    let (calls, (flood, (versions, parted))) = join(send_pairs(&fleet, &is_over), others).await;
    assert_eq!(versions, vec![2; PAIRS.len()], "in force everywhere");
    let reached = if reach == LogReach::Nobody { 1 } else { 2 };
    let cut_off = if reach == LogReach::All { 2 } else { 1 };
    assert!(parted[CUT_FROM..].iter().all(|version| *version == cut_off));
    assert!(parted[..CUT_FROM].iter().all(|version| *version == reached));
    flood.check();
    let mut counts = OnceCounts::default();
    check_once(&fleet, &calls, &mut counts);
    let answered = calls.iter().filter(|(_, told)| told.is_some()).count();
    assert_eq!(
        answered,
        calls.len(),
        "every caller is told something in time"
    );
    println!("{reach:?}: {counts:?}");
    assert!(counts.answered > 0);
}

async fn in_force(fleet: &ProcessFleet) -> Vec<u64> {
    let mut versions = Vec::new();
    for node in &fleet.nodes {
        let dump = fleet.dump(node).await.expect("the node is up");
        versions.push(dump["contract"]["version"].as_u64().unwrap());
    }
    versions
}
