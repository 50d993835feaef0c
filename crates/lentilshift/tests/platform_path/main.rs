//! The users' platform, without its bench: its store, its instances and nodes as processes.

mod platform_fleet;

use std::time::Duration;

use platform_fleet::{Ask, KEY, PlatformFleet};
use rstest::rstest;
use standin::{LogOutage, StoreFaults};

/// The time within which a configuration is in force everywhere.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);

#[rstest]
#[compio::test]
async fn every_node_serves_callers_of_the_whole_fleet() {
    let fleet = PlatformFleet::start().await;
    for node in 0..fleet.len() {
        let answer = fleet.ask(node, &Ask::new("/records/7?sort=new")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.header("request-id"), Some("9c41d07be2a35f68"));
        assert!(answer.header("response-signature").is_some());
    }
    let runs = fleet.runs();
    assert_eq!(runs.len(), fleet.len());
    for run in runs {
        assert_eq!(run.path, "/records/7?sort=new");
        assert_eq!(run.headers["tenant"], "clubs");
        assert!(
            run.headers["expect-instance"]
                .to_str()
                .unwrap()
                .starts_with("i-")
        );
        assert!(run.headers.contains_key("caller-service"));
        let left: u64 = run.headers["deadline-ms"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!(left <= 900, "{left} ms are left, the route allows 900");
        let told = format!("{:?}", run.headers);
        assert!(!told.contains(KEY), "{told}");
    }
}

#[rstest]
#[case(Ask { key: Some("wrong"), ..Ask::new("/records/7") }, 401)]
#[case(Ask { key: None, ..Ask::new("/records/7") }, 401)]
#[case(Ask::new("/nothing/7"), 404)]
#[case(Ask { host: "elsewhere.example", ..Ask::new("/records/7") }, 404)]
#[case(Ask { key: None, ..Ask::new("/open/7") }, 200)]
#[compio::test]
async fn keys_and_routes_are_checked(#[case] ask: Ask, #[case] status: u16) {
    let fleet = PlatformFleet::start().await;
    assert_eq!(fleet.ask(0, &ask).await.status, status);
}

#[rstest]
#[compio::test]
async fn withdrawn_key_stops_and_a_new_route_works_within_the_limit() {
    let fleet = PlatformFleet::start().await;
    fleet.publish(7, "other-key", "/fresh/");
    compio::time::sleep(CONFIG_LIMIT).await;
    for node in 0..fleet.len() {
        assert_eq!(fleet.ask(node, &Ask::new("/fresh/7")).await.status, 401);
        let ask = Ask {
            key: Some("other-key"),
            ..Ask::new("/fresh/7")
        };
        assert_eq!(fleet.ask(node, &ask).await.status, 200);
    }
}

#[rstest]
#[compio::test]
async fn draining_instance_gets_nothing_more() {
    let fleet = PlatformFleet::start().await;
    assert!(
        fleet.instances[0]
            .report(fleet.report_address(0), "draining")
            .await
    );
    let before = fleet.instances[0].runs().len();
    for number in 0..20 {
        let answer = fleet
            .ask(number % fleet.len(), &Ask::new("/records/7"))
            .await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fleet.instances[0].runs().len(), before);
}

#[rstest]
#[compio::test]
async fn keys_are_not_trusted_once_the_store_is_silent_for_longer_than_a_withdrawal_may_take() {
    let fleet = PlatformFleet::start().await;
    fleet.store.set_faults(StoreFaults {
        outage: LogOutage::Refuse,
        ..StoreFaults::default()
    });
    compio::time::sleep(Duration::from_secs(5)).await;
    let answer = fleet.ask(0, &Ask::new("/records/7")).await;
    assert_eq!(answer.status, 503);
    let open = Ask {
        key: None,
        ..Ask::new("/open/7")
    };
    assert_eq!(fleet.ask(0, &open).await.status, 200);
}

/// The time for which a node that stops lets callers move away, and a little more.
const MOVED_AWAY: Duration = Duration::from_millis(3_300);

/// A request that a stopping node took late was cut at the end of its grace time.
#[rstest]
#[compio::test]
async fn stopping_node_takes_no_request_that_it_might_have_to_cut() {
    let fleet = PlatformFleet::start().await;
    for instance in &fleet.instances {
        instance.set_run_ms(800);
    }
    fleet.terminate(0);
    let stopping = compio::time::sleep(MOVED_AWAY);
    let keeping_busy = async {
        for _ in 0..5 {
            let ask = Ask::new("/records/7");
            let _ = fleet.try_ask(0, &ask).await;
        }
    };
    futures_util::future::select(Box::pin(stopping), Box::pin(keeping_busy)).await;
    if let Some(told) = fleet.try_ask(0, &Ask::new("/records/7")).await {
        assert_eq!(told.status, 503, "{told:?}");
        assert!(told.header("retry-after").is_some());
    }
}
