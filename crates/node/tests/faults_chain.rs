//! Retries, deadlines and cancellation over a chain of services.

mod fleet;

use std::time::Duration;

use compio::time::{sleep, timeout};
use fleet::Fleet;
use rstest::rstest;
use standin::{BackendCall, BackendSettings};

/// The number of identical downstream calls that one request makes.
const REPEATS: usize = 9;
/// The retry allowance of one request, shared by its whole chain.
const ALLOWANCE: usize = 3;
/// The time within which downstream work stops after its caller has gone.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// Starts a backend server that makes `count` calls even after its own request is cancelled, and
/// two backend servers that serve them.
///
/// Without `passes_call_id`, the node can't attribute the calls to the request.
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
    fleet.wait_until_warm().await;
    fleet
}

fn downstream_runs(fleet: &Fleet) -> usize {
    let downstream = fleet.vms[1..].iter().map(|vm| vm.backend.record());
    downstream.map(|record| record.entries().len()).sum()
}

#[rstest]
#[compio::test]
async fn repeats_by_backend_servers_are_bounded_over_the_chain() {
    let path = "/registry/records/7?status=500";
    let mut runs = Vec::new();
    for passes_call_id in [true, false] {
        let fleet = chain(path, REPEATS, passes_call_id).await;
        let answer = fleet
            .send_admitted(0, "GET", "/filings/filings/1", &[])
            .await;
        assert_eq!(answer.status().as_u16(), 200);
        runs.push(downstream_runs(&fleet));
    }
    println!("downstream runs: {}, without call id {}", runs[0], runs[1]);
    assert!(runs[0] <= 1 + ALLOWANCE, "{runs:?}");
    assert_eq!(
        runs[1], REPEATS,
        "calls without a call id count as new requests"
    );
}

#[rstest]
#[compio::test]
async fn retries_of_nodes_and_backend_servers_share_one_allowance() {
    let fleet = chain("/registry/records/7?crash=1", REPEATS, true).await;
    let answer = fleet
        .send_admitted(0, "GET", "/filings/filings/1", &[])
        .await;
    assert_eq!(answer.status().as_u16(), 200);
    let runs = downstream_runs(&fleet);
    println!("downstream runs: {runs}");
    assert!(runs <= 1 + ALLOWANCE, "{runs}");
}

/// Waits until no backend server runs a request, and returns whether that happened in time.
async fn stops_in_time(fleet: &Fleet) -> bool {
    let all_stopped = async {
        while fleet.vms.iter().any(|vm| vm.backend.record().running() > 0) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(STOP_LIMIT, all_stopped).await.is_ok()
}

fn is_unfinished_downstream(fleet: &Fleet) -> bool {
    let downstream = fleet.vms[1..].iter();
    let mut entries = downstream.flat_map(|vm| vm.backend.record().entries());
    entries.all(|entry| !entry.is_finished)
}

#[rstest]
#[case::ours(true)]
#[case::naive(false)]
#[compio::test]
async fn a_caller_that_disconnects_stops_downstream_work(#[case] passes_call_id: bool) {
    let fleet = chain("/registry/records/7?ms=8000", 1, passes_call_id).await;
    let sending = fleet.send_admitted(0, "GET", "/filings/filings/1", &[]);
    assert!(timeout(Duration::from_millis(700), sending).await.is_err());
    assert_eq!(
        downstream_runs(&fleet),
        1,
        "the downstream call did not start"
    );
    assert_eq!(stops_in_time(&fleet).await, passes_call_id);
    assert!(is_unfinished_downstream(&fleet));
}

#[rstest]
#[case::ours(true)]
#[case::naive(false)]
#[compio::test]
async fn a_deadline_applies_to_downstream_calls(#[case] passes_call_id: bool) {
    let fleet = chain("/registry/records/7?ms=8000", 1, passes_call_id).await;
    let headers = [("lentilshift-deadline-ms", "700")];
    let answer = fleet
        .send_admitted(0, "GET", "/filings/filings/1", &headers)
        .await;
    assert_eq!(answer.status().as_u16(), 504);
    assert_eq!(answer.headers()["lentilshift-verdict"], "may-have-run");
    assert_eq!(
        downstream_runs(&fleet),
        1,
        "the downstream call did not start"
    );
    assert_eq!(stops_in_time(&fleet).await, passes_call_id);
    assert!(is_unfinished_downstream(&fleet));
}
