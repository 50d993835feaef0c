//! Tests on the simulated platform: its store, its instances and nodes that run as processes.

mod departures;
mod endless_answers;
mod evacuation;
mod late_requests;
mod log_return;
mod moved_routes;
mod platform_fleet;
mod signals;
mod soak;
mod soak_caller;

use std::time::Duration;

use platform_fleet::{CallerRequest, KEY, PlatformFleet};
use rstest::rstest;
use standin::{LogOutage, StoreFaults};

/// The time within which a configuration has to be in force on all nodes.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);

#[rstest]
#[compio::test]
async fn every_node_serves_callers_of_the_whole_fleet() {
    let fleet = PlatformFleet::start().await;
    for node in 0..fleet.len() {
        let answer = fleet
            .send(node, &CallerRequest::new("/records/7?sort=new"))
            .await;
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
        let left_ms: u64 = run.headers["deadline-ms"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!(
            left_ms <= 900,
            "{left_ms} ms are left, the route allows 900"
        );
        let headers = format!("{:?}", run.headers);
        assert!(!headers.contains(KEY), "{headers}");
    }
}

#[rstest]
#[case(CallerRequest { key: Some("wrong"), ..CallerRequest::new("/records/7") }, 401)]
#[case(CallerRequest { key: None, ..CallerRequest::new("/records/7") }, 401)]
#[case(CallerRequest::new("/nothing/7"), 404)]
#[case(CallerRequest { host: "elsewhere.example", ..CallerRequest::new("/records/7") }, 404)]
#[case(CallerRequest { key: None, ..CallerRequest::new("/open/7") }, 200)]
#[compio::test]
async fn keys_and_routes_are_checked(#[case] request: CallerRequest, #[case] status: u16) {
    let fleet = PlatformFleet::start().await;
    assert_eq!(fleet.send(0, &request).await.status, status);
}

#[rstest]
#[compio::test]
async fn withdrawn_key_and_new_route_take_effect_in_time() {
    let fleet = PlatformFleet::start().await;
    fleet.publish(7, "other-key", "/fresh/");
    compio::time::sleep(CONFIG_TIMEOUT).await;
    for node in 0..fleet.len() {
        assert_eq!(
            fleet
                .send(node, &CallerRequest::new("/fresh/7"))
                .await
                .status,
            401
        );
        let request = CallerRequest {
            key: Some("other-key"),
            ..CallerRequest::new("/fresh/7")
        };
        assert_eq!(fleet.send(node, &request).await.status, 200);
    }
}

#[rstest]
#[compio::test]
async fn draining_instance_receives_no_more_requests() {
    let fleet = PlatformFleet::start().await;
    assert!(
        fleet.instances[0]
            .report(fleet.report_address(0), "draining")
            .await
    );
    let before = fleet.instances[0].runs().len();
    for number in 0..20 {
        let answer = fleet
            .send(number % fleet.len(), &CallerRequest::new("/records/7"))
            .await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fleet.instances[0].runs().len(), before);
}

#[rstest]
#[compio::test]
async fn keys_are_refused_when_the_store_is_down_for_longer_than_a_withdrawal_may_take() {
    let fleet = PlatformFleet::start().await;
    fleet.store.set_faults(StoreFaults {
        outage: LogOutage::Refuse,
        ..StoreFaults::default()
    });
    compio::time::sleep(Duration::from_secs(5)).await;
    let answer = fleet.send(0, &CallerRequest::new("/records/7")).await;
    assert_eq!(answer.status, 503);
    let open = CallerRequest {
        key: None,
        ..CallerRequest::new("/open/7")
    };
    assert_eq!(fleet.send(0, &open).await.status, 200);
}

/// Slightly more than the time for which a stopping node still admits requests while callers switch to
/// other nodes.
const SWITCH_TIME: Duration = Duration::from_millis(3_300);

/// Guards against a stopping node admitting a request so late that its grace period ends first and
/// cancels the request.
#[rstest]
#[compio::test]
async fn stopping_node_takes_no_request_that_it_might_have_to_cut() {
    let fleet = PlatformFleet::start().await;
    for instance in &fleet.instances {
        instance.set_run_ms(800);
    }
    fleet.terminate(0);
    let stopping = compio::time::sleep(SWITCH_TIME);
    let keeping_busy = async {
        loop {
            let request = CallerRequest::new("/records/7");
            let _ = fleet.try_send(0, &request).await;
        }
    };
    // The second future never ends, so that the last request is sent after the whole time.
    futures_util::future::select(Box::pin(stopping), Box::pin(keeping_busy)).await;
    if let Some(response) = fleet.try_send(0, &CallerRequest::new("/records/7")).await {
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.header("retry-after").is_some());
    }
}
