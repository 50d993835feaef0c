//! Configuration changes while nodes are replaced and publishers compete.

use std::io::Write;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use compio::time::sleep;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use standin::{LogFaults, LogOutage};

use super::support::{
    CONTRACT, CallerRequest, CallerResponse, KEY, LOOK_UP, ProcessFleet, WAIT_TIMEOUT, seeds,
};

/// The time within which an accepted contract has to be in force on all nodes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of rounds for each seed, and of concurrent publishers in each round.
const ROUNDS: u64 = 4;
const PUBLISHERS: u64 = 3;

/// Returns a contract text that is unique to a publisher.
fn contract_text(number: u64) -> String {
    CONTRACT.replace("60000", &format!("{}", 50_000 + number))
}

/// A running `publish` command, killed when dropped.
struct Publisher(Child);

impl Publisher {
    fn start(fleet: &ProcessFleet, base: u64, number: u64) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilshift"));
        command.args(["publish", "-", "--base", &base.to_string()]);
        command.env_clear();
        command.env("LENTILSHIFT_PLATFORM", fleet.log_address.to_string());
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        let mut child = command.spawn().expect("the command starts");
        let mut input = child.stdin.take().expect("it has an input");
        input
            .write_all(contract_text(number).as_bytes())
            .expect("it takes its input");
        Self(child)
    }

    /// Waits until the command ends; returns whether the text was accepted.
    async fn is_accepted(&mut self) -> bool {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.0.try_wait().expect("the command is known") {
                return status.success();
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("the command doesn't end");
    }
}

impl Drop for Publisher {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The highest contract version that each node of the fleet has reported.
struct ReportedVersions(Vec<u64>);

impl ReportedVersions {
    /// Reads the versions of all nodes and asserts that none decreased; returns the lowest.
    async fn check(&mut self, fleet: &ProcessFleet) -> u64 {
        let mut lowest = u64::MAX;
        for (index, node) in fleet.nodes.iter().enumerate() {
            let Some(dump) = fleet.dump(node).await else {
                continue;
            };
            let version = dump["contract"]["version"].as_u64().unwrap();
            let is_ready = dump["is_ready"] == true;
            lowest = lowest.min(version);
            if is_ready {
                assert!(
                    version >= self.0[index],
                    "node {index} went back to version {version}"
                );
                self.0[index] = version;
            }
        }
        lowest
    }

    /// Waits until a version is in force on all nodes, and asserts that this happens in time.
    async fn wait_for(&mut self, fleet: &ProcessFleet, version: u64) {
        let accepted = Instant::now();
        while self.check(fleet).await < version {
            let elapsed = accepted.elapsed();
            assert!(
                elapsed < IN_FORCE_TIMEOUT,
                "version {version} isn't in force after {elapsed:?}"
            );
            sleep(Duration::from_millis(50)).await;
        }
        println!("version {version} in force after {:?}", accepted.elapsed());
    }
}

/// Runs concurrent publishers of the next version, and asserts that exactly one is accepted.
async fn publish_concurrently(fleet: &ProcessFleet, version: u64, random: &mut SmallRng) {
    fleet.log.set_faults(LogFaults {
        lose_append_replies: random.random_bool(0.5),
        append_delay_ms: random.random_range(0..200),
        ..LogFaults::default()
    });
    let publishers =
        (0..PUBLISHERS).map(|number| Publisher::start(fleet, version, version * 10 + number));
    let mut publishers: Vec<Publisher> = publishers.collect();
    let mut accepted = 0;
    for publisher in &mut publishers {
        accepted += u32::from(publisher.is_accepted().await);
    }
    assert_eq!(accepted, 1, "exactly one publisher is accepted");
    fleet.log.set_faults(LogFaults::default());
}

async fn replace_all(fleet: &mut ProcessFleet, kill_first: bool) {
    if kill_first {
        for node in &mut fleet.nodes {
            node.kill();
        }
    }
    for index in 0..fleet.nodes.len() {
        let mut old = fleet.replace(index).await;
        if !kill_first {
            old.terminate();
            assert_eq!(old.wait().await.code(), Some(0));
        }
    }
}

#[rstest]
#[compio::test]
async fn accepted_contract_survives_replacement_of_all_nodes() {
    for seed in seeds(1) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fleet = ProcessFleet::gated(&[("filings", "local"); 3], 0).await;
        let mut versions = ReportedVersions(vec![0; 3]);
        for round in 0..ROUNDS {
            let version = round + 1;
            publish_concurrently(&fleet, version, &mut random).await;
            versions.wait_for(&fleet, version + 1).await;
            replace_all(&mut fleet, round % 2 == 1).await;
            versions.wait_for(&fleet, version + 1).await;
        }
    }
}

#[rstest]
#[case::refuses(LogOutage::Refuse)]
#[case::hangs(LogOutage::Hang)]
#[compio::test]
async fn node_that_starts_in_an_outage_reads_state_from_peers(#[case] outage: LogOutage) {
    let mut fleet = ProcessFleet::gated(&[("filings", "local"); 3], 0).await;
    let mut versions = ReportedVersions(vec![0; 3]);
    let mut random = SmallRng::seed_from_u64(0);
    publish_concurrently(&fleet, 1, &mut random).await;
    versions.wait_for(&fleet, 2).await;
    fleet.log.set_faults(LogFaults {
        outage,
        ..LogFaults::default()
    });
    let allocator = fleet.allocator().await;
    let victim = (allocator + 1) % 3;
    let peers = [allocator, (allocator + 2) % 3].map(|peer| fleet.nodes[peer].ingress);
    fleet.node_options[victim].peers = peers.to_vec();
    drop(fleet.replace(victim).await);
    versions.wait_for(&fleet, 2).await;
    let until = Instant::now() + IN_FORCE_TIMEOUT;
    let mut refusals = Vec::new();
    loop {
        let request = CallerRequest::get(LOOK_UP, KEY, "in-outage".to_owned());
        let answer = request.send(fleet.nodes[victim].callers).await;
        if answer.as_ref().is_some_and(CallerResponse::is_ok) {
            break;
        }
        refusals.push(answer.map(|answer| answer.reason()));
        assert!(
            Instant::now() < until,
            "the node doesn't serve requests in time: {refusals:?}"
        );
        sleep(Duration::from_millis(50)).await;
    }
    println!("{outage:?}: served after {} refusals", refusals.len());
}
