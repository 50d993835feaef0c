//! Teams within their rates are admitted at nodes without tokens and after the loss of an allocator.

mod fleet;

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;
use fleet::killable_node::KillableNode;
use fleet::{Fleet, KEY};
use futures_util::future::join_all;
use model::VmName;
use rstest::rstest;
use standin::{BackendServer, BackendSettings};

/// The number of requests in a burst.
const BURST_REQUESTS: usize = 60;
/// The deadline of a request, in milliseconds.
const DEADLINE_MS: &str = "4000";
/// The interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// The longest time after a loss for which requests within the rate may be refused, in
/// milliseconds.
const MAX_REFUSAL_MS: u128 = 1_000;
/// The time for which requests are sent and refusals counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);

async fn fleet_of(nodes: usize) -> Fleet {
    let mut fleet = Fleet::start().await;
    for index in 0..nodes {
        let name = format!("filings-{index}");
        fleet
            .add(&name, "filings", BackendSettings::default())
            .await;
    }
    fleet.wait_until_ready().await;
    fleet
}

/// Sends one read and returns its status.
async fn read(fleet: &Fleet, node: usize) -> u16 {
    let headers = [("lentilshift-deadline-ms", DEADLINE_MS)];
    let answer = fleet.send_with(node, "GET", "/filings/filings/7", &headers);
    answer.await.status().as_u16()
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(6)]
#[compio::test]
async fn first_burst_is_admitted_whole(#[case] nodes: usize) {
    let fleet = fleet_of(nodes).await;
    let statuses = join_all((0..BURST_REQUESTS).map(|n| read(&fleet, n % nodes))).await;
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert_eq!(refused, 0, "{statuses:?}");
}

/// Starts a killable node for each backend server and waits until each node sees all as ready.
async fn killable_nodes(fleet: &Fleet, backends: &[Rc<BackendServer>]) -> Vec<KillableNode> {
    let named = backends.iter().enumerate().map(|(index, backend)| {
        let name = VmName::new(format!("filings-{index}"));
        KillableNode::start(fleet.settings(name, "filings".into(), backend))
    });
    let nodes: Vec<KillableNode> = named.collect();
    for node in &nodes {
        while dump(fleet, node).await["ready_members"] != backends.len() {
            sleep(REQUEST_INTERVAL).await;
        }
    }
    nodes
}

async fn dump(fleet: &Fleet, node: &KillableNode) -> serde_json::Value {
    let url = format!("http://{}/dump", node.admin_address);
    let answer = fleet.client.get(url).unwrap().send().await.unwrap();
    serde_json::from_str(&answer.text().await.unwrap()).unwrap()
}

/// Removes the node that is the allocator from `nodes`, and returns it.
async fn remove_allocator(fleet: &Fleet, nodes: &mut Vec<KillableNode>) -> KillableNode {
    loop {
        for index in 0..nodes.len() {
            if dump(fleet, &nodes[index]).await["allocated_slots"] != 0 {
                return nodes.remove(index);
            }
        }
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Sends a read every [`REQUEST_INTERVAL`] for [`OBSERVATION_TIME`], and returns the send times, in
/// milliseconds, of those refused with 429.
async fn refusal_times_ms(fleet: &Fleet, node: &KillableNode) -> Vec<u128> {
    let started = Instant::now();
    let sends =
        (0..OBSERVATION_TIME.as_millis() / REQUEST_INTERVAL.as_millis()).map(|n| async move {
            sleep(REQUEST_INTERVAL * u32::try_from(n).unwrap()).await;
            let sent = started.elapsed().as_millis();
            let url = format!("http://{}/filings/filings/7", node.caller_address);
            let request = fleet.client.get(url).unwrap();
            let request = request.header("x-api-key", KEY).unwrap();
            let request = request.header("lentilshift-deadline-ms", DEADLINE_MS);
            let answer = request.unwrap().send().await.unwrap();
            (answer.status() == 429).then_some(sent)
        });
    join_all(sends).await.into_iter().flatten().collect()
}

#[rstest]
#[case(3)]
#[case(5)]
#[compio::test]
async fn killed_allocator_is_felt_briefly(#[case] count: usize) {
    let fleet = Fleet::start().await;
    let mut backends = Vec::new();
    for _ in 0..count {
        let backend = BackendServer::start(BackendSettings::default());
        backends.push(backend.await.unwrap());
    }
    let mut nodes = killable_nodes(&fleet, &backends).await;
    let refused_before = refusal_times_ms(&fleet, &nodes[0]).await;
    assert!(
        refused_before.is_empty(),
        "refused without a fault: {refused_before:?}"
    );
    drop(remove_allocator(&fleet, &mut nodes).await);
    let refused = join_all(nodes.iter().map(|node| refusal_times_ms(&fleet, node))).await;
    let refused: Vec<u128> = refused.into_iter().flatten().collect();
    let last = refused.iter().max().copied().unwrap_or_default();
    println!("{} refused, the last after {last} ms", refused.len());
    assert!(last <= MAX_REFUSAL_MS, "{} refused", refused.len());
}

#[compio::test]
async fn stopped_allocator_is_not_felt() {
    let fleet = fleet_of(4).await;
    let mut stopped = 0;
    for index in 0..4 {
        let url = format!("http://{}/dump", fleet.vms[index].node.admin_address());
        let answer = fleet.client.get(url).unwrap().send().await.unwrap();
        let dump: serde_json::Value = serde_json::from_str(&answer.text().await.unwrap()).unwrap();
        if dump["allocated_slots"] != 0 {
            stopped = index;
        }
    }
    let reads = (0..200).map(|n| {
        let fleet = &fleet;
        async move {
            sleep(REQUEST_INTERVAL * n).await;
            let node = (stopped + 1 + n as usize % 3) % 4;
            read(fleet, node).await
        }
    });
    let stop = fleet.vms[stopped].node.stop();
    let (statuses, ()) = futures_util::join!(join_all(reads), stop);
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert_eq!(refused, 0, "{statuses:?}");
}
