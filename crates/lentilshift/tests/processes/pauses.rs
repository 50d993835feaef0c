//! Processes that are paused for longer than what they hold, and go on.

use std::time::{Duration, Instant};

use compio::time::sleep;
use futures_util::future::{join, join_all};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use streams::{ConfigRecord, KeyDigest};

use super::support::{
    CallerRequest, GateState, KEY, LOOK_UP, OnceCounts, ProcessFleet, RateFlood, ToldCall,
    check_once, seeds,
};

/// The time after which the lease of an allocator has lapsed, its successors' promises included.
const PAST_LEASE: Duration = Duration::from_secs(19);
/// The time in which a withdrawn key stops to work.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(5);
/// The time that a paused process sleeps with calls on their way, in milliseconds.
const PAUSE_MS: u64 = 6_000;
/// The time that these calls have, in milliseconds.
const DEADLINE_MS: u64 = 9_000;
/// The nodes of the service.
const NODES: usize = 3;

async fn three_filings() -> ProcessFleet {
    ProcessFleet::gated(&[("filings", "local"); NODES], 10).await
}

#[rstest]
#[compio::test]
async fn allocator_that_wakes_after_its_lease_admits_nothing_above_the_rate() {
    let fleet = three_filings().await;
    let victim = fleet.allocator().await;
    let pausing = async {
        sleep(Duration::from_secs(1)).await;
        fleet.nodes[victim].pause();
        sleep(PAST_LEASE).await;
        fleet.nodes[victim].resume();
    };
    let time = PAST_LEASE + Duration::from_secs(4);
    let (flood, ()) = join(RateFlood::run(&fleet, time), pausing).await;
    flood.check();
    assert_ne!(fleet.allocator().await, victim, "another node took over");
}

/// What is paused.
#[derive(Clone, Copy, Debug)]
enum PausedPart {
    Node,
    Log,
    Backend,
}

impl PausedPart {
    fn pause(self, fleet: &ProcessFleet, node: usize) {
        match self {
            Self::Node => fleet.nodes[node].pause(),
            Self::Log | Self::Backend => self.set_gates(fleet, node, GateState::Held),
        }
    }

    fn resume(self, fleet: &ProcessFleet, node: usize) {
        match self {
            Self::Node => fleet.nodes[node].resume(),
            Self::Log | Self::Backend => self.set_gates(fleet, node, GateState::Open),
        }
    }

    fn set_gates(self, fleet: &ProcessFleet, paused: usize, state: GateState) {
        for (index, node) in fleet.nodes.iter().enumerate() {
            match self {
                Self::Log => node.gates.log.set_state(state),
                Self::Backend if index == paused => node.gates.backend.set_state(state),
                _ => {}
            }
        }
    }
}

#[rstest]
#[case::node(PausedPart::Node)]
#[case::log(PausedPart::Log)]
#[case::backend(PausedPart::Backend)]
#[compio::test]
async fn pause_doubles_no_once_call_and_makes_no_verdict_false(#[case] part: PausedPart) {
    let mut counts = OnceCounts::default();
    let range = seeds(1);
    for seed in range.clone() {
        let fleet = three_filings().await;
        let mut random = SmallRng::seed_from_u64(seed);
        let calls = run_pause(&fleet, part, &mut random, seed).await;
        check_once(&fleet, &calls, &mut counts);
    }
    println!("{part:?}, {range:?}: {counts:?}");
    assert!(counts.answered > 0);
}

/// Sends copies of once-calls before, in and after a pause.
async fn run_pause(
    fleet: &ProcessFleet,
    part: PausedPart,
    random: &mut SmallRng,
    seed: u64,
) -> Vec<ToldCall> {
    let victim = random.random_range(0..NODES);
    let mut sending = Vec::new();
    for copy in 0..96 {
        let key = format!("{seed}-{}", copy % 24);
        let request = CallerRequest::once(
            "/filings/charges",
            &key,
            format!("{key}-{copy}"),
            DEADLINE_MS,
        );
        let address = fleet.nodes[random.random_range(0..NODES)].callers;
        let early_ms = if copy % 2 == 0 { 100 } else { PAUSE_MS + 500 };
        let wait = Duration::from_millis(random.random_range(0..early_ms));
        sending.push(compio::runtime::spawn(async move {
            sleep(wait).await;
            let told = request.send(address).await;
            (request, told)
        }));
    }
    sleep(Duration::from_millis(random.random_range(0..60))).await;
    part.pause(fleet, victim);
    sleep(Duration::from_millis(PAUSE_MS)).await;
    part.resume(fleet, victim);
    let told = join_all(sending).await;
    sleep(Duration::from_secs(1)).await;
    told.into_iter().map(Result::unwrap).collect()
}

#[rstest]
#[compio::test]
async fn node_that_wakes_runs_nothing_for_a_key_withdrawn_meanwhile() {
    let fleet = three_filings().await;
    let victim = &fleet.nodes[0];
    let client = cyper::Client::new().unwrap();
    let first = CallerRequest::get(LOOK_UP, KEY, "first".to_owned());
    assert!(
        first
            .send_by(&client, victim.callers)
            .await
            .unwrap()
            .is_ok()
    );
    victim.pause();
    let digest = KeyDigest::of_key(KEY.as_bytes());
    fleet.append(&ConfigRecord::Withdraw { digest }).await;
    let withdrawn = Instant::now();
    let mut sending = Vec::new();
    let mut late = Vec::new();
    for number in 0..100 {
        let mut request = CallerRequest::get(LOOK_UP, KEY, format!("r-{number}"));
        request.deadline_ms = 10_000;
        if withdrawn.elapsed() > WITHDRAWN_WITHIN {
            late.push(request.trace.clone());
        }
        let (client, address) = (client.clone(), victim.callers);
        sending.push(compio::runtime::spawn(async move {
            // Half of them on connections of their own.
            if number % 2 == 0 {
                return request.send(address).await;
            }
            request.send_by(&client, address).await
        }));
        if number == 79 {
            victim.resume();
        }
        sleep(Duration::from_millis(80)).await;
    }
    let told = join_all(sending).await;
    let told: Vec<_> = told.into_iter().map(Result::unwrap).collect();
    let ran = late.iter().map(|trace| fleet.runs(trace)).sum::<usize>();
    let all = (0..100).map(|number| fleet.runs(&format!("r-{number}")));
    let refused = told.iter().flatten().filter(|told| told.status == 401);
    println!(
        "{ran} of {} late requests ran, {} of all; {} told that the key isn't known",
        late.len(),
        all.sum::<usize>(),
        refused.clone().count()
    );
    assert_eq!(ran, 0);
    assert!(late.len() > 20 && refused.count() > 0);
}
