//! A zone that operators evacuate, and its return.

use std::time::{Duration, Instant};

use compio::time::sleep;

use crate::platform_fleet::{CallerRequest, PlatformFleet};

/// A request on a route without keys.
const REQUEST: CallerRequest = CallerRequest {
    key: None,
    ..CallerRequest::new("/open/7")
};
/// The key of the evacuation of the zone "there" in the operators' topic.
const EVACUATION: &str = "evacuate/there";
/// The time after which no request may reach an instance of an evacuated zone.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// The time for which requests are observed.
const OBSERVATION: Duration = Duration::from_secs(2);
/// The time within which an instance is used again after an evacuation.
const RETURN_LIMIT: Duration = Duration::from_secs(30);

/// Sends requests to all nodes for a while, all of which must be answered, and returns how many have
/// reached an instance.
async fn arrivals_at(fleet: &PlatformFleet, instance: usize, span: Duration) -> usize {
    let before = fleet.instances[instance].runs().len();
    let until = Instant::now() + span;
    while Instant::now() < until {
        for node in 0..fleet.len() {
            assert_eq!(fleet.send(node, &REQUEST).await.status, 200);
        }
        sleep(Duration::from_millis(20)).await;
    }
    fleet.instances[instance].runs().len() - before
}

async fn wait_until_used(fleet: &PlatformFleet, instance: usize) {
    let until = Instant::now() + RETURN_LIMIT;
    while arrivals_at(fleet, instance, Duration::from_millis(200)).await == 0 {
        assert!(Instant::now() < until, "the instance isn't used again");
    }
}

/// Guards against requests that reach an instance of an evacuated zone, from callers there and
/// elsewhere, and after the store has dropped the record and a node there has started again.
#[compio::test]
async fn evacuated_zone_gets_no_requests_until_its_return() {
    let mut fleet = PlatformFleet::start_in(["here", "there", "there"]).await;
    wait_until_used(&fleet, 1).await;
    fleet.store.put("keyed.op", EVACUATION, b"{}");
    let evacuated_at = Instant::now();
    sleep(EVACUATION_LIMIT).await;
    assert_eq!(arrivals_at(&fleet, 1, OBSERVATION).await, 0);

    fleet.store.remove_records("keyed.op");
    fleet.restart(1).await;
    assert!(evacuated_at.elapsed() > EVACUATION_LIMIT);
    assert_eq!(arrivals_at(&fleet, 1, OBSERVATION).await, 0);

    fleet.store.put("keyed.op", EVACUATION, b"");
    wait_until_used(&fleet, 1).await;
}
