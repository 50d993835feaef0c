//! Backend servers that turn cold bear a fraction of what warm ones do, while the fleet sends as
//! before.

#[path = "platform_path/platform_fleet.rs"]
#[allow(dead_code, reason = "these tests stop and signal no node")]
mod platform_fleet;

use std::cell::Cell;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use compio::time::sleep;
use futures_util::future::{join_all, select};
use platform_fleet::{CallerRequest, PlatformFleet};
use rstest::rstest;
use standin::{ColdState, InstanceRun};

/// The time for which an instance is cold.
const COLD_TIME: Duration = Duration::from_secs(3);
/// The time in which a node notices that its instance is warm again.
const NOTICE_TIME: Duration = Duration::from_millis(250);
/// The window in which requests are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);
/// The requests that a cold instance may get in one second: 16 x 1.5 + 8.
const ALLOWED: usize = 32;
/// The callers of each node, each with one request at a time.
const CALLERS_PER_NODE: usize = 4;
/// The run time of a request, in milliseconds.
const RUN_MS: u64 = 20;

/// The answers to the requests of a load.
#[derive(Debug, Default)]
struct LoadCount {
    served: Cell<u32>,
    refused: Cell<u32>,
    /// Refusals that don't tell the caller when to come back, and all other answers.
    faulty: Cell<u32>,
}

fn increment(count: &Cell<u32>) {
    count.set(count.get() + 1);
}

/// Returns a path that no other request has. Copies of one request that ran during two crashes would
/// be quarantined.
fn new_path() -> &'static str {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    Box::leak(format!("/records/{number}").into_boxed_str())
}

/// Sends requests to all nodes at once until the time is over.
async fn send_load(fleet: &PlatformFleet, time: Duration) -> LoadCount {
    let count = LoadCount::default();
    let callers = (0..fleet.len() * CALLERS_PER_NODE).map(|caller| {
        let count = &count;
        async move {
            loop {
                let request = CallerRequest::new(new_path());
                let Some(answer) = fleet.try_send(caller % fleet.len(), &request).await else {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                };
                let has_delay = answer.header("retry-after").is_some();
                match answer.status {
                    200 => increment(&count.served),
                    429 | 503 if has_delay => increment(&count.refused),
                    _ => increment(&count.faulty),
                }
                if answer.status != 200 {
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    });
    select(Box::pin(sleep(time)), Box::pin(join_all(callers))).await;
    count
}

/// Returns the most requests that a cold instance got within one [`COUNT_WINDOW`].
fn most_cold(runs: &[InstanceRun]) -> usize {
    let cold = runs.iter().filter(|run| run.is_cold);
    let mut arrived: Vec<Instant> = cold.map(|run| run.arrived).collect();
    arrived.sort();
    let in_window = |start: &Instant| {
        let rest = arrived.iter().filter(|arrived| **arrived >= *start);
        rest.filter(|arrived| **arrived < *start + COUNT_WINDOW)
            .count()
    };
    arrived.iter().map(in_window).max().unwrap_or(0)
}

async fn start_fleet() -> PlatformFleet {
    let fleet = PlatformFleet::start().await;
    fleet.publish_with_warm_up(5);
    for instance in &fleet.instances {
        instance.set_run_ms(RUN_MS);
    }
    sleep(Duration::from_secs(3)).await;
    for node in 0..fleet.len() {
        fleet.send(node, &CallerRequest::new("/records/7")).await;
    }
    fleet
}

/// An instance that turns cold under load without a start gets no more than it bears, and the other
/// one takes the rest.
#[rstest]
#[compio::test]
async fn instance_that_turns_cold_under_load_is_not_overrun() {
    let fleet = start_fleet().await;
    send_load(&fleet, Duration::from_secs(1)).await;
    fleet.instances[0].turn_cold(COLD_TIME);
    let count = send_load(&fleet, COLD_TIME).await;
    let most = most_cold(&fleet.instances[0].runs());
    assert!(most <= ALLOWED, "{most} requests in a second");
    assert!(most >= 10, "a cold instance does work: {most}");
    let total = count.served.get() + count.refused.get() + count.faulty.get();
    assert!(count.served.get() * 100 >= total * 95, "{count:?}");
    assert_eq!(count.faulty.get(), 0, "{count:?}");
    // Once it is warm, it gets its share again.
    let before = fleet.instances[0].runs().len();
    let count = send_load(&fleet, Duration::from_secs(1)).await;
    let here = fleet.instances[0].runs().len() - before;
    assert!(here * 4 >= count.served.get() as usize, "{here} {count:?}");
}

/// All instances of the service are cold: callers are told when to come back, and the instances get
/// everything once they are warm.
#[rstest]
#[compio::test]
async fn service_whose_instances_are_all_cold_recovers() {
    let fleet = start_fleet().await;
    for instance in &fleet.instances {
        instance.turn_cold(COLD_TIME);
    }
    let count = send_load(&fleet, COLD_TIME + NOTICE_TIME).await;
    for instance in &fleet.instances[..2] {
        let most = most_cold(&instance.runs());
        assert!(most <= ALLOWED, "{most} requests in a second");
    }
    assert_eq!(count.faulty.get(), 0, "{count:?}");
    assert!(count.refused.get() > 0, "{count:?}");
    let count = send_load(&fleet, Duration::from_secs(1)).await;
    assert!(count.served.get() > 150, "{count:?}");
    assert_eq!(count.refused.get() + count.faulty.get(), 0, "{count:?}");
}

/// Instances that fell over came back cold, got the load of warm ones and fell over again, without
/// end.
#[rstest]
#[compio::test]
async fn instances_that_fell_over_get_warm_again() {
    let fleet = start_fleet().await;
    for instance in &fleet.instances {
        instance.set_cold_state(ColdState {
            time: COLD_TIME,
            bears: ALLOWED,
        });
    }
    send_load(&fleet, Duration::from_secs(1)).await;
    for instance in &fleet.instances[..2] {
        instance.fall_over();
    }
    send_load(&fleet, 2 * COLD_TIME).await;
    let count = send_load(&fleet, Duration::from_secs(1)).await;
    for instance in &fleet.instances[..2] {
        assert_eq!(instance.falls(), 1, "{count:?}");
        let most = most_cold(&instance.runs());
        assert!(most <= ALLOWED, "{most} requests in a second");
    }
    assert!(count.served.get() > 150, "{count:?}");
    assert_eq!(count.refused.get() + count.faulty.get(), 0, "{count:?}");
}

/// A node that starts beside a cold instance knows nothing of it, while the others go on sending.
#[rstest]
#[compio::test]
async fn restarted_node_does_not_overrun_a_cold_instance() {
    let mut fleet = start_fleet().await;
    send_load(&fleet, Duration::from_secs(1)).await;
    fleet.instances[0].turn_cold(4 * COLD_TIME);
    send_load(&fleet, Duration::from_secs(1)).await;
    fleet.restart(0).await;
    send_load(&fleet, COLD_TIME).await;
    let most = most_cold(&fleet.instances[0].runs());
    assert!(most <= ALLOWED, "{most} requests in a second");
}
