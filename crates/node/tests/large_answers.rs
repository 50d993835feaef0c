//! Large answers that their caller doesn't read are held back, not held in memory.

mod fleet;
#[allow(dead_code, reason = "not every test file needs all of it")]
mod pipeline;

use std::time::Duration;

use compio::time::sleep;
use fleet::Fleet;
use pipeline::{PipelineClient, request};
use standin::BackendSettings;

/// The size of an answer, in bytes.
const ANSWER_BYTES: usize = 40_000_000;
/// The number of callers that don't read their answers.
const CALLERS: usize = 8;
/// The maximum growth of the memory of the process, in which the nodes and the backend servers run,
/// in bytes. The unread answers have five times as many.
const MAX_GROWTH_BYTES: u64 = 64_000_000;
/// The size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

/// The answers come from the backend server beside the entry node and, over a link, from another.
#[compio::test]
async fn unread_answers_take_bounded_memory() {
    let mut fleet = Fleet::start().await;
    let backend = BackendSettings::default;
    fleet.add("filings-1", "filings", backend()).await;
    fleet.add("registry-1", "registry", backend()).await;
    fleet.wait_until_warm().await;
    let before = resident_bytes();
    let mut clients = Vec::new();
    for number in 0..CALLERS {
        let call = ["/filings/filings/1", "/registry/records/1"][number % 2];
        let path = format!("{call}?bytes={ANSWER_BYTES}");
        let address = fleet.vms[0].node.caller_address();
        let mut client = PipelineClient::connect(address).await;
        client.send(&request("GET", &path, "large", "")).await;
        clients.push(client);
    }
    sleep(Duration::from_secs(2)).await;
    let growth = resident_bytes().saturating_sub(before);
    assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes");
    assert_eq!(fleet.runs("large"), CALLERS);
    for client in &mut clients[..2] {
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.body.len()), (200, ANSWER_BYTES));
    }
}
