//! Routes that move to another service while nodes don't run.

use std::time::{Duration, Instant};

use compio::time::sleep;
use rstest::rstest;

use crate::platform_fleet::{CallerRequest, PlatformFleet};

/// The bound on the time until a configuration is in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// The time beyond that after which the requests are sent.
const LATER: Duration = Duration::from_millis(500);
/// The requests that are sent to each node.
const REQUESTS: usize = 20;
const PATHS: [&str; 2] = ["/slow/after", "/slow/before"];

/// Guards against requests that a node has waiting when it runs again, and that it sends to the
/// service that the route had before: sent later than a configuration may take to be in force.
#[rstest]
#[case::one_node(1)]
#[case::all_nodes(3)]
#[compio::test]
async fn node_that_wakes_serves_routes_as_they_are_now(#[case] stopped: usize) {
    let fleet = PlatformFleet::start_in(["here", "there", "yonder"]).await;
    let request = |path| CallerRequest {
        key: None,
        ..CallerRequest::new(path)
    };
    for round in 0..2 {
        let (from, to) = [("archive", "registry"), ("registry", "archive")][round % 2];
        for node in 0..fleet.len() {
            drop(fleet.open(node, "POST", &request(PATHS[1])).await);
        }
        for node in 0..stopped {
            fleet.signal(node, "-STOP");
        }
        fleet.publish_moved(10 + round as u64, to);
        sleep(CONFIG_LIMIT + LATER).await;
        let before = late_runs(&fleet, from);
        let mut open = Vec::new();
        for _ in 0..REQUESTS {
            for node in 0..stopped {
                open.push(fleet.open(node, "POST", &request(PATHS[0])).await);
            }
        }
        for node in 0..stopped {
            fleet.signal(node, "-CONT");
        }
        sleep(Duration::from_secs(4)).await;
        let late = late_runs(&fleet, from) - before;
        assert_eq!(late, 0, "of {} requests, in round {round}", open.len());
        let served = late_runs(&fleet, to);
        assert!(served >= open.len() / 2, "{served} of {}", open.len());
    }
}

/// Guards against nodes that don't follow a route which moves while the store removes the records of
/// the operators' topic.
#[rstest]
#[compio::test]
async fn moves_are_followed_while_the_store_forgets_its_history(
    #[values(0, 3, 40, 700)] forgets_after_ms: u64,
) {
    let fleet = PlatformFleet::start_in(["here", "there", "yonder"]).await;
    let request = CallerRequest {
        key: None,
        ..CallerRequest::new(PATHS[0])
    };
    for round in 0..4 {
        let (from, to) = [("archive", "registry"), ("registry", "archive")][round % 2];
        let published = Instant::now();
        fleet.publish_moved(10 + round as u64, to);
        sleep(Duration::from_millis(forgets_after_ms)).await;
        fleet.store.remove_records("keyed.op");
        sleep(CONFIG_LIMIT.saturating_sub(published.elapsed())).await;
        let before = (late_runs(&fleet, from), late_runs(&fleet, to));
        for node in 0..fleet.len() {
            let _open = fleet.open(node, "POST", &request).await;
            sleep(Duration::from_millis(50)).await;
        }
        let runs = (late_runs(&fleet, from), late_runs(&fleet, to));
        assert_eq!(runs.0 - before.0, 0, "in round {round}");
        assert_eq!(runs.1 - before.1, fleet.len(), "in round {round}");
    }
}

/// Returns the number of requests sent after a move that a service has run.
fn late_runs(fleet: &PlatformFleet, service: &str) -> usize {
    let instances = ["archive", "archive", "registry"].into_iter();
    let instances = instances.zip(&fleet.instances);
    instances
        .filter(|(name, _)| *name == service)
        .flat_map(|(_, instance)| instance.runs())
        .filter(|run| run.path == PATHS[0])
        .count()
}
