//! Teams within their rates at nodes without tokens, and when allocators are lost.

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

/// The requests of a burst.
const BURST: usize = 60;
/// The time that a caller gives a request, in milliseconds.
const DEADLINE_MS: &str = "4000";
/// The time between two requests.
const EVERY: Duration = Duration::from_millis(20);
/// The longest time for which requests within the rate are refused, in milliseconds.
const REFUSED_MS: u128 = 1_000;
/// The time for which requests go on after a loss.
const AFTER: Duration = Duration::from_secs(5);

async fn fleet_of(nodes: usize) -> Fleet {
    let mut fleet = Fleet::start().await;
    for index in 0..nodes {
        let name = format!("filings-{index}");
        fleet
            .add(&name, "filings", BackendSettings::default())
            .await;
    }
    fleet.settle_cold().await;
    fleet
}

/// Sends a read once and returns its status.
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
    let statuses = join_all((0..BURST).map(|n| read(&fleet, n % nodes))).await;
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert_eq!(refused, 0, "{statuses:?}");
}

/// Starts nodes on threads of their own and waits until one allocates.
async fn killable_nodes(fleet: &Fleet, backends: &[Rc<BackendServer>]) -> Vec<KillableNode> {
    let named = backends.iter().enumerate().map(|(index, backend)| {
        let name = VmName::new(format!("filings-{index}"));
        KillableNode::start(fleet.settings(name, "filings".into(), backend))
    });
    let nodes: Vec<KillableNode> = named.collect();
    for node in &nodes {
        while dump(fleet, node).await["ready_members"] != backends.len() {
            sleep(EVERY).await;
        }
    }
    nodes
}

async fn dump(fleet: &Fleet, node: &KillableNode) -> serde_json::Value {
    let url = format!("http://{}/dump", node.admin);
    let answer = fleet.client.get(url).unwrap().send().await.unwrap();
    serde_json::from_str(&answer.text().await.unwrap()).unwrap()
}

/// Takes the node that allocates out of `nodes`.
async fn take_allocator(fleet: &Fleet, nodes: &mut Vec<KillableNode>) -> KillableNode {
    loop {
        for index in 0..nodes.len() {
            if dump(fleet, &nodes[index]).await["allocated_slots"] != 0 {
                return nodes.remove(index);
            }
        }
        sleep(EVERY).await;
    }
}

/// Reads at a node every [`EVERY`] for [`AFTER`], and returns when reads were refused with 429.
async fn refusals(fleet: &Fleet, node: &KillableNode) -> Vec<u128> {
    let begun = Instant::now();
    let sends = (0..AFTER.as_millis() / EVERY.as_millis()).map(|n| async move {
        sleep(EVERY * u32::try_from(n).unwrap()).await;
        let sent = begun.elapsed().as_millis();
        let url = format!("http://{}/filings/filings/7", node.callers);
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
    let warm = refusals(&fleet, &nodes[0]).await;
    assert!(warm.is_empty(), "refused without a fault: {warm:?}");
    drop(take_allocator(&fleet, &mut nodes).await);
    let refused = join_all(nodes.iter().map(|node| refusals(&fleet, node))).await;
    let refused: Vec<u128> = refused.into_iter().flatten().collect();
    let last = refused.iter().max().copied().unwrap_or_default();
    println!("{} refused, the last after {last} ms", refused.len());
    assert!(last <= REFUSED_MS, "{} refused", refused.len());
}

#[compio::test]
async fn stopped_allocator_is_not_felt() {
    let fleet = fleet_of(4).await;
    let mut stopped = 0;
    for index in 0..4 {
        let url = format!("http://{}/dump", fleet.pairs[index].node.admin_address());
        let answer = fleet.client.get(url).unwrap().send().await.unwrap();
        let dump: serde_json::Value = serde_json::from_str(&answer.text().await.unwrap()).unwrap();
        if dump["allocated_slots"] != 0 {
            stopped = index;
        }
    }
    let reads = (0..200).map(|n| {
        let fleet = &fleet;
        async move {
            sleep(EVERY * n).await;
            let node = (stopped + 1 + n as usize % 3) % 4;
            read(fleet, node).await
        }
    });
    let stop = fleet.pairs[stopped].node.stop();
    let (statuses, ()) = futures_util::join!(join_all(reads), stop);
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert_eq!(refused, 0, "{statuses:?}");
}
