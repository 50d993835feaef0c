//! Early ends of connections on which requests were sent before earlier ones were answered.

mod fleet;
#[allow(dead_code, reason = "not every test file needs all of it")]
mod pipeline;

use std::time::{Duration, Instant};

use compio::time::{sleep, timeout};
use lentilshift_node::AheadSettings;
use pipeline::{
    WAIT_TIMEOUT, connect, metric, one_node, one_node_with, read, request, two_nodes,
    wait_until_running, write,
};
use rstest::rstest;

#[compio::test]
async fn a_caller_that_leaves_ends_all_its_reads() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let requests: String = (1..=4).map(|number| read(20_000, number)).collect();
    client.send(&(requests + &write(0, "write", ""))).await;
    wait_until_running(&fleet, 4).await;
    drop(client);
    wait_until_running(&fleet, 0).await;
    let entries = fleet.vms[0].backend.record().entries();
    assert!(entries.iter().all(|entry| !entry.is_finished));
    assert_eq!(fleet.runs("write"), 0);
    assert_eq!(metric(&fleet, "lentilshift_ahead_bytes").await, 0);
    let status = fleet.send(0, "GET", "/filings/filings/1").await.status();
    assert_eq!(status.as_u16(), 200);
}

/// Guards against requests that run to their end for callers that have left, because the node holds
/// as much of what they sent as it may and doesn't read the end of their connections.
#[rstest]
#[case::large_heads(AheadSettings::default(), (10, 2_200), 8, "")]
#[case::more_than_is_read(AheadSettings::default(), (30, 2_200), 8, "")]
#[case::a_body_behind(AheadSettings::default(), (2, 0), 2, "write")]
#[case::no_memory_left(AheadSettings { node_bytes: 0, ..AheadSettings::default() }, (10, 1_500), 1, "")]
#[compio::test]
async fn callers_that_leave_with_much_unread_end_all_their_reads(
    #[case] ahead: AheadSettings,
    #[case] (requests, head_bytes): (usize, usize),
    #[case] running: usize,
    #[case] behind: &str,
) {
    let fleet = one_node_with(ahead, 10_000).await;
    let mut client = connect(&fleet).await;
    let cookie = format!("cookie: {}\r\n", "c".repeat(head_bytes));
    let path = "/filings/filings/1?ms=20000";
    let mut text = request("GET", path, "read", &cookie).repeat(requests);
    if !behind.is_empty() {
        text += &write(0, behind, &"b".repeat(40_000));
    }
    client.send(&text).await;
    wait_until_running(&fleet, running).await;
    let left = Instant::now();
    drop(client);
    wait_until_running(&fleet, 0).await;
    assert!(left.elapsed() < Duration::from_secs(5));
    sleep(Duration::from_millis(500)).await;
    let entries = fleet.vms[0].backend.record().entries();
    assert_eq!(entries.len(), running);
    assert!(entries.iter().all(|entry| !entry.is_finished));
}

/// What lies behind the answer that closes the connection is never passed on.
#[compio::test]
async fn nothing_runs_behind_an_answer_that_closes() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let path = "/filings/filings/1?ms=100&bytes=2";
    let last = request("GET", path, "last", "connection: close\r\n");
    let requests = [read(100, 1), last, read(0, 3), write(0, "write", "")];
    client.send(&requests.concat()).await;
    let answer = client.answer().await;
    assert!(!answer.closes(), "{answer:?}");
    let answer = client.answer().await;
    assert!(answer.closes() && answer.body.len() == 2, "{answer:?}");
    assert!(client.next().await.is_none());
    assert_eq!(fleet.runs("read-3") + fleet.runs("write"), 0);
    assert_eq!(fleet.vms[0].backend.record().max_running(), 2);
}

/// An answer that the backend server cuts ends the connection; the answers before it are whole.
#[compio::test]
async fn an_answer_cut_in_the_middle_leaves_those_before_it_whole() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let cut = request(
        "GET",
        "/filings/filings/1?ms=0&bytes=3000000&cut=1",
        "cut",
        "",
    );
    let requests = [
        read(100, 1),
        read(0, 2),
        cut,
        read(5_000, 4),
        write(0, "write", ""),
    ];
    client.send(&requests.concat()).await;
    for number in 1..=2 {
        assert_eq!(client.answer().await.body.len(), number);
    }
    wait_until_running(&fleet, 0).await;
    assert_eq!(fleet.runs("write"), 0);
}

/// A short answer that breaks off before its turn doesn't end the connection.
#[compio::test]
async fn a_short_answer_that_breaks_off_is_refused_in_its_place() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let path = "/filings/filings/1?ms=0&bytes=20000&cut=1";
    let cut = request("GET", path, "cut", "");
    let requests = [read(200, 1), cut, read(0, 3), write(0, "write", "")];
    client.send(&requests.concat()).await;
    let mut statuses = Vec::new();
    for _ in 1..=4 {
        statuses.push(client.answer().await.status);
    }
    assert_eq!(statuses, [200, 502, 200, 200]);
    assert_eq!(fleet.runs("write"), 1);
}

