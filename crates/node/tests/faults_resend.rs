//! Requests that callers resend with the same idempotency key.

mod fleet;

use fleet::Fleet;
use rstest::rstest;
use standin::BackendSettings;

/// The maximum runs of one request: the first, and the retries of its allowance.
const MAX_RUNS: usize = 5;

#[rstest]
#[compio::test]
async fn resends_spend_the_allowance_of_the_first_request() {
    let mut fleet = Fleet::start().await;
    fleet
        .add("filings-1", "filings", BackendSettings::default())
        .await;
    fleet.wait_until_warm().await;
    let headers = [("idempotency-key", "again"), ("x-trace", "again")];
    for n in 0..20 {
        let path = "/filings/filings?status=500";
        let answer = fleet.send_with(0, "POST", path, &headers).await;
        let verdict = answer.headers()["lentilshift-verdict"].to_str().unwrap();
        let expected = if n < MAX_RUNS { "ran" } else { "not-run" };
        assert_eq!(verdict, expected, "resend {n}");
    }
    assert_eq!(fleet.runs("again"), MAX_RUNS);
    let headers = [("idempotency-key", "other"), ("x-trace", "other")];
    let answer = fleet
        .send_with(0, "POST", "/filings/filings", &headers)
        .await;
    assert_eq!(answer.status().as_u16(), 200);
}

/// Counting resends at the node that a caller reaches would let 5 run at each node; they must be
/// counted where the resends of all nodes meet.
#[rstest]
#[compio::test]
async fn resends_at_other_nodes_spend_the_allowance_of_the_first_request() {
    let mut fleet = Fleet::start().await;
    for name in ["filings-1", "filings-2", "filings-3"] {
        fleet.add(name, "filings", BackendSettings::default()).await;
    }
    fleet.wait_until_warm().await;
    let headers = [("idempotency-key", "again"), ("x-trace", "again")];
    let mut not_run_count = 0;
    for n in 0..18 {
        let path = "/filings/filings?status=500";
        let answer = fleet.send_with(n % 3, "POST", path, &headers).await;
        if answer.headers()["lentilshift-verdict"] == "not-run" {
            not_run_count += 1;
        }
    }
    assert_eq!(fleet.runs("again"), MAX_RUNS);
    assert_eq!(not_run_count, 18 - MAX_RUNS);
}

#[rstest]
#[compio::test]
async fn duplicates_of_a_once_call_keep_getting_its_answer() {
    let mut fleet = Fleet::start().await;
    fleet
        .add("filings-1", "filings", BackendSettings::default())
        .await;
    fleet.wait_until_warm().await;
    let headers = [("idempotency-key", "paid"), ("x-trace", "paid")];
    for _ in 0..12 {
        let answer = fleet
            .send_with(0, "POST", "/filings/charges", &headers)
            .await;
        assert_eq!(answer.status().as_u16(), 200);
    }
    assert_eq!(fleet.runs("paid"), 1);
}
