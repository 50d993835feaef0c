//! Invalid input from callers, other nodes and the platform is rejected, and the node keeps serving.

mod fleet;
mod raw;

use std::time::Duration;

use bytes::Bytes;
use compio::io::AsyncReadExt;
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use cyper_core::HyperStream;
use fleet::{CONTRACT, Fleet, KEY};
use hyper_util::rt::TokioIo;
use model::VmName;
use raw::{read_to_end, send_raw};
use rstest::rstest;
use standin::{BackendSettings, LogFaults};
use streams::{ConfigRecord, ConfigVersion};
use wire::{FleetSecret, LinkError, LinkSettings, PeerLink};

/// The timeout of every wait in these tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The default stall limit and head limit of the nodes, in milliseconds.
const DEFAULT_LIMITS_MS: (u64, u64) = (30_000, 10_000);
/// The limits in tests of stalled bodies, in milliseconds.
const SHORT_STALL_MS: (u64, u64) = (2_000, 10_000);
/// The limits in tests of incomplete heads, in milliseconds.
const SHORT_HEAD_MS: (u64, u64) = (30_000, 1_000);

async fn two_nodes() -> Fleet {
    two_nodes_with(DEFAULT_LIMITS_MS).await
}

async fn two_nodes_with(stall_and_head_limit_ms: (u64, u64)) -> Fleet {
    let mut fleet = Fleet::start().await;
    fleet.stall_and_head_limit_ms = stall_and_head_limit_ms;
    fleet
        .add("filings-1", "filings", BackendSettings::default())
        .await;
    fleet
        .add("registry-1", "registry", BackendSettings::default())
        .await;
    fleet.wait_until_warm().await;
    fleet
}

/// Asserts that each node serves a read; repeats it on 429, which a node returns until the team's
/// tokens arrive.
async fn assert_serves(fleet: &Fleet) {
    for node in 0..fleet.vms.len() {
        let sending = async {
            loop {
                let answer = fleet.send(node, "GET", "/filings/filings/1").await;
                if answer.status().as_u16() != 429 {
                    return answer.status().as_u16();
                }
                assert_eq!(answer.headers()["lentilshift-verdict"], "not-run");
            }
        };
        assert_eq!(timeout(WAIT_TIMEOUT, sending).await.unwrap(), 200);
    }
}

fn runs(fleet: &Fleet) -> usize {
    let records = fleet.vms.iter().map(|vm| vm.backend.record());
    records.map(|record| record.entries().len()).sum()
}

/// Waits until the first backend server runs no request.
async fn wait_until_idle(fleet: &Fleet) {
    let waiting = async {
        while fleet.vms[0].backend.record().running() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the request still holds a slot");
}

/// Returns the number of running calls in the state dump of the first node.
async fn running_calls(fleet: &Fleet) -> u64 {
    dump(fleet).await["running_calls"].as_u64().unwrap()
}

async fn dump(fleet: &Fleet) -> serde_json::Value {
    let address = fleet.vms[0].node.admin_address();
    let request = fleet.client.get(format!("http://{address}/dump")).unwrap();
    let text = request.send().await.unwrap().text().await.unwrap();
    serde_json::from_str(&text).unwrap()
}

#[rstest]
#[case::nonsense("NONSENSE\r\n\r\n", "400")]
#[case::header_without_colon("GET /filings/filings/1 HTTP/1.1\r\nnonsense\r\n\r\n", "400")]
#[case::other_version("GET /filings/filings/1 HTTP/7.3\r\nhost: a\r\n\r\n", "400")]
#[case::two_lengths(
    "POST /filings/filings HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
    "400"
)]
#[case::negative_length(
    "POST /filings/filings HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
    "400"
)]
#[case::unknown_encoding(
    "POST /filings/filings HTTP/1.1\r\nhost: a\r\ntransfer-encoding: magic\r\n\r\n",
    "400"
)]
#[case::nonsense_after_h2_preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nnonsense that is no frame", "")]
#[compio::test]
async fn malformed_requests_are_refused(#[case] request: &str, #[case] status: &str) {
    let fleet = two_nodes_with(SHORT_HEAD_MS).await;
    let address = fleet.vms[0].node.caller_address();
    let mut stream = send_raw(address, request).await;
    let answer = read_to_end(&mut stream).await;
    if !status.is_empty() {
        let start = format!("HTTP/1.1 {status}");
        assert!(answer.starts_with(&start), "{answer}");
    }
    assert_eq!(runs(&fleet), 0);
    assert_serves(&fleet).await;
}

