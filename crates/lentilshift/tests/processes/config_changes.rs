//! Configuration while nodes are replaced and publishers race.

use std::io::Write;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use compio::time::sleep;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use standin::{LogFaults, LogOutage};

use super::support::{
    CONTRACT, CallerRequest, CallerTold, KEY, LOOK_UP, PATIENCE, ProcessFleet, seeds,
};

/// The time in which an accepted text is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
/// The rounds of one schedule, and the publishers that race in each.
const ROUNDS: u64 = 4;
const RACERS: u64 = 3;

/// Returns a contract that tells which publisher made it.
fn text_of(number: u64) -> String {
    CONTRACT.replace("60000", &format!("{}", 50_000 + number))
}

/// Ends a command when dropped.
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
            .write_all(text_of(number).as_bytes())
            .expect("it takes its input");
        Self(child)
    }

    /// Waits for the end and returns whether the text was accepted.
    async fn is_accepted(&mut self) -> bool {
        let until = Instant::now() + PATIENCE;
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

/// The highest version that each place of the fleet has shown.
struct SeenVersions(Vec<u64>);

impl SeenVersions {
    /// Looks at all nodes once and asserts that none went back; returns the lowest version.
    async fn look(&mut self, fleet: &ProcessFleet) -> u64 {
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
                    "node {index} is back at {version}"
                );
                self.0[index] = version;
            }
        }
        lowest
    }

    /// Asserts that a version is in force everywhere within the promised time.
    async fn wait_for(&mut self, fleet: &ProcessFleet, version: u64) {
        let accepted = Instant::now();
        while self.look(fleet).await < version {
            let waited = accepted.elapsed();
            assert!(
                waited < IN_FORCE_WITHIN,
                "version {version} after {waited:?}"
            );
            sleep(Duration::from_millis(50)).await;
        }
        println!("version {version} in force after {:?}", accepted.elapsed());
    }
}

/// Lets publishers race, and returns once one of them has been accepted.
async fn race(fleet: &ProcessFleet, version: u64, random: &mut SmallRng) {
    fleet.log.set_faults(LogFaults {
        lose_append_replies: random.random_bool(0.5),
        append_delay_ms: random.random_range(0..200),
        ..LogFaults::default()
    });
    let racers = (0..RACERS).map(|racer| Publisher::start(fleet, version, version * 10 + racer));
    let mut racers: Vec<Publisher> = racers.collect();
    let mut accepted = 0;
    for racer in &mut racers {
        accepted += u32::from(racer.is_accepted().await);
    }
    assert_eq!(accepted, 1, "one of the racers is accepted");
    fleet.log.set_faults(LogFaults::default());
}

async fn replace_all(fleet: &mut ProcessFleet, is_at_once: bool) {
    if is_at_once {
        for node in &mut fleet.nodes {
            node.kill();
        }
    }
    for index in 0..fleet.nodes.len() {
        let mut old = fleet.replace(index).await;
        if !is_at_once {
            old.terminate();
            assert_eq!(old.wait().await.code(), Some(0));
        }
    }
}

#[rstest]
#[compio::test]
async fn accepted_text_outlives_all_nodes() {
    for seed in seeds(1) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fleet = ProcessFleet::gated(&[("filings", "local"); 3], 0).await;
        let mut seen = SeenVersions(vec![0; 3]);
        for round in 0..ROUNDS {
            let version = round + 1;
            race(&fleet, version, &mut random).await;
            seen.wait_for(&fleet, version + 1).await;
            replace_all(&mut fleet, round % 2 == 1).await;
            seen.wait_for(&fleet, version + 1).await;
        }
    }
}

#[rstest]
#[case::refuses(LogOutage::Refuse)]
#[case::hangs(LogOutage::Hang)]
#[compio::test]
async fn node_that_starts_in_an_outage_learns_from_peers(#[case] outage: LogOutage) {
    let mut fleet = ProcessFleet::gated(&[("filings", "local"); 3], 0).await;
    let mut seen = SeenVersions(vec![0; 3]);
    let mut random = SmallRng::seed_from_u64(0);
    race(&fleet, 1, &mut random).await;
    seen.wait_for(&fleet, 2).await;
    fleet.log.set_faults(LogFaults {
        outage,
        ..LogFaults::default()
    });
    let allocator = fleet.allocator().await;
    let victim = (allocator + 1) % 3;
    let peers = [allocator, (allocator + 2) % 3].map(|peer| fleet.nodes[peer].ingress);
    fleet.plans[victim].peers = peers.to_vec();
    drop(fleet.replace(victim).await);
    seen.wait_for(&fleet, 2).await;
    let until = Instant::now() + IN_FORCE_WITHIN;
    let mut told = Vec::new();
    loop {
        let request = CallerRequest::get(LOOK_UP, KEY, "in-outage".to_owned());
        let answer = request.send(fleet.nodes[victim].callers).await;
        if answer.as_ref().is_some_and(CallerTold::is_ok) {
            break;
        }
        told.push(answer.map(|answer| answer.reason()));
        assert!(Instant::now() < until, "it doesn't serve: {told:?}");
        sleep(Duration::from_millis(50)).await;
    }
    println!("{outage:?}: served after {} refusals", told.len());
}
