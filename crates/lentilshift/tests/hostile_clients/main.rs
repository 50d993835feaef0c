//! Crowds of clients that don't keep to the limits, at every port of a node.
//!
//! Each test lowers the limits of the node's VM in its settings, so that a small crowd suffices.

mod hostile_crowd;
#[path = "../platform_path/platform_fleet.rs"]
#[allow(dead_code, reason = "another test binary uses the rest")]
mod platform_fleet;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use hostile_crowd::{HostileCrowd, HostileDoor, HostileKind};
use platform_fleet::{CallerRequest, PlatformFleet, request_text};
use rstest::rstest;
use serde_json::json;

/// The memory of the VM, in megabytes.
const MEMORY_MB: u64 = 48;
/// The descriptors that the process may have open.
const MAX_DESCRIPTORS: usize = 400;
/// The number of clients of a crowd, more than the descriptors.
const CROWD_CLIENTS: usize = 700;
/// The size of the answers that aren't read, in bytes.
const LONG_ANSWER_BYTES: usize = 1 << 20;
/// How long a crowd stays before an ordinary caller comes.
const STAY_TIME: Duration = Duration::from_secs(1);
/// The interval of the checks of the process.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The time after which an ordinary caller sends its request again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The time within which an ordinary caller has to be answered, beyond all time limits of a node.
const SERVED_TIMEOUT: Duration = Duration::from_secs(90);

/// Locked by the test that runs, as each takes descriptors and memory.
static TURN: Mutex<()> = Mutex::new(());

/// The turn of a test, which has a thread and a runtime of its own.
struct TestTurn(
    #[allow(dead_code, reason = "held for its drop, never read")] MutexGuard<'static, ()>,
);