#[rstest]
#[compio::test]
async fn over_long_heads_are_refused() {
    let fleet = two_nodes().await;
    let address = fleet.vms[0].node.caller_address();
    let long = "x".repeat(100 * 1024);
    let request = format!("GET /filings/filings/1 HTTP/1.1\r\nhost: a\r\nx-long: {long}\r\n\r\n");
    let mut stream = send_raw(address, &request).await;
    let answer = read_to_end(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert_eq!(runs(&fleet), 0);
    assert_serves(&fleet).await;
}

#[rstest]
#[case::nothing("")]
#[case::part_of_a_line("GET /filings/fil")]
#[case::part_of_a_head("GET /filings/filings/1 HTTP/1.1\r\nhost: a\r\nx-a: ")]
#[case::part_of_the_h2_preface("PRI * HTT")]
#[compio::test]
async fn incomplete_heads_time_out(#[case] start: &str) {
    let fleet = two_nodes_with(SHORT_HEAD_MS).await;
    let address = fleet.vms[0].node.caller_address();
    let mut stream = send_raw(address, start).await;
    let answer = timeout(WAIT_TIMEOUT, read_to_end(&mut stream)).await;
    assert!(answer.is_ok(), "the connection stayed open");
    assert_serves(&fleet).await;
}

#[rstest]
#[case::small(100)]
#[case::streamed(1_000_000)]
#[compio::test]
async fn bodies_shorter_than_their_content_length_are_not_forwarded_as_complete(
    #[case] content_length: usize,
) {
    let fleet = two_nodes().await;
    let address = fleet.vms[1].node.caller_address();
    let head = format!(
        "POST /filings/filings HTTP/1.1\r\nhost: a\r\nx-api-key: {KEY}\r\ncontent-length: {content_length}\r\n\r\n0123"
    );
    drop(send_raw(address, &head).await);
    wait_until_idle(&fleet).await;
    let entries = fleet.vms[0].backend.record().entries();
    assert!(
        entries
            .iter()
            .all(|entry| !entry.head.contains("content-length: \"4\""))
    );
    assert_serves(&fleet).await;
}

#[rstest]
#[case::streamed(1_000_000)]
#[case::small(100)]
#[compio::test]
async fn stalled_uploads_release_their_slot(#[case] content_length: usize) {
    let fleet = two_nodes_with(SHORT_STALL_MS).await;
    for vm in &fleet.vms {
        let head = format!(
            "POST /filings/filings HTTP/1.1\r\nhost: a\r\nx-api-key: {KEY}\r\ncontent-length: {content_length}\r\n\r\n0123"
        );
        let mut stream = send_raw(vm.node.caller_address(), &head).await;
        let answer = timeout(WAIT_TIMEOUT, read_to_end(&mut stream)).await;
        assert!(answer.is_ok(), "the node still waits for the upload");
        wait_until_idle(&fleet).await;
    }
    assert_serves(&fleet).await;
}

#[rstest]
#[compio::test]
async fn callers_that_stop_reading_release_their_slot() {
    let fleet = two_nodes_with(SHORT_STALL_MS).await;
    for vm in &fleet.vms {
        let head = format!(
            "GET /filings/filings/1?bytes=100000000 HTTP/1.1\r\nhost: a\r\nx-api-key: {KEY}\r\n\r\n"
        );
        let mut stream = send_raw(vm.node.caller_address(), &head).await;
        stream.read_exact(vec![0; 1_000]).await.0.unwrap();
        let waiting = async {
            while running_calls(&fleet).await > 0 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect("the request still holds a slot");
        let rest = read_to_end(&mut stream).await;
        assert!(
            rest.len() < 100_000_000,
            "the truncated answer looks complete"
        );
    }
    assert_serves(&fleet).await;
}

#[rstest]
#[compio::test]
async fn unread_http2_streams_release_their_slot() {
    let fleet = two_nodes_with(SHORT_STALL_MS).await;
    let stream = TcpStream::connect(fleet.vms[1].node.caller_address());
    let stream = TokioIo::new(HyperStream::new_plain(stream.await.unwrap()));
    let (mut sender, connection) = h2::client::handshake(stream).await.unwrap();
    compio::runtime::spawn(async move { drop(connection.await) }).detach();
    let request = http::Request::get("http://a/filings/filings/1?bytes=100000000");
    let request = request.header("x-api-key", KEY).body(()).unwrap();
    let (answer, _upload) = sender.send_request(request, true).unwrap();
    let unread = answer.await.unwrap();
    let waiting = async {
        while running_calls(&fleet).await > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the request still holds a slot");
    drop(unread);
    assert_serves(&fleet).await;
}

#[rstest]
#[case::silence("")]
#[case::nonsense("GET / HTTP/1.1\r\n\r\n")]
#[case::binary("\u{0}\u{1}\u{7f}")]
#[compio::test]
async fn peers_that_send_no_valid_handshake_are_disconnected(#[case] bytes: &str) {
    let fleet = two_nodes().await;
    let mut stream = send_raw(fleet.vms[0].node.peer_address(), bytes).await;
    let answer = timeout(WAIT_TIMEOUT, read_to_end(&mut stream)).await;
    assert!(answer.is_ok(), "the connection stayed open");
    assert_serves(&fleet).await;
}

#[rstest]
#[compio::test]
async fn peers_with_a_wrong_secret_are_refused() {
    let fleet = two_nodes().await;
    let secret = FleetSecret::new("a secret of another fleet").unwrap();
    let address = fleet.vms[0].node.peer_address();
    let settings = LinkSettings::default();
    let opened = PeerLink::connect(address, &VmName::new("x"), &secret, &settings).await;
    assert!(matches!(opened, Err(LinkError::Unauthenticated)));
    assert_serves(&fleet).await;
}

/// Sends a message to the peer port without authentication, and returns whether it was accepted.
async fn post_unauthenticated(fleet: &Fleet, path: &str, message: Vec<u8>) -> bool {
    let stream = TcpStream::connect(fleet.vms[0].node.peer_address());
    let stream = TokioIo::new(HyperStream::new_plain(stream.await.unwrap()));
    let (mut sender, connection) = h2::client::handshake(stream).await.unwrap();
    compio::runtime::spawn(async move { drop(connection.await) }).detach();
    let request = http::Request::post(format!("http://node{path}")).body(());
    let (answer, mut body) = sender.send_request(request.unwrap(), false).unwrap();
    body.send_data(Bytes::from(message), true).unwrap();
    let answer = timeout(WAIT_TIMEOUT, answer)
        .await
        .expect("the peer port gave no answer");
    answer.is_ok_and(|answer| answer.status().is_success())
}

#[rstest]
#[compio::test]
async fn unauthenticated_peers_run_nothing() {
    let fleet = two_nodes().await;
    let hello = wire::encode(&(99_u16, VmName::new("x"), [7_u8; 16])).unwrap();
    assert!(
        post_unauthenticated(&fleet, "/hello", hello).await,
        "the hello message was not answered"
    );
    assert!(!post_unauthenticated(&fleet, "/hello", vec![255; 40]).await);
    assert!(!post_unauthenticated(&fleet, "/prove", vec![1; 32]).await);
    assert!(!post_unauthenticated(&fleet, "/call", vec![0; 100]).await);
    assert!(!post_unauthenticated(&fleet, "/control", vec![0; 100]).await);
    assert_eq!(runs(&fleet), 0);
    assert_serves(&fleet).await;
}

/// Waits until this contract version is in force at the first node.
async fn wait_for_version(fleet: &Fleet, version: u64) {
    let waiting = async {
        while dump(fleet).await["contract"]["version"] != version {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the version did not come into force");
}

#[rstest]
#[compio::test]
async fn platform_answers_that_do_not_parse_change_nothing() {
    let fleet = two_nodes().await;
    fleet.log.set_faults(LogFaults {
        garble_answers: true,
        ..LogFaults::default()
    });
    for _ in 0..20 {
        assert_serves(&fleet).await;
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(dump(&fleet).await["contract"]["version"], 1);
    fleet.log.set_faults(LogFaults::default());
    let changed = CONTRACT.replace("[services.idle]", "[services.spare]\n[services.idle]");
    let base = ConfigVersion::new(1);
    let record = ConfigRecord::publish(base, CONTRACT, &changed);
    fleet.append(&record, 3).await;
    wait_for_version(&fleet, 2).await;
}

#[rstest]
#[compio::test]
async fn invalid_contract_on_the_log_stays_out_of_force() {
    let fleet = two_nodes().await;
    let faulty = CONTRACT.replace("burst = 50000", "burst = 0");
    let base = ConfigVersion::new(1);
    let record = ConfigRecord::publish(base, CONTRACT, &faulty);
    fleet.append(&record, 3).await;
    let waiting = async {
        while dump(&fleet).await["contract"]["refused"]["version"] != 2 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the node did not report the refused version");
    let contract = dump(&fleet).await["contract"].clone();
    assert_eq!(contract["version"], 1);
    assert_eq!(contract["newest_version"], 2);
    let reason = contract["refused"]["reason"].as_str().unwrap();
    assert!(reason.contains("burst"), "{reason}");
    let address = fleet.vms[0].node.admin_address();
    let request = fleet.client.get(format!("http://{address}/metrics"));
    let metrics = request.unwrap().send().await.unwrap().text().await.unwrap();
    assert!(
        metrics.contains("\nlentilshift_contract_version 1\n"),
        "{metrics}"
    );
    assert!(metrics.contains("\nlentilshift_contract_refused_version 2\n"));
    assert_serves(&fleet).await;
    let changed = CONTRACT.replace("burst = 50000", "burst = 60000");
    let record = ConfigRecord::publish(ConfigVersion::new(2), &faulty, &changed);
    fleet.append(&record, 4).await;
    wait_for_version(&fleet, 3).await;
    assert!(dump(&fleet).await["contract"]["refused"].is_null());
}
