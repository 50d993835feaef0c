//! Requests that crash backend servers, sent by impatient callers.

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
    fleet.settle().await;
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
    for pair in &fleet.pairs {
        let _ = pair.backend.restart().await;
    }
    fleet.settle().await;
}

fn crashes(fleet: &Fleet) -> usize {
    fleet.pairs.iter().map(|pair| pair.backend.crashes()).sum()
}

#[rstest]
#[case("a", "file", "/filings/filings?crash=1")]
#[case("b", "file", "/filings/filings?crash=1")]
#[case("c", "charge", "/filings/charges?crash=1")]
#[compio::test]
async fn copies_sent_at_once_take_down_at_most_two(
    #[case] key: &str,
    #[case] call: &str,
    #[case] path: &str,
) {
    let fleet = filings(4).await;
    let headers = [("idempotency-key", key), ("x-trace", key)];
    for _ in 0..3 {
        let copies = (0..8).map(|n| fleet.send_with(n % 4, "POST", path, &headers));
        for answer in join_all(copies).await {
            assert_ne!(answer.status().as_u16(), 200, "{call}");
        }
        restart_all(&fleet).await;
    }
    let crashes = crashes(&fleet);
    assert!(crashes <= 2, "{crashes} backend servers went down");
}

#[rstest]
#[compio::test]
async fn a_node_that_starts_learns_what_is_in_quarantine() {
    let mut fleet = filings(1).await;
    for _ in 0..2 {
        let answer = fleet.send(0, "GET", "/filings/filings/1?crash=1").await;
        assert_ne!(answer.status().as_u16(), 200);
        assert_ne!(answer.headers()["lentilshift-verdict"], "not-run");
        restart_all(&fleet).await;
    }
    assert_eq!(crashes(&fleet), 2);
    add_one(&mut fleet, 1).await;
    fleet.settle().await;
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
async fn a_call_that_found_no_backend_server_is_no_suspect() {
    let fleet = filings(1).await;
    let backend = &fleet.pairs[0].backend;
    for round in 0..2 {
        backend.crash();
        let answer = fleet.send(0, "GET", "/filings/filings/innocent").await;
        assert_eq!(answer.headers()["lentilshift-verdict"], "not-run");
        backend.restart().await.unwrap();
        fleet.settle().await;
        let path = format!("/filings/filings/{round}?crash=1");
        let answer = fleet.send(0, "GET", &path).await;
        assert_ne!(answer.status().as_u16(), 200);
        restart_all(&fleet).await;
    }
    let answer = fleet.send(0, "GET", "/filings/filings/innocent").await;
    let status = answer.status().as_u16();
    assert_eq!(status, 200, "{}", answer.text().await.unwrap());
}

#[rstest]
#[compio::test]
async fn innocents_beside_a_crash_are_answered() {
    let fleet = filings(3).await;
    for node in 0..3 {
        fleet.pairs[node].backend.set_run_ms(40);
    }
    let paths: Vec<String> = (0..60).map(|n| format!("/filings/filings/{n}")).collect();
    let poison = async {
        sleep(Duration::from_millis(20)).await;
        let path = "/filings/filings/p?crash=1";
        fleet.send_admitted(1, "GET", path, &[]).await
    };
    let innocents = paths.iter().enumerate();
    let innocents = innocents.map(|(n, path)| fleet.send_admitted(n % 3, "GET", path, &[]));
    let (poisoned, answers) = futures_util::join!(poison, join_all(innocents));
    assert_ne!(poisoned.status().as_u16(), 200);
    let mut lost = Vec::new();
    for answer in answers {
        if answer.status() != 200 {
            lost.push(answer.text().await.unwrap());
        }
    }
    assert_eq!(
        lost,
        Vec::<String>::new(),
        "innocent reads lost their answers"
    );
    assert!(crashes(&fleet) <= 2);
}
