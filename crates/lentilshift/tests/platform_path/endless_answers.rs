//! Instances that write bytes without end, in a head or a body, until the caller closes.

use std::cell::Cell;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::AsyncRead;
use compio::time::{sleep, timeout};
use futures_util::future::{join, join_all};
use rstest::rstest;
use standin::EndlessPart;

use crate::platform_fleet::{CallerRequest, PlatformFleet};

/// A request on a route without keys.
const REQUEST: CallerRequest = CallerRequest {
    key: None,
    ..CallerRequest::new("/open/7")
};
/// The time for which the instance writes without end.
const TROUBLE_TIME: Duration = Duration::from_secs(3);
/// The time for which a caller reads an answer before it gives up.
const READ_TIME: Duration = Duration::from_millis(1_500);
/// The callers of each node, each with one request at a time.
const CALLERS_PER_NODE: usize = 4;
/// The memory that a process may take on a small VM of the platform, in bytes.
const MEMORY_LIMIT_BYTES: u64 = 260 << 20;
/// The interval of the checks of the memory.
const MEMORY_INTERVAL: Duration = Duration::from_millis(50);

/// How many bytes of an answer a caller reads at once.
const READ_BYTES: usize = 64 * 1024;

/// Sends a request and reads its answer until it ends or the caller gives up; returns whether it is
/// the whole answer of a sound instance.
async fn is_answered(fleet: &PlatformFleet, node: usize) -> bool {
    let mut stream = fleet.open(node, "GET", &REQUEST).await;
    let mut text = Vec::new();
    let reading = async {
        loop {
            let BufResult(count, bytes) = stream.read(vec![0; READ_BYTES]).await;
            match count {
                Ok(0) | Err(_) => return,
                Ok(count) => text.extend_from_slice(&bytes[..count]),
            }
            if text.ends_with(b"answers") || text.len() > READ_BYTES {
                return;
            }
        }
    };
    let _ = timeout(READ_TIME, reading).await;
    text.starts_with(b"HTTP/1.1 200 ") && text.ends_with(b"answers")
}

/// Guards against an instance that writes without end filling the memory of its node, which then ends
/// with the requests of all its callers.
#[rstest]
#[compio::test]
async fn endless_answer_costs_a_node_bounded_memory(
    #[values(
        EndlessPart::StatusLine,
        EndlessPart::HeaderField,
        EndlessPart::HeaderFields,
        EndlessPart::InterimAnswers,
        EndlessPart::Body,
        EndlessPart::Chunks,
        EndlessPart::ChunkExtension,
        EndlessPart::Trailers,
        EndlessPart::Excess
    )]
    part: EndlessPart,
) {
    let fleet = PlatformFleet::start().await;
    fleet.instances[0].set_endless(Some(part));
    let until = Instant::now() + TROUBLE_TIME;
    let answered = Cell::new(0);
    let call = async |node: usize| {
        while Instant::now() < until {
            if is_answered(&fleet, node).await {
                answered.set(answered.get() + 1);
            }
            sleep(Duration::from_millis(10)).await;
        }
    };
    let callers = (0..fleet.len() * CALLERS_PER_NODE).map(|caller| call(caller % fleet.len()));
    let watching = async {
        let mut most_bytes = 0;
        while Instant::now() < until {
            for node in 0..fleet.len() {
                let bytes = fleet.memory_bytes(node).expect("the node runs");
                most_bytes = bytes.max(most_bytes);
            }
            sleep(MEMORY_INTERVAL).await;
        }
        most_bytes
    };
    let (_, most_bytes) = join(join_all(callers), watching).await;
    assert!(most_bytes < MEMORY_LIMIT_BYTES, "{most_bytes} bytes");
    assert!(answered.get() > 0, "no caller was answered");
    fleet.instances[0].set_endless(None);
    let until = Instant::now() + TROUBLE_TIME;
    for node in 0..fleet.len() {
        while !is_answered(&fleet, node).await {
            assert!(Instant::now() < until, "node {node} serves no caller");
        }
    }
}
