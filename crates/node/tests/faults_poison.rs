//! Requests that crash backend servers, sent repeatedly and concurrently.

mod fleet;

use std::time::Duration;

use compio::time::sleep;
use fleet::Fleet;
use futures_util::future::join_all;
use rstest::rstest;
use standin::BackendSettings;

async fn filings(count: usize) -> Fleet {
    let mut fleet = Fleet::start().await;
    for n in 0..count {
        add_one(&mut fleet, n).await;
    }
    fleet.wait_until_warm().await;
    fleet
}

async fn add_one(fleet: &mut Fleet, n: usize) {
    let name = format!("filings-{n}");
    fleet
        .add(&name, "filings", BackendSettings::default())
        .await;
}

async fn restart_all(fleet: &Fleet) {
    sleep(Duration::from_millis(100)).await;
    for vm in &fleet.vms {
        let _ = vm.backend.restart().await;
    }
    fleet.wait_until_warm().await;
}

fn crashes(fleet: &Fleet) -> usize {
    fleet.vms.iter().map(|vm| vm.backend.crashes()).sum()
}

#[rstest]
#[case("a", "file", "/filings/filings?crash=1")]
#[case("b", "file", "/filings/filings?crash=1")]
#[case("c", "charge", "/filings/charges?crash=1")]
#[compio::test]
async fn concurrent_duplicates_crash_at_most_two_backend_servers(
    #[case] key: &str,
    #[case] call: &str,
    #[case] path: &str,
) {
    let fleet = filings(4).await;
    let headers = [("idempotency-key", key), ("x-trace", key)];
    for _ in 0..3 {
        let duplicates = (0..8).map(|n| fleet.send_with(n % 4, "POST", path, &headers));
        for answer in join_all(duplicates).await {
            assert_ne!(answer.status().as_u16(), 200, "{call}");
        }
        restart_all(&fleet).await;
    }
    let crashes = crashes(&fleet);
    assert!(crashes <= 2, "{crashes} backend servers crashed");
}

#[rstest]
#[compio::test]
async fn a_new_node_learns_the_quarantined_requests() {
    let mut fleet = filings(1).await;
    for _ in 0..2 {
        let answer = fleet.send(0, "GET", "/filings/filings/1?crash=1").await;
        assert_ne!(answer.status().as_u16(), 200);
        assert_ne!(answer.headers()["lentilshift-verdict"], "not-run");
        restart_all(&fleet).await;
    }
    assert_eq!(crashes(&fleet), 2);
    add_one(&mut fleet, 1).await;
    fleet.wait_until_warm().await;
    for round in 0..8 {
        let answer = fleet
            .send(round % 2, "GET", "/filings/filings/1?crash=1")
            .await;
        assert_eq!(answer.headers()["lentilshift-verdict"], "not-run");
    }
    assert_eq!(crashes(&fleet), 2, "the new node ran the request");
}

#[rstest]
#[compio::test]
async fn a_request_that_reached_no_backend_server_is_no_suspect() {
    let fleet = filings(1).await;
    let backend = &fleet.vms[0].backend;
    for round in 0..2 {
        backend.crash();
        let answer = fleet.send(0, "GET", "/filings/filings/unrelated").await;
        assert_eq!(answer.headers()["lentilshift-verdict"], "not-run");
        backend.restart().await.unwrap();
        fleet.wait_until_warm().await;
        let path = format!("/filings/filings/{round}?crash=1");
        let answer = fleet.send(0, "GET", &path).await;
        assert_ne!(answer.status().as_u16(), 200);
        restart_all(&fleet).await;
    }
    let answer = fleet.send(0, "GET", "/filings/filings/unrelated").await;
    let status = answer.status().as_u16();
    assert_eq!(status, 200, "{}", answer.text().await.unwrap());
}

#[rstest]
#[compio::test]
async fn innocents_beside_a_crash_are_answered() {
    let fleet = filings(3).await;
    for node in 0..3 {
        fleet.vms[node].backend.set_run_ms(40);
    }
    let paths: Vec<String> = (0..60).map(|n| format!("/filings/filings/{n}")).collect();
    let crashing = async {
        sleep(Duration::from_millis(20)).await;
        let path = "/filings/filings/p?crash=1";
        fleet.send_admitted(1, "GET", path, &[]).await
    };
    let unrelated = paths.iter().enumerate();
    let unrelated = unrelated.map(|(n, path)| fleet.send_admitted(n % 3, "GET", path, &[]));
    let (crashed, answers) = futures_util::join!(crashing, join_all(unrelated));
    assert_ne!(crashed.status().as_u16(), 200);
    let mut failed = Vec::new();
    for answer in answers {
        if answer.status() != 200 {
            failed.push(answer.text().await.unwrap());
        }
    }
    assert_eq!(
        failed,
        Vec::<String>::new(),
        "unrelated reads got no answer"
    );
    assert!(crashes(&fleet) <= 2);
}
