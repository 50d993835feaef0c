//! The platform's log comes back without its last records.

mod fleet;

use std::time::{Duration, Instant};

use compio::time::sleep;
use fleet::Fleet;
use rstest::rstest;
use standin::BackendSettings;

/// How old the copy is, in milliseconds.
const LOST_MS: u64 = 2_000;
/// The time within which calls with new keys run again: the guard, and some.
const RESUME_LIMIT: Duration = Duration::from_secs(12);

/// The time within which lost claims are written again.
const REWRITE_LIMIT: Duration = Duration::from_secs(3);

async fn send(fleet: &Fleet, node: usize, key: &str) -> (u16, String) {
    let headers = [("idempotency-key", key), ("x-trace", key)];
    let answer = fleet
        .send_admitted(node, "POST", "/filings/charges", &headers)
        .await;
    let verdict = answer.headers().get("lentilshift-verdict");
    let verdict = verdict.map_or("", |verdict| verdict.to_str().unwrap());
    (answer.status().as_u16(), verdict.to_owned())
}

// Guards against a key running twice as its claim is lost, and against calls that never run again.
#[rstest]
#[case::at_the_same_node(0)]
#[case::at_the_other_node(1)]
#[compio::test]
async fn key_runs_once_when_the_log_loses_its_claim(#[case] node: usize) {
    let mut fleet = Fleet::start().await;
    for name in ["filings-1", "filings-2"] {
        fleet.add(name, "filings", BackendSettings::default()).await;
    }
    fleet.wait_until_warm().await;
    sleep(Duration::from_millis(2 * LOST_MS)).await;
    assert_eq!(send(&fleet, 0, "lost").await.0, 200);
    fleet.log.go_back(LOST_MS);
    let until = Instant::now() + RESUME_LIMIT;
    let mut number = 0;
    loop {
        send(&fleet, node, "lost").await;
        assert_eq!(fleet.runs("lost"), 1);
        let read = fleet.send_admitted(node, "GET", "/filings/filings/1", &[]);
        assert_eq!(read.await.status().as_u16(), 200);
        number += 1;
        let (status, verdict) = send(&fleet, node, &format!("new-{number}")).await;
        if status == 200 {
            break;
        }
        assert_eq!(verdict, "not-run");
        assert!(Instant::now() < until, "no call with a new key runs");
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(send(&fleet, node, "lost").await.0, 200);
    assert_eq!(fleet.runs("lost"), 1);
}

// Guards against the same at a node that starts afterwards and knows only what is on the log.
#[rstest]
#[compio::test]
async fn key_runs_once_when_a_node_starts_after_the_log_has_lost_its_claim() {
    let mut fleet = Fleet::start().await;
    for name in ["filings-1", "filings-2"] {
        fleet.add(name, "filings", BackendSettings::default()).await;
    }
    fleet.wait_until_warm().await;
    sleep(Duration::from_millis(2 * LOST_MS)).await;
    assert_eq!(send(&fleet, 0, "lost").await.0, 200);
    fleet.log.go_back(LOST_MS);
    sleep(REWRITE_LIMIT).await;
    fleet
        .add("filings-3", "filings", BackendSettings::default())
        .await;
    fleet.wait_until_ready().await;
    for _ in 0..20 {
        send(&fleet, 2, "lost").await;
        assert_eq!(fleet.runs("lost"), 1);
        sleep(Duration::from_millis(50)).await;
    }
}