impl TestTurn {
    fn take() -> Self {
        Self(TURN.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The most that a process of the fleet has used.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessUse {
    memory_bytes: u64,
    descriptors: usize,
}

impl ProcessUse {
    /// Updates the figures; panics if a process has ended.
    fn update(&mut self, fleet: &PlatformFleet) {
        for node in 0..fleet.len() {
            let memory_bytes = fleet.peak_memory_bytes(node).expect("the node runs");
            self.memory_bytes = memory_bytes.max(self.memory_bytes);
            let descriptors = fleet.descriptor_count(node).expect("the node runs");
            self.descriptors = descriptors.max(self.descriptors);
        }
    }
}

/// Runs a future and watches what the processes of the nodes use meanwhile.
async fn watch<T>(
    fleet: &PlatformFleet,
    used: &mut ProcessUse,
    running: impl Future<Output = T>,
) -> T {
    let mut running = std::pin::pin!(running);
    loop {
        used.update(fleet);
        match select(running.as_mut(), std::pin::pin!(sleep(CHECK_INTERVAL))).await {
            Either::Left((value, _)) => return value,
            Either::Right(_) => {}
        }
    }
}

/// Sends an ordinary request on a new connection, and returns whether it is answered.
async fn is_answered(fleet: &PlatformFleet) -> bool {
    let request = CallerRequest {
        key: None,
        ..CallerRequest::new("/open/7")
    };
    let exchanging = async {
        let mut stream = TcpStream::connect(fleet.caller_address(0)).await.ok()?;
        let sent = stream.write_all(request_text("GET", &request)).await.0;
        sent.ok()?;
        let mut text = Vec::new();
        while !text.ends_with(b"answers") {
            let BufResult(count, bytes) = stream.read(vec![0; 4_096]).await;
            let count = count.ok().filter(|count| *count > 0)?;
            text.extend_from_slice(&bytes[..count]);
        }
        Some(text.starts_with(b"HTTP/1.1 200 "))
    };
    let answered = timeout(ANSWER_TIMEOUT, exchanging).await;
    answered.ok().flatten() == Some(true)
}

/// Guards against a crowd ending the process of a node, or using more memory or descriptors than its VM
/// has, or keeping ordinary callers from being served.
#[rstest]
#[case::whole_safe(HostileKind::Whole, HostileDoor::Safe)]
#[case::whole_upload(HostileKind::Whole, HostileDoor::Upload)]
#[case::whole_no_route(HostileKind::Whole, HostileDoor::NoRoute)]
#[case::whole_ready(HostileKind::Whole, HostileDoor::Ready)]
#[case::whole_report(HostileKind::Whole, HostileDoor::Report)]
#[case::pieces_safe(HostileKind::Pieces, HostileDoor::Safe)]
#[case::pieces_upload(HostileKind::Pieces, HostileDoor::Upload)]
#[case::pieces_no_route(HostileKind::Pieces, HostileDoor::NoRoute)]
#[case::pieces_ready(HostileKind::Pieces, HostileDoor::Ready)]
#[case::chunks_safe(HostileKind::Chunks, HostileDoor::Safe)]
#[case::chunks_upload(HostileKind::Chunks, HostileDoor::Upload)]
#[case::chunks_no_route(HostileKind::Chunks, HostileDoor::NoRoute)]
#[case::chunks_ready(HostileKind::Chunks, HostileDoor::Ready)]
#[case::chunks_report(HostileKind::Chunks, HostileDoor::Report)]
#[case::tiny_chunks_safe(HostileKind::TinyChunks, HostileDoor::Safe)]
#[case::tiny_chunks_upload(HostileKind::TinyChunks, HostileDoor::Upload)]
#[case::tiny_chunks_no_route(HostileKind::TinyChunks, HostileDoor::NoRoute)]
#[case::tiny_chunks_ready(HostileKind::TinyChunks, HostileDoor::Ready)]
#[case::oversize_safe(HostileKind::Oversize, HostileDoor::Safe)]
#[case::oversize_upload(HostileKind::Oversize, HostileDoor::Upload)]
#[case::oversize_no_route(HostileKind::Oversize, HostileDoor::NoRoute)]
#[case::oversize_ready(HostileKind::Oversize, HostileDoor::Ready)]
#[case::oversize_report(HostileKind::Oversize, HostileDoor::Report)]
#[case::fields_safe(HostileKind::Fields, HostileDoor::Safe)]
#[case::fields_no_route(HostileKind::Fields, HostileDoor::NoRoute)]
#[case::fields_ready(HostileKind::Fields, HostileDoor::Ready)]
#[case::open_fields_safe(HostileKind::OpenFields, HostileDoor::Safe)]
#[case::open_fields_ready(HostileKind::OpenFields, HostileDoor::Ready)]
#[case::ahead_safe(HostileKind::Ahead, HostileDoor::Safe)]
#[case::ahead_no_route(HostileKind::Ahead, HostileDoor::NoRoute)]
#[case::ahead_ready(HostileKind::Ahead, HostileDoor::Ready)]
#[case::slow_sender_safe(HostileKind::SlowSender, HostileDoor::Safe)]
#[case::slow_sender_ready(HostileKind::SlowSender, HostileDoor::Ready)]
#[case::slow_reader_safe(HostileKind::SlowReader, HostileDoor::Safe)]
#[case::streams_safe(HostileKind::Streams, HostileDoor::Safe)]
#[case::streams_upload(HostileKind::Streams, HostileDoor::Upload)]
#[case::streams_ready(HostileKind::Streams, HostileDoor::Ready)]
#[case::half_head_safe(HostileKind::HalfHead, HostileDoor::Safe)]
#[case::half_head_ready(HostileKind::HalfHead, HostileDoor::Ready)]
#[case::half_head_report(HostileKind::HalfHead, HostileDoor::Report)]
#[case::half_head_peer(HostileKind::HalfHead, HostileDoor::Peer)]
#[case::silent_safe(HostileKind::Silent, HostileDoor::Safe)]
#[case::silent_ready(HostileKind::Silent, HostileDoor::Ready)]
#[case::silent_peer(HostileKind::Silent, HostileDoor::Peer)]
#[compio::test]
async fn crowd_leaves_a_node_within_its_limits(
    #[case] kind: HostileKind,
    #[case] door: HostileDoor,
) {
    check_crowd(kind, door, &["archive"]).await;
}

/// Guards against the same where the requests of a crowd at one node run at others too, over links.
#[rstest]
#[case::whole_safe(HostileKind::Whole, HostileDoor::Safe)]
#[case::whole_upload(HostileKind::Whole, HostileDoor::Upload)]
#[case::chunks_upload(HostileKind::Chunks, HostileDoor::Upload)]
#[case::tiny_chunks_upload(HostileKind::TinyChunks, HostileDoor::Upload)]
#[case::oversize_upload(HostileKind::Oversize, HostileDoor::Upload)]
#[case::slow_reader_safe(HostileKind::SlowReader, HostileDoor::Safe)]
#[compio::test]
async fn crowd_at_one_node_leaves_all_nodes_within_their_limits(
    #[case] kind: HostileKind,
    #[case] door: HostileDoor,
) {
    check_crowd(kind, door, &["registry", "archive", "archive"]).await;
}

/// Sends a crowd to the first node of a fleet, and checks what the processes use and that an ordinary
/// request is answered while the connections of the crowd are still open.
async fn check_crowd(kind: HostileKind, door: HostileDoor, services: &[&str]) {
    let _turn = TestTurn::take();
    let limits = json!({"memory-mb": MEMORY_MB, "max-fds": MAX_DESCRIPTORS});
    let mut fleet = PlatformFleet::start_services(services, limits).await;
    let mut used = ProcessUse::default();
    used.update(&fleet);
    let base = used;
    if kind == HostileKind::SlowReader {
        for instance in &fleet.instances {
            instance.set_answer_bytes(Some(LONG_ANSWER_BYTES));
        }
    }
    let crowd = HostileCrowd::send(&fleet, kind, door, CROWD_CLIENTS);
    let crowd = watch(&fleet, &mut used, crowd).await;
    watch(&fleet, &mut used, sleep(STAY_TIME)).await;
    for instance in &fleet.instances {
        instance.set_answer_bytes(None);
    }
    let until = Instant::now() + SERVED_TIMEOUT;
    while !watch(&fleet, &mut used, is_answered(&fleet)).await {
        assert!(Instant::now() < until, "no caller is served; used {used:?}");
        sleep(CHECK_INTERVAL).await;
    }
    drop(crowd);
    for node in 0..fleet.len() {
        assert!(fleet.ended(node).is_none(), "node {node} has ended");
    }
    println!("before {base:?}, most {used:?}");
    assert!(
        used.memory_bytes <= MEMORY_MB << 20 && used.descriptors <= MAX_DESCRIPTORS,
        "before {base:?}, most {used:?}"
    );
}
