//! Backend servers that answer an upload before it has arrived, and break the answer off.

mod fleet;
mod raw;
mod scripted;

use std::time::Duration;

use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use fleet::{Fleet, KEY};
use raw::{read_to_end, send_raw};
use rstest::rstest;
use scripted::{REQUEST_ID, ScriptedAnswer, ScriptedBackend};
use standin::BackendSettings;

/// The size of one piece of an upload, in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// The number of pieces of an upload. The caller pauses after each.
const PIECES: usize = 40;
const PIECE_PAUSE: Duration = Duration::from_millis(10);
/// The time within which the caller's connection has an answer or has ended.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// Starts the node of a scripted backend server of `filings`, and another node.
async fn start_fleet(backend: &ScriptedBackend) -> Fleet {
    let mut fleet = Fleet::start().await;
    let settings = BackendSettings::default();
    fleet
        .add_with_settings("filings-1", "filings", settings.clone(), |settings| {
            backend.settings(settings)
        })
        .await;
    fleet
        .add_with_settings("registry-1", "registry", settings, |settings| settings)
        .await;
    fleet.wait_until_warm().await;
    fleet
}

/// Sends the pieces of an upload until the connection ends.
async fn upload(stream: &mut TcpStream, is_chunked: bool) {
    for _ in 0..PIECES {
        let mut piece = Vec::new();
        if is_chunked {
            piece.extend_from_slice(format!("{PIECE_BYTES:x}\r\n").as_bytes());
        }
        piece.resize(piece.len() + PIECE_BYTES, b'u');
        if is_chunked {
            piece.extend_from_slice(b"\r\n");
        }
        if stream.write_all(piece).await.0.is_err() {
            return;
        }
        sleep(PIECE_PAUSE).await;
    }
}

/// Returns whether a caller takes the bytes of a connection for a whole answer that is a success.
fn is_whole_success(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    if !head.starts_with("http/1.1 2") {
        return false;
    }
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let mut lengths = head
        .lines()
        .filter_map(|line| line.strip_prefix("content-length:"));
    let length = lengths.next().and_then(|length| length.trim().parse().ok());
    // Without a length, the end of the connection is the end of the answer.
    length.is_none_or(|length: usize| body.len() >= length)
}

/// Guards against a part of an answer without a length reaching the caller as a whole answer, after
/// the backend server has reset the connection on which the upload was still being written.
#[rstest]
#[compio::test]
async fn answer_cut_during_an_upload_is_no_success(
    #[values(0, 1)] node: usize,
    #[values(true, false)] is_chunked: bool,
    #[values("", "part")] later: &'static str,
) {
    let backend = ScriptedBackend::start(move |request| ScriptedAnswer {
        runs: true,
        bytes: format!(
            "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {}\r\n\r\nfirst ",
            request.id
        ),
        later: later.to_owned(),
        closes: true,
        ..ScriptedAnswer::default()
    })
    .await;
    let fleet = start_fleet(&backend).await;
    let framing = if is_chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {}", PIECES * PIECE_BYTES)
    };
    let head = format!(
        "POST /filings/filings HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {KEY}\r\n\
         {REQUEST_ID}: early-{node}\r\nlentilshift-deadline-ms: 5000\r\n{framing}\r\n\r\n"
    );
    let address = fleet.vms[node].node.caller_address();
    let mut stream = send_raw(address, &head).await;
    upload(&mut stream, is_chunked).await;
    let text = timeout(ANSWER_LIMIT, read_to_end(&mut stream)).await;
    let text = text.unwrap_or_default();
    assert_eq!(backend.runs(&format!("early-{node}")), 1, "{text:?}");
    assert!(!is_whole_success(&text), "{text:?}");
}
