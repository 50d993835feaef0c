//! A store that is away for a moment and comes back from a copy some seconds old.

use std::time::{Duration, Instant};

use compio::time::sleep;
use rstest::rstest;
use standin::{LogOutage, StoreFaults, StoreServer};

use crate::departures::{arrivals_at, depart};
use crate::platform_fleet::{CallerRequest, KEY, PlatformFleet};

/// A request on a route without keys.
const OPEN: CallerRequest = CallerRequest {
    key: None,
    ..CallerRequest::new("/open/7")
};
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(300);
/// The time within which what was lost is written again.
const REWRITE_LIMIT: Duration = Duration::from_secs(2);
/// The time within which a configuration has to be in force on all nodes.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// The time within which a restarted node serves.
const START_LIMIT: Duration = Duration::from_secs(6);
/// The time for which an instance keeps sending delayed reports after its departure.
const DELAYED_REPORTS: Duration = Duration::from_secs(3);

async fn start() -> PlatformFleet {
    let store = StoreServer::default();
    store.state_era();
    PlatformFleet::start_on(store, ["here"; 3]).await
}

/// Makes the store go away and come back without what it was given in the time before.
async fn go_back(fleet: &PlatformFleet, lost: Duration) {
    fleet.store.set_faults(StoreFaults {
        outage: LogOutage::Refuse,
        ..StoreFaults::default()
    });
    sleep(AWAY).await;
    fleet.store.go_back(lost + AWAY);
    fleet.store.set_faults(StoreFaults::default());
}

fn has_departure(fleet: &PlatformFleet) -> bool {
    let records = fleet.store.records("members");
    let mut texts = records.iter().map(|record| String::from_utf8_lossy(record));
    texts.any(|text| text.contains("departed"))
}

/// Guards against a confirmed departure that the store has lost being forgotten: the next process of
/// the node used the instance again.
///
/// The instances of the fleet keep sending reports that say `ready`.
#[rstest]
#[compio::test]
async fn departure_that_the_store_has_lost_still_binds(#[values(true, false)] is_gone: bool) {
    let mut fleet = start().await;
    sleep(Duration::from_secs(1)).await;
    assert!(depart(&fleet, 0, is_gone).await);
    assert!(has_departure(&fleet));
    go_back(&fleet, Duration::from_millis(800)).await;
    assert!(!has_departure(&fleet));
    assert_eq!(arrivals_at(&fleet, 0, REWRITE_LIMIT).await, 0);
    assert!(has_departure(&fleet));
    fleet.kill(0);
    fleet.spawn(0);
    fleet.wait_until_serving(0, START_LIMIT).await;
    assert_eq!(arrivals_at(&fleet, 0, DELAYED_REPORTS).await, 0);
}

/// Guards against nodes that revert the configuration, don't follow it any more, or stop serving
/// when the store has gone back. The whole fleet's announcements and leases are lost too in one case.
#[rstest]
#[compio::test]
async fn configuration_stays_and_serving_goes_on(
    #[values(Duration::from_secs(2), Duration::from_mins(1))] lost: Duration,
) {
    let fleet = start().await;
    fleet.publish(7, "other-key", "/fresh/");
    sleep(CONFIG_LIMIT).await;
    go_back(&fleet, lost).await;
    let fresh = CallerRequest {
        key: Some("other-key"),
        ..CallerRequest::new("/fresh/7")
    };
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        for node in 0..fleet.len() {
            assert_eq!(fleet.send(node, &OPEN).await.status, 200);
            let status = fleet.send(node, &fresh).await.status;
            assert!(status == 200 || status == 429, "{status}");
            let withdrawn = CallerRequest::new("/fresh/7");
            assert_eq!(fleet.send(node, &withdrawn).await.status, 401);
        }
        sleep(Duration::from_millis(50)).await;
    }
    fleet.publish(9, KEY, "/newest/");
    sleep(CONFIG_LIMIT).await;
    for node in 0..fleet.len() {
        let newest = CallerRequest::new("/newest/7");
        assert_eq!(fleet.send(node, &newest).await.status, 200);
        assert_eq!(fleet.send(node, &fresh).await.status, 404);
    }
}

/// Guards against tokens that are granted twice, or no more, when the store has gone back.
#[rstest]
#[compio::test]
async fn tokens_stay_within_the_rate_when_the_store_goes_back() {
    const RATE: u32 = 20;
    let fleet = start().await;
    fleet.publish_rate(7, "other-key", "/fresh/", RATE);
    sleep(CONFIG_LIMIT).await;
    let request = CallerRequest {
        key: Some("other-key"),
        ..CallerRequest::new("/fresh/7")
    };
    let started = Instant::now();
    let (mut served, mut served_late) = (0, 0);
    let mut is_back = false;
    while started.elapsed() < Duration::from_secs(14) {
        if !is_back && started.elapsed() > Duration::from_secs(4) {
            go_back(&fleet, Duration::from_secs(3)).await;
            is_back = true;
        }
        for node in 0..fleet.len() {
            let answer = fleet.try_send(node, &request).await;
            let is_served = answer.is_some_and(|answer| answer.status == 200);
            served += u32::from(is_served);
            let is_late = started.elapsed() > Duration::from_secs(10);
            served_late += u32::from(is_served && is_late);
        }
        sleep(Duration::from_millis(5)).await;
    }
    let span_s = started.elapsed().as_secs_f64();
    let most = f64::from(RATE) * (span_s + 1.0) + 1.0;
    println!("served={served} most={most:.0} served_in_the_last_4_s={served_late}");
    assert!(f64::from(served) <= most, "{served} were served");
    assert!(
        served_late >= RATE * 4 / 2,
        "{served_late} were served late"
    );
}
