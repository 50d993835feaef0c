//! Processes that are paused for longer than their leases and deadlines, and then resumed.

use std::time::{Duration, Instant};

use compio::time::sleep;
use futures_util::future::{join, join_all};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use streams::{ConfigRecord, KeyDigest};

use super::support::{
    AnsweredCall, CallerRequest, GateState, KEY, LOOK_UP, OnceCounts, ProcessFleet, RateFlood,
    check_once, seeds,
};

/// The time after which an allocator's lease and the promises of its successors have expired.
const LEASE_EXPIRY: Duration = Duration::from_secs(19);
/// The time within which a withdrawn key has to be refused.
const WITHDRAW_LIMIT: Duration = Duration::from_secs(5);
/// The duration of a pause while calls are in flight, in milliseconds.
const PAUSE_MS: u64 = 6_000;
/// The deadline of these calls, in milliseconds.
const DEADLINE_MS: u64 = 9_000;
/// The number of nodes.
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
        sleep(LEASE_EXPIRY).await;
        fleet.nodes[victim].resume();
    };
    let time = LEASE_EXPIRY + Duration::from_secs(4);
    let (flood, ()) = join(RateFlood::run(&fleet, time), pausing).await;
    flood.check();
    assert_ne!(fleet.allocator().await, victim, "another node took over");
}

/// The component that is paused: a node, the log for all nodes, or a node's backend server.
#[derive(Clone, Copy, Debug)]
enum PausedComponent {
    Node,
    Log,
    Backend,
}

impl PausedComponent {
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
#[case::node(PausedComponent::Node)]
#[case::log(PausedComponent::Log)]
#[case::backend(PausedComponent::Backend)]
#[compio::test]
async fn pause_causes_no_second_run_and_no_false_verdict(#[case] component: PausedComponent) {
    let mut counts = OnceCounts::default();
    let range = seeds(1);
    for seed in range.clone() {
        let fleet = three_filings().await;
        let mut random = SmallRng::seed_from_u64(seed);
        let calls = run_pause(&fleet, component, &mut random, seed).await;
        check_once(&fleet, &calls, &mut counts);
    }
    println!("{component:?}, {range:?}: {counts:?}");
    assert!(counts.answered > 0);
}

/// Sends copies of once calls before, during and after a pause.
async fn run_pause(
    fleet: &ProcessFleet,
    component: PausedComponent,
    random: &mut SmallRng,
    seed: u64,
) -> Vec<AnsweredCall> {
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
        let max_delay_ms = if copy % 2 == 0 { 100 } else { PAUSE_MS + 500 };
        let wait = Duration::from_millis(random.random_range(0..max_delay_ms));
        sending.push(compio::runtime::spawn(async move {
            sleep(wait).await;
            let response = request.send(address).await;
            (request, response)
        }));
    }
    sleep(Duration::from_millis(random.random_range(0..60))).await;
    component.pause(fleet, victim);
    sleep(Duration::from_millis(PAUSE_MS)).await;
    component.resume(fleet, victim);
    let calls = join_all(sending).await;
    sleep(Duration::from_secs(1)).await;
    calls.into_iter().map(Result::unwrap).collect()
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
            .send_with(&client, victim.callers)
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
        if withdrawn.elapsed() > WITHDRAW_LIMIT {
            late.push(request.trace.clone());
        }
        let (client, address) = (client.clone(), victim.callers);
        sending.push(compio::runtime::spawn(async move {
            // Half of the requests use connections of their own.
            if number % 2 == 0 {
                return request.send(address).await;
            }
            request.send_with(&client, address).await
        }));
        if number == 79 {
            victim.resume();
        }
        sleep(Duration::from_millis(80)).await;
    }
    let responses = join_all(sending).await;
    let responses: Vec<_> = responses.into_iter().map(Result::unwrap).collect();
    let ran = late.iter().map(|trace| fleet.runs(trace)).sum::<usize>();
    let all = (0..100).map(|number| fleet.runs(&format!("r-{number}")));
    let refused = responses
        .iter()
        .flatten()
        .filter(|response| response.status == 401);
    println!(
        "{ran} of {} late requests ran, {} of all; {} were refused for the unknown key",
        late.len(),
        all.sum::<usize>(),
        refused.clone().count()
    );
    assert_eq!(ran, 0);
    assert!(late.len() > 20 && refused.count() > 0);
}
