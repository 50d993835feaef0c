//! Once calls of two services whose claims are stored in different streams.

use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join_all;
use rstest::rstest;
use streams::{ClaimShard, LogOffset, LogStream};

use super::support::{CallerRequest, OnceCounts, ProcessFleet, check_once};

/// The number of keys that are sent to each service, and of copies of each.
const KEYS: usize = 40;
const COPIES: usize = 3;
/// The service and data centre of each node.
const NODES: [(&str, &str); 4] = [
    ("filings", "local"),
    ("booking", "local"),
    ("filings", "local"),
    ("booking", "local"),
];

#[rstest]
#[compio::test]
async fn two_services_on_two_shards_run_once_each() {
    let shards = ["filings", "booking"].map(|service| ClaimShard::of(&service.into()));
    assert_ne!(shards[0], shards[1]);
    let mut fleet = ProcessFleet::gated(&NODES, 10).await;
    let mut sending = Vec::new();
    for copy in 0..KEYS * COPIES {
        for service in ["filings", "booking"] {
            // The same key identifies a different call at each service.
            let key = format!("{}", copy % KEYS);
            let trace = format!("{service}-{copy}");
            let path = format!("/{service}/charges");
            let mut request = CallerRequest::once(&path, &key, trace, 5_000);
            let address = fleet.nodes[copy % NODES.len()].callers;
            let wait = Duration::from_millis(20 * (copy % KEYS) as u64);
            sending.push(compio::runtime::spawn(async move {
                sleep(wait).await;
                let response = request.send_admitted(address).await;
                (request, response)
            }));
        }
    }
    sleep(Duration::from_millis(200)).await;
    fleet.nodes[1].kill();
    drop(fleet.replace(1).await);
    let calls = join_all(sending).await;
    let calls = calls.into_iter().map(Result::unwrap);
    let (filings, booking): (Vec<_>, Vec<_>) =
        calls.partition(|(request, _)| request.path.starts_with("/filings"));
    for (calls, shard) in [filings, booking].into_iter().zip(shards) {
        let mut counts = OnceCounts::default();
        check_once(&fleet, &calls, &mut counts);
        let stream = LogStream::Claims(shard);
        let batch = fleet
            .log
            .with_store(|store| store.read(stream, LogOffset::ZERO));
        let records = batch.unwrap().records.len();
        println!("{stream}: {records} records, {counts:?}");
        assert!(counts.answered > KEYS && records > 0);
    }
}