#[compio::test]
async fn a_deadline_in_the_middle_leaves_the_others_as_they_are() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let deadline = "lentilshift-deadline-ms: 200\r\n";
    let late = request("GET", "/filings/filings/1?ms=5000", "late", deadline);
    let requests = [read(100, 1), late, read(100, 3), write(0, "write", "")];
    let started = Instant::now();
    client.send(&requests.concat()).await;
    let mut answers = Vec::new();
    for _ in 1..=4 {
        let answer = client.answer().await;
        answers.push(answer.status);
    }
    assert_eq!(answers, [200, 504, 200, 200]);
    assert!(started.elapsed() < Duration::from_secs(2));
}

/// The requests that were passed on are answered, the last one with the end of the connection, and
/// those that weren't are never passed on.
#[rstest]
#[case::behind_a_write(true)]
#[case::behind_reads(false)]
#[compio::test]
async fn a_stop_of_the_node_answers_what_was_passed_on(#[case] has_write: bool) {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let requests: String = (1..=4).map(|number| read(600, number)).collect();
    client.send(&requests).await;
    if has_write {
        client.send(&write(0, "write", "")).await;
    }
    wait_until_running(&fleet, 4).await;
    let reading = async {
        sleep(Duration::from_millis(100)).await;
        client.send(&read(0, 6)).await;
        for number in 1..=4 {
            let answer = client.answer().await;
            assert_eq!((answer.status, answer.body.len()), (200, number));
            assert_eq!(answer.closes(), number == 4, "{answer:?}");
        }
        assert!(client.next().await.is_none());
    };
    futures_util::join!(fleet.vms[0].node.stop(), reading);
    assert_eq!(fleet.runs("write") + fleet.runs("read-6"), 0);
    assert_eq!(fleet.vms[0].backend.record().entries().len(), 4);
}

/// The requests that run when the connection is to end, after the callers had time to move, are
/// answered too.
#[compio::test]
async fn the_end_of_a_stop_waits_for_what_was_passed_on() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let requests: String = (1..=3).map(|number| read(4_000, number)).collect();
    client.send(&requests).await;
    wait_until_running(&fleet, 3).await;
    let reading = async {
        for number in 1..=3 {
            let answer = client.answer().await;
            assert_eq!((answer.status, answer.body.len()), (200, number));
            assert_eq!(answer.closes(), number == 3, "{answer:?}");
        }
        assert!(client.next().await.is_none());
    };
    futures_util::join!(fleet.vms[0].node.stop(), reading);
}

#[compio::test]
async fn garbage_behind_requests_ends_the_connection_after_their_answers() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let requests: String = (1..=3).map(|number| read(100, number)).collect();
    client
        .send(&(requests + "NONSENSE\r\n\r\n" + &read(0, 5)))
        .await;
    assert_eq!(client.statuses().await, [200, 200, 200, 400]);
    assert_eq!(fleet.vms[0].backend.record().entries().len(), 3);
}

#[compio::test]
async fn an_incomplete_head_behind_requests_times_out_after_their_answers() {
    let fleet = one_node_with(AheadSettings::default(), 500).await;
    let mut client = connect(&fleet).await;
    let requests: String = (1..=3).map(|number| read(700, number)).collect();
    client.send(&(requests + "GET /filings/fil")).await;
    let statuses = timeout(WAIT_TIMEOUT, client.statuses()).await.unwrap();
    assert_eq!(statuses[..3], [200, 200, 200]);
    assert!(
        statuses.len() == 3 || statuses[3..] == [408],
        "{statuses:?}"
    );
}

/// A caller that has sent much behind the answer which closes its connection gets all of it.
#[rstest]
#[case::short(300_000)]
#[case::long(1_000_000)]
#[case::longer_than_the_buffers_of_the_system(20_000_000)]
#[compio::test]
async fn the_last_answer_is_whole_although_more_was_sent(#[case] answer_bytes: usize) {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let path = format!("/filings/filings/1?bytes={answer_bytes}");
    let last = request("GET", &path, "last", "connection: close\r\n");
    let behind = write(0, "write", &"b".repeat(100_000));
    client.send(&(read(0, 1) + &last + &behind)).await;
    assert_eq!(client.answer().await.body.len(), 1);
    // The node has written what it can by then.
    sleep(Duration::from_millis(300)).await;
    let answer = client.answer().await;
    assert!(answer.closes());
    assert_eq!(answer.body.len(), answer_bytes);
    assert!(client.next().await.is_none());
    assert_eq!(fleet.runs("write"), 0);
}

/// The reads of a caller that leaves end on other nodes too.
#[compio::test]
async fn a_caller_that_leaves_ends_its_reads_on_other_nodes() {
    let fleet = two_nodes().await;
    let mut client = connect(&fleet).await;
    let path = "/registry/records/1?ms=20000";
    client
        .send(&request("GET", path, "long", "").repeat(4))
        .await;
    let record = fleet.vms[1].backend.record();
    let wait_until = async |count: usize| {
        let waiting = async {
            while record.running() != count {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(WAIT_TIMEOUT, waiting).await.unwrap();
    };
    wait_until(4).await;
    let left = Instant::now();
    drop(client);
    wait_until(0).await;
    assert!(left.elapsed() < Duration::from_secs(5));
    assert!(record.entries().iter().all(|entry| !entry.is_finished));
}
