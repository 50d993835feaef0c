//! Retries, deadlines and cancellation over a chain of services.

mod fleet;

use std::time::Duration;

use compio::time::{sleep, timeout};
use fleet::Fleet;
use rstest::rstest;
use standin::{BackendCall, BackendSettings};

/// The calls below that one request makes, all the same.
const REPEATS: usize = 9;
/// The retries of one request over its whole chain.
const ALLOWANCE: usize = 3;
/// The time in which work below stops once nobody waits for it.
const STOPS_WITHIN: Duration = Duration::from_secs(2);

/// Starts a backend server that goes on with its calls even when its own request is closed, and
/// two below it; without the call's id its calls aren't tied to the request.
async fn chain(path: &str, count: usize, passes_call_id: bool) -> Fleet {
    let mut fleet = Fleet::start().await;
    let call = BackendCall {
        method: "GET".parse().unwrap(),
        path: path.into(),
    };
    let filings = BackendSettings {
        calls: vec![call; count],
        passes_call_id,
        continues_after_disconnect: true,
        ..BackendSettings::default()
    };
    fleet.add("filings-1", "filings", filings).await;
    for name in ["registry-1", "registry-2"] {
        let registry = BackendSettings::default();
        fleet.add(name, "registry", registry).await;
    }
    fleet.settle().await;
    fleet
}

fn runs_below(fleet: &Fleet) -> usize {
    let below = fleet.pairs[1..].iter().map(|pair| pair.backend.record());
    below.map(|record| record.entries().len()).sum()
}

#[rstest]
#[compio::test]
async fn repeats_of_backend_servers_are_bounded_over_the_chain() {
    let path = "/registry/records/7?status=500";
    let mut runs = Vec::new();
    for passes_call_id in [true, false] {
        let fleet = chain(path, REPEATS, passes_call_id).await;
        let answer = fleet
            .send_admitted(0, "GET", "/filings/filings/1", &[])
            .await;
        assert_eq!(answer.status().as_u16(), 200);
        runs.push(runs_below(&fleet));
    }
    println!("runs below: {}, naive {}", runs[0], runs[1]);
    assert!(runs[0] <= 1 + ALLOWANCE, "{runs:?}");
    assert_eq!(runs[1], REPEATS, "calls without their parent are requests");
}

#[rstest]
#[compio::test]
async fn retries_of_nodes_and_backend_servers_share_one_allowance() {
    let fleet = chain("/registry/records/7?crash=1", REPEATS, true).await;
    let answer = fleet
        .send_admitted(0, "GET", "/filings/filings/1", &[])
        .await;
    assert_eq!(answer.status().as_u16(), 200);
    let runs = runs_below(&fleet);
    println!("runs below: {runs}");
    assert!(runs <= 1 + ALLOWANCE, "{runs}");
}

/// Waits until nothing runs anywhere, and returns whether that came in time.
async fn stops_in_time(fleet: &Fleet) -> bool {
    let all_stopped = async {
        while fleet
            .pairs
            .iter()
            .any(|pair| pair.backend.record().running() > 0)
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(STOPS_WITHIN, all_stopped).await.is_ok()
}

fn is_unfinished_below(fleet: &Fleet) -> bool {
    let below = fleet.pairs[1..].iter();
    let mut entries = below.flat_map(|pair| pair.backend.record().entries());
    entries.all(|entry| !entry.is_finished)
}

#[rstest]
#[case::ours(true)]
#[case::naive(false)]
#[compio::test]
async fn a_caller_that_leaves_stops_the_work_below(#[case] is_tied: bool) {
    let fleet = chain("/registry/records/7?ms=8000", 1, is_tied).await;
    let sending = fleet.send_admitted(0, "GET", "/filings/filings/1", &[]);
    assert!(timeout(Duration::from_millis(700), sending).await.is_err());
    assert_eq!(runs_below(&fleet), 1, "the work below had begun");
    assert_eq!(stops_in_time(&fleet).await, is_tied);
    assert!(is_unfinished_below(&fleet));
}

#[rstest]
#[case::ours(true)]
#[case::naive(false)]
#[compio::test]
async fn a_deadline_goes_down_the_chain(#[case] is_tied: bool) {
    let fleet = chain("/registry/records/7?ms=8000", 1, is_tied).await;
    let headers = [("lentilshift-deadline-ms", "700")];
    let answer = fleet
        .send_admitted(0, "GET", "/filings/filings/1", &headers)
        .await;
    assert_eq!(answer.status().as_u16(), 504);
    assert_eq!(answer.headers()["lentilshift-verdict"], "may-have-run");
    assert_eq!(runs_below(&fleet), 1, "the work below had begun");
    assert_eq!(stops_in_time(&fleet).await, is_tied);
    assert!(is_unfinished_below(&fleet));
}
