//! The path of a request, stops, a crash and a withdrawn key.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::support::{KEY, LOOK_UP, OpenConnection, PATIENCE, ProcessFleet};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use futures_util::future::join;
use rstest::rstest;
use streams::{ConfigRecord, KeyDigest};

/// The time within which a withdrawn key stops to work.
const WITHDRAW_LIMIT: Duration = Duration::from_secs(5);
/// The pieces of the upload, and the bytes of each.
const PIECES: usize = 50;
const PIECE_BYTES: usize = 64 * 1024;

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

/// Sends an upload without a key on a connection, and returns the status and the connection header.
async fn upload_refused(stream: &mut TcpStream) -> String {
    let head = format!(
        "POST /filings/records HTTP/1.1\r\nhost: node\r\ncontent-length: {PIECE_BYTES}\r\n\r\n"
    );
    stream.write_all(head).await.0.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"}") {
        let BufResult(read, chunk) = stream.read(Vec::with_capacity(4096)).await;
        assert!(read.unwrap() > 0, "the connection is closed");
        answer.extend_from_slice(&chunk);
    }
    stream.write_all(vec![b'x'; PIECE_BYTES]).await.0.unwrap();
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

/// Uploads slowly, over a time in which a stop is asked for.
async fn upload_slowly(node: SocketAddr) -> String {
    let mut stream = TcpStream::connect(node).await.unwrap();
    let length = PIECES * PIECE_BYTES;
    let head = format!(
        "POST /filings/records HTTP/1.1\r\nhost: node\r\nx-api-key: {KEY}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head).await.0.unwrap();
    for _ in 0..PIECES {
        stream.write_all(vec![b'x'; PIECE_BYTES]).await.0.unwrap();
        sleep(Duration::from_millis(100)).await;
    }
    let BufResult(result, answer) = stream.read_to_end(Vec::new()).await;
    result.unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends a look-up and returns 1 when it was served, 0 when no tokens of the team had come yet.
///
/// While the allocator of the team's rate changes, a refusal that says so truly isn't a cut.
async fn ask(address: SocketAddr) -> usize {
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
async fn terminated_node_cuts_no_request() {
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
    let asking = async {
        let mut served = 0;
        while !is_over.get() {
            for address in others {
                served += ask(address).await;
            }
        }
        served
    };
    let (answer, (status, served)) = join(uploading, join(stopping, asking)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let told = format!(r#""uploaded_bytes":{}"#, PIECES * PIECE_BYTES);
    assert!(answer.contains(&told), "{answer}");
    assert_eq!(status.code(), Some(0));
    assert!(served > 0);
}

#[rstest]
#[compio::test]
async fn others_go_on_when_a_node_is_killed() {
    let mut fleet = ProcessFleet::start().await;
    fleet.nodes[0].kill();
    let until = Instant::now() + PATIENCE;
    let mut served_in_a_row = 0;
    while served_in_a_row < 100 {
        assert!(Instant::now() < until, "requests don't go on in time");
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
async fn withdrawn_key_stops_on_an_open_connection() {
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
        .expect("the key has stopped to work");
}
