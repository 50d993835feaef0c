//! Departures of instances that a node has confirmed, and what the node's next process knows of them.

use std::time::{Duration, Instant};

use compio::time::sleep;
use rstest::rstest;
use standin::{LogOutage, StoreFaults};

use crate::platform_fleet::{CallerRequest, PlatformFleet};

/// A request on a route without keys.
const REQUEST: CallerRequest = CallerRequest {
    key: None,
    ..CallerRequest::new("/open/7")
};
/// The time for which an instance keeps sending delayed reports after its departure.
const DELAYED_REPORTS: Duration = Duration::from_secs(3);
/// The time within which a restarted node serves.
const START_LIMIT: Duration = Duration::from_secs(6);
/// The time by which a restarted node may serve later for knowing of a departure.
const SERVE_LIMIT: Duration = Duration::from_secs(3);

/// Tells a node of the departure of its instance, and returns whether the node confirmed it.
pub async fn depart(fleet: &PlatformFleet, node: usize, is_gone: bool) -> bool {
    let instance = &fleet.instances[node];
    let address = fleet.report_address(node);
    if is_gone {
        instance.depart(address).await
    } else {
        instance.report(address, "draining").await
    }
}

/// Sends requests to all nodes for a while, and returns how many have reached an instance.
pub async fn arrivals_at(fleet: &PlatformFleet, instance: usize, span: Duration) -> usize {
    let before = fleet.instances[instance].runs().len();
    let until = Instant::now() + span;
    while Instant::now() < until {
        for node in 0..fleet.len() {
            let _ = fleet.try_send(node, &REQUEST).await;
        }
        sleep(Duration::from_millis(20)).await;
    }
    fleet.instances[instance].runs().len() - before
}

/// Guards against a node that is killed forgetting a confirmed departure: a delayed report made its
/// next process send requests to the instance.
///
/// The instances of the fleet keep sending reports that say `ready`.
#[rstest]
#[compio::test]
async fn restarted_node_keeps_a_confirmed_departure(#[values(true, false)] is_gone: bool) {
    let mut fleet = PlatformFleet::start().await;
    assert!(depart(&fleet, 0, is_gone).await);
    for _ in 0..2 {
        fleet.kill(0);
        fleet.spawn(0);
        fleet.wait_until_serving(0, START_LIMIT).await;
        assert_eq!(arrivals_at(&fleet, 0, DELAYED_REPORTS).await, 0);
    }
}

/// Guards against an instance that starts anew beside a restarted node waiting for its requests
/// because another start of it has left.
#[rstest]
#[compio::test]
async fn instance_that_starts_anew_beside_a_restarted_node_is_served() {
    let mut fleet = PlatformFleet::start().await;
    assert!(depart(&fleet, 0, true).await);
    fleet.kill(0);
    fleet.instances[0].start_anew();
    fleet.spawn(0);
    fleet.wait_until_serving(0, START_LIMIT).await;
    assert!(arrivals_at(&fleet, 0, SERVE_LIMIT).await > 0);
}

/// Guards against a departure being confirmed that the next process of the node couldn't know of.
#[rstest]
#[compio::test]
async fn departure_is_confirmed_once_it_is_on_the_log(#[values(true, false)] is_gone: bool) {
    let fleet = PlatformFleet::start().await;
    fleet.store.set_faults(StoreFaults {
        outage: LogOutage::Refuse,
        ..StoreFaults::default()
    });
    let asked_at = Instant::now();
    assert!(!depart(&fleet, 0, is_gone).await);
    assert!(asked_at.elapsed() < Duration::from_secs(1));
    assert_eq!(arrivals_at(&fleet, 0, Duration::from_secs(1)).await, 0);
    fleet.store.set_faults(StoreFaults::default());
    let until = Instant::now() + START_LIMIT;
    while !depart(&fleet, 0, is_gone).await {
        assert!(Instant::now() < until, "the departure isn't confirmed");
        sleep(Duration::from_millis(100)).await;
    }
    let records = fleet.store.records("members");
    let records = records.iter().map(|record| String::from_utf8_lossy(record));
    assert!(records.into_iter().any(|text| text.contains("departed")));
}
