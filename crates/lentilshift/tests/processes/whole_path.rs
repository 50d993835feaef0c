//! The path of a request through a chain, a graceful stop, a killed node and a withdrawn key.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::support::{KEY, LOOK_UP, OpenConnection, ProcessFleet, WAIT_TIMEOUT};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use futures_util::future::join;
use rstest::rstest;
use streams::{ConfigRecord, KeyDigest};

/// The time within which a withdrawn key has to be refused.
const WITHDRAW_LIMIT: Duration = Duration::from_secs(5);
/// The number of chunks of an upload, and the size of each in bytes.
const CHUNKS: usize = 50;
const CHUNK_BYTES: usize = 64 * 1024;

#[rstest]
#[compio::test]
async fn every_node_serves_a_chain() {
    let fleet = ProcessFleet::start().await;
    for node in &fleet.nodes {
        let mut caller = OpenConnection::open(node.callers).await;
        let answer = caller.get(LOOK_UP, KEY).await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.verdict.as_deref(), Some("ran"));
        assert!(answer.body.contains(r#""below":[200]"#), "{}", answer.body);
    }
}

/// Sends an upload without a key on a connection, and returns the answer.
async fn upload_refused(stream: &mut TcpStream) -> String {
    let head = format!(
        "POST /filings/records HTTP/1.1\r\nhost: node\r\ncontent-length: {CHUNK_BYTES}\r\n\r\n"
    );
    stream.write_all(head).await.0.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"}") {
        let BufResult(read, chunk) = stream.read(Vec::with_capacity(4096)).await;
        assert!(read.unwrap() > 0, "the connection is closed");
        answer.extend_from_slice(&chunk);
    }
    stream.write_all(vec![b'x'; CHUNK_BYTES]).await.0.unwrap();
    String::from_utf8(answer).unwrap()
}

#[rstest]
#[compio::test]
async fn refused_upload_leaves_its_connection_usable() {
    let fleet = ProcessFleet::start().await;
    let mut stream = TcpStream::connect(fleet.nodes[0].callers).await.unwrap();
    for _ in 0..20 {
        let answer = upload_refused(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    }
}

/// Uploads over several seconds, so that a stop can begin meanwhile; returns the answer.
async fn upload_slowly(node: SocketAddr) -> String {
    let mut stream = TcpStream::connect(node).await.unwrap();
    let length = CHUNKS * CHUNK_BYTES;
    let head = format!(
        "POST /filings/records HTTP/1.1\r\nhost: node\r\nx-api-key: {KEY}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head).await.0.unwrap();
    for _ in 0..CHUNKS {
        stream.write_all(vec![b'x'; CHUNK_BYTES]).await.0.unwrap();
        sleep(Duration::from_millis(100)).await;
    }
    let BufResult(result, answer) = stream.read_to_end(Vec::new()).await;
    result.unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends a look-up; returns 1 when it was served, 0 when it was refused for lack of tokens.
///
/// Such a refusal, with the verdict that nothing ran, is allowed while the allocator changes.
async fn look_up(address: SocketAddr) -> usize {
    let mut caller = OpenConnection::open(address).await;
    let answer = caller.get(LOOK_UP, KEY).await.unwrap();
    if answer.status == 429 {
        assert_eq!(answer.verdict.as_deref(), Some("not-run"));
        return 0;
    }
    assert_eq!(answer.status, 200, "{}", answer.body);
    1
}

#[rstest]
#[compio::test]
async fn terminated_node_completes_its_requests() {
    let mut fleet = ProcessFleet::start().await;
    let is_over = Cell::new(false);
    let uploading = upload_slowly(fleet.nodes[0].callers);
    let others = [fleet.nodes[1].callers, fleet.nodes[2].callers];
    let stopping = async {
        sleep(Duration::from_millis(500)).await;
        fleet.nodes[0].terminate();
        let status = fleet.nodes[0].wait().await;
        is_over.set(true);
        status
    };
    let looking_up = async {
        let mut served = 0;
        while !is_over.get() {
            for address in others {
                served += look_up(address).await;
            }
        }
        served
    };
    let (answer, (status, served)) = join(uploading, join(stopping, looking_up)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let uploaded = format!(r#""uploaded_bytes":{}"#, CHUNKS * CHUNK_BYTES);
    assert!(answer.contains(&uploaded), "{answer}");
    assert_eq!(status.code(), Some(0));
    assert!(served > 0);
}

#[rstest]
#[compio::test]
async fn other_nodes_serve_after_a_node_is_killed() {
    let mut fleet = ProcessFleet::start().await;
    fleet.nodes[0].kill();
    let until = Instant::now() + WAIT_TIMEOUT;
    let mut served_in_a_row = 0;
    while served_in_a_row < 100 {
        assert!(
            Instant::now() < until,
            "requests aren't served again in time"
        );
        let mut caller = OpenConnection::open(fleet.nodes[2].callers).await;
        let answer = caller.get(LOOK_UP, KEY).await.unwrap();
        assert!(answer.verdict.is_some(), "{}", answer.body);
        served_in_a_row = if answer.status == 200 {
            served_in_a_row + 1
        } else {
            0
        };
    }
}

#[rstest]
#[compio::test]
async fn withdrawn_key_is_refused_on_an_open_connection() {
    let fleet = ProcessFleet::start().await;
    let mut caller = OpenConnection::open(fleet.nodes[1].callers).await;
    assert_eq!(caller.get(LOOK_UP, KEY).await.unwrap().status, 200);
    let digest = KeyDigest::of_key(KEY.as_bytes());
    fleet.append(&ConfigRecord::Withdraw { digest }).await;
    let probing = async {
        while caller.get(LOOK_UP, KEY).await.unwrap().status != 401 {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(WITHDRAW_LIMIT, probing)
        .await
        .expect("the key is refused in time");
}
