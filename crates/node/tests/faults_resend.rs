//! Requests that callers send again under the same idempotency key.

mod fleet;

use fleet::Fleet;
use rstest::rstest;
use standin::BackendSettings;

/// The runs of one request: its first, and the retries of its allowance.
const MOST_RUNS: usize = 5;

#[rstest]
#[compio::test]
async fn resends_are_charged_to_the_first() {
    let mut fleet = Fleet::start().await;
    fleet
        .add("filings-1", "filings", BackendSettings::default())
        .await;
    fleet.settle().await;
    let headers = [("idempotency-key", "again"), ("x-trace", "again")];
    for n in 0..20 {
        let path = "/filings/filings?status=500";
        let answer = fleet.send_with(0, "POST", path, &headers).await;
        let verdict = answer.headers()["lentilshift-verdict"].to_str().unwrap();
        let expected = if n < MOST_RUNS { "ran" } else { "not-run" };
        assert_eq!(verdict, expected, "resend {n}");
    }
    assert_eq!(fleet.runs("again"), MOST_RUNS);
    let headers = [("idempotency-key", "other"), ("x-trace", "other")];
    let answer = fleet
        .send_with(0, "POST", "/filings/filings", &headers)
        .await;
    assert_eq!(answer.status().as_u16(), 200);
}

/// Counts at the nodes that callers reach, and not where the copies meet, let 5 run at each.
#[rstest]
#[compio::test]
async fn resends_at_other_nodes_are_charged_to_the_first() {
    let mut fleet = Fleet::start().await;
    for name in ["filings-1", "filings-2", "filings-3"] {
        fleet.add(name, "filings", BackendSettings::default()).await;
    }
    fleet.settle().await;
    let headers = [("idempotency-key", "again"), ("x-trace", "again")];
    let mut told_not_run = 0;
    for n in 0..18 {
        let path = "/filings/filings?status=500";
        let answer = fleet.send_with(n % 3, "POST", path, &headers).await;
        if answer.headers()["lentilshift-verdict"] == "not-run" {
            told_not_run += 1;
        }
    }
    assert_eq!(fleet.runs("again"), MOST_RUNS);
    assert_eq!(told_not_run, 18 - MOST_RUNS);
}

#[rstest]
#[compio::test]
async fn duplicates_of_a_once_call_go_on_to_get_its_answer() {
    let mut fleet = Fleet::start().await;
    fleet
        .add("filings-1", "filings", BackendSettings::default())
        .await;
    fleet.settle().await;
    let headers = [("idempotency-key", "paid"), ("x-trace", "paid")];
    for _ in 0..12 {
        let answer = fleet
            .send_with(0, "POST", "/filings/charges", &headers)
            .await;
        assert_eq!(answer.status().as_u16(), 200);
    }
    assert_eq!(fleet.runs("paid"), 1);
}
