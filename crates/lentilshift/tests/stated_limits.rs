//! Backend servers in need that state a request rate, or that they leave, in their answers.

#[path = "platform_path/platform_fleet.rs"]
#[allow(
    dead_code,
    reason = "these tests publish no configuration, and stop and signal no node"
)]
mod platform_fleet;

use std::cell::Cell;
use std::time::{Duration, Instant};

use compio::time::sleep;
use futures_util::future::{join, join_all, select};
use platform_fleet::{CallerRequest, PlatformFleet};
use rstest::rstest;
use standin::InstanceRun;

/// The time after the first statement from which the rate has to be kept.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// The window in which requests are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// The time for which the load lasts, so that several windows are counted.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// The time after a statement of leaving from which no request may arrive.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The time for which a node is frozen, and the pause after it.
const FREEZE_TIME: Duration = Duration::from_millis(1_200);
/// The callers of each node, each with one request at a time.
const CALLERS_PER_NODE: usize = 3;
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

impl LoadCount {
    fn total(&self) -> u32 {
        self.served.get() + self.refused.get() + self.faulty.get()
    }
}

fn increment(count: &Cell<u32>) {
    count.set(count.get() + 1);
}

/// Sends requests to all nodes at once until the time is over.
async fn send_load(fleet: &PlatformFleet, time: Duration) -> LoadCount {
    let count = LoadCount::default();
    let callers = (0..fleet.len() * CALLERS_PER_NODE).map(|caller| {
        let count = &count;
        async move {
            loop {
                let request = CallerRequest::new("/records/7");
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

/// Returns the most requests that arrived within one [`COUNT_WINDOW`] after `from`.
fn most_in_window(runs: &[InstanceRun], from: Instant) -> usize {
    let mut arrived: Vec<Instant> = runs.iter().map(|run| run.arrived).collect();
    arrived.retain(|arrived| *arrived >= from);
    arrived.sort();
    let in_window = |start: &Instant| {
        let rest = arrived.iter().filter(|arrived| **arrived >= *start);
        rest.filter(|arrived| **arrived < *start + COUNT_WINDOW)
            .count()
    };
    arrived.iter().map(in_window).max().unwrap_or(0)
}

/// Returns the most requests that a backend server may get in one [`COUNT_WINDOW`].
fn allowed(rate_per_s: f64) -> usize {
    let requests = 1.5 * rate_per_s * COUNT_WINDOW.as_secs_f64() + 5.0;
    format!("{:.0}", requests.floor()).parse().unwrap()
}

async fn start_fleet() -> PlatformFleet {
    let fleet = PlatformFleet::start().await;
    for instance in &fleet.instances {
        instance.set_run_ms(RUN_MS);
    }
    // Refusals until a node has its first tokens of the team have nothing to do with a limit.
    for node in 0..fleet.len() {
        fleet.send(node, &CallerRequest::new("/records/7")).await;
    }
    fleet
}

/// A backend server that stated a rate was sent its share of all requests as before, by every VM.
#[rstest]
#[case::whole("15", 15.0)]
#[case::fraction("2.5", 2.5)]
#[case::below_one("0.3", 0.3)]
#[case::zero("0", 0.0)]
#[compio::test]
async fn stated_limit_holds_over_all_vms(#[case] stated: &str, #[case] rate_per_s: f64) {
    let fleet = start_fleet().await;
    fleet.instances[0].set_stated_limit(Some(stated));
    let started = Instant::now();
    let count = send_load(&fleet, LOAD_TIME).await;
    let runs = fleet.instances[0].runs();
    let most = most_in_window(&runs, started + STABLE_WINDOW);
    assert!(most <= allowed(rate_per_s), "{most} requests in 4 s");
    assert!(most > 0, "the end of the limit would go unnoticed");
    // The other backend server of the service has room for all that this one can't take.
    assert!(count.served.get() * 100 >= count.total() * 98, "{count:?}");
}

/// A limit that every backend server of a service states is kept, and callers are told when to come
/// back.
#[rstest]
#[compio::test]
async fn requests_beyond_all_stated_limits_are_refused_with_a_delay() {
    let fleet = start_fleet().await;
    for instance in &fleet.instances {
        instance.set_stated_limit(Some("20"));
    }
    let started = Instant::now();
    let count = send_load(&fleet, LOAD_TIME).await;
    for instance in &fleet.instances {
        let most = most_in_window(&instance.runs(), started + STABLE_WINDOW);
        assert!(most <= allowed(20.0), "{most} requests in 4 s");
    }
    assert_eq!(count.faulty.get(), 0, "{count:?}");
    assert!(count.refused.get() > 0, "{count:?}");
    // Two backend servers of the service accept 20 requests per second each; callers get most of it.
    assert!(count.served.get() >= 250, "{count:?}");
}

/// A node that starts again knows nothing of the rate, while the others go on sending to it.
#[rstest]
#[compio::test]
async fn restarted_node_keeps_the_stated_limit_from_its_first_request() {
    let mut fleet = start_fleet().await;
    fleet.instances[0].set_stated_limit(Some("15"));
    let started = Instant::now();
    send_load(&fleet, STABLE_WINDOW).await;
    fleet.restart(0).await;
    let restarted = Instant::now();
    send_load(&fleet, LOAD_TIME).await;
    let runs = fleet.instances[0].runs();
    let most = most_in_window(&runs, started + STABLE_WINDOW);
    assert!(most <= allowed(15.0), "{most} requests in 4 s");
    assert!(runs.iter().any(|run| run.arrived > restarted));
}

/// Requests pile up for a node that is frozen, and reach it together when it wakes.
#[rstest]
#[compio::test]
async fn frozen_node_keeps_the_stated_limit_when_it_wakes() {
    let fleet = start_fleet().await;
    fleet.instances[0].set_stated_limit(Some("15"));
    let started = Instant::now();
    send_load(&fleet, STABLE_WINDOW).await;
    let load = send_load(&fleet, LOAD_TIME);
    let freezing = async {
        for _ in 0..3 {
            fleet.signal(0, "-STOP");
            sleep(FREEZE_TIME).await;
            fleet.signal(0, "-CONT");
            sleep(FREEZE_TIME).await;
        }
    };
    join(load, freezing).await;
    let most = most_in_window(&fleet.instances[0].runs(), started + STABLE_WINDOW);
    assert!(most <= allowed(15.0), "{most} requests in 4 s");
}

/// Limits that end, or that can't be read, keep no request back.
#[rstest]
#[case::ended(None)]
#[case::no_number(Some("many"))]
#[case::not_finite(Some("inf"))]
#[case::negative(Some("-4"))]
#[case::empty(Some(""))]
#[compio::test]
async fn backend_server_without_a_readable_limit_gets_its_share(#[case] stated: Option<&str>) {
    let fleet = start_fleet().await;
    if stated.is_none() {
        fleet.instances[0].set_stated_limit(Some("1"));
        send_load(&fleet, STABLE_WINDOW).await;
    }
    fleet.instances[0].set_stated_limit(stated);
    send_load(&fleet, STABLE_WINDOW).await;
    let before = fleet.runs().len();
    let before_here = fleet.instances[0].runs().len();
    send_load(&fleet, STABLE_WINDOW).await;
    let all = fleet.runs().len() - before;
    let here = fleet.instances[0].runs().len() - before_here;
    assert!(here * 4 >= all, "{here} of {all} requests");
}

/// A backend server that says in its answers that it leaves was sent requests until its report came.
#[rstest]
#[compio::test]
async fn backend_server_that_states_to_leave_receives_no_more_requests() {
    let fleet = start_fleet().await;
    send_load(&fleet, DRAIN_TIME).await;
    fleet.instances[0].state_leaving();
    let started = Instant::now();
    let count = send_load(&fleet, LOAD_TIME).await;
    let runs = fleet.instances[0].runs();
    let late = runs.iter().filter(|run| run.arrived > started + DRAIN_TIME);
    assert_eq!(late.count(), 0);
    assert!(count.served.get() * 100 >= count.total() * 98, "{count:?}");
}
