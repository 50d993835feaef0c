//! The number of event loop rounds that a request causes on a node.

use std::time::Instant;

use super::support::{KEY, OPEN_LOOK_UP, OpenConnection, ProcessFleet};
use rstest::rstest;

/// The number of requests that are measured.
const REQUESTS: u32 = 300;
/// The loop rounds allowed for each message: one, and a quarter for messages that arrive in two
/// reads.
const ROUNDS_PER_MESSAGE: f64 = 1.25;
/// The interval of the timer ticks of a busy node, in milliseconds; each tick is a round.
const TICK_INTERVAL_MS: f64 = 10.0;

/// Guards against nodes running short of processor time because the loop polls the system for events
/// after each step of a request instead of after each message.
#[rstest]
#[case::request_own_call_and_two_answers(0, 4.0)]
#[case::call_and_answer(1, 2.0)]
#[compio::test]
async fn steps_of_a_request_cause_no_extra_rounds(#[case] node: usize, #[case] messages: f64) {
    let fleet = ProcessFleet::chain(&["filings", "registry"]).await;
    let node = &fleet.nodes[node];
    let mut caller = OpenConnection::open(fleet.nodes[0].callers).await;
    let before = fleet.metric(node, "lentilshift_loop_rounds_total").await;
    let started = Instant::now();
    for _ in 0..REQUESTS {
        assert_eq!(caller.get(OPEN_LOOK_UP, KEY).await.unwrap().status, 200);
    }
    let ticks = started.elapsed().as_secs_f64() * 1_000.0 / TICK_INTERVAL_MS;
    let after = fleet.metric(node, "lentilshift_loop_rounds_total").await;
    let rounds = (after - before - ticks) / f64::from(REQUESTS);
    let max_rounds = messages * ROUNDS_PER_MESSAGE;
    assert!(
        rounds <= max_rounds,
        "{rounds} rounds per request besides {ticks} ticks, at most {max_rounds} allowed"
    );
}
