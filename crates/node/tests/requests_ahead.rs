//! Requests that are sent on a connection before earlier ones are answered.

mod fleet;
mod pipeline;

use std::time::{Duration, Instant};

use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use fleet::{CONTRACT, Fleet};
use lentilshift_node::{AheadSettings, NodeSettings};
use pipeline::{PipelineClient, read, request, write};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use standin::BackendSettings;
use streams::{ConfigRecord, ConfigVersion};

/// The timeout of every wait in these tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The time in which six reads of 200 ms are answered where there is room for all of them.
const SIDE_BY_SIDE_TIME: Duration = Duration::from_millis(300);
/// The largest piece of an answer that is read at once, in bytes.
const MAX_FRAME_BYTES: u64 = 64 * 1024;
/// Routes whose requests may be repeated, and routes whose requests may not.
const ROUTES: &str = r#"
[routes.look-up]
host = "a"
path = "/look/"
idempotent = true
backends = { filings = 1 }
[routes.file]
host = "a"
path = "/file/"
backends = { filings = 1 }
"#;

async fn one_node() -> Fleet {
    one_node_with(AheadSettings::default(), 10_000).await
}

async fn one_node_with(ahead: AheadSettings, head_limit_ms: u64) -> Fleet {
    let mut fleet = Fleet::start().await;
    let backend = BackendSettings::default();
    fleet
        .add_with_settings("filings-1", "filings", backend, |settings| NodeSettings {
            ahead,
            head_limit_ms,
            ..settings
        })
        .await;
    fleet.wait_until_warm().await;
    fleet
}

async fn connect(fleet: &Fleet) -> PipelineClient {
    PipelineClient::connect(fleet.vms[0].node.caller_address()).await
}

fn running(fleet: &Fleet) -> usize {
    fleet.vms[0].backend.record().running()
}

/// Waits until the backend server runs `count` requests.
async fn wait_until_running(fleet: &Fleet, count: usize) {
    let waiting = async {
        while running(fleet) != count {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting)
        .await
        .unwrap_or_else(|_| panic!("{} requests run, not {count}", running(fleet)));
}

async fn metric(fleet: &Fleet, name: &str) -> u64 {
    let url = format!("http://{}/metrics", fleet.vms[0].node.admin_address());
    let answer = fleet.client.get(url).unwrap().send().await.unwrap();
    let text = answer.text().await.unwrap();
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

#[compio::test]
async fn six_reads_are_answered_side_by_side_and_in_order() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let started = Instant::now();
    let requests: String = (1..=6).map(|number| read(200, number)).collect();
    client.send(&requests).await;
    for number in 1..=6 {
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.body.len()), (200, number));
        let taken = answer.arrived - started;
        assert!(taken < SIDE_BY_SIDE_TIME, "answer {number} after {taken:?}");
    }
    assert_eq!(fleet.vms[0].backend.record().entries().len(), 6);
    assert_eq!(metric(&fleet, "lentilshift_requests_ahead_total").await, 5);
    assert_eq!(metric(&fleet, "lentilshift_ahead_bytes").await, 0);
}

#[compio::test]
async fn answers_keep_the_order_of_requests_that_end_in_reverse() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let spans = [400, 300, 200, 100, 0];
    let requests: String = (1..)
        .zip(spans)
        .map(|(number, ms)| read(ms, number))
        .collect();
    client.send(&requests).await;
    for number in 1..=spans.len() {
        assert_eq!(client.answer().await.body.len(), number);
    }
    // The connection serves requests one by one after that, with an idle time between them.
    sleep(Duration::from_millis(100)).await;
    client.send(&read(0, 77)).await;
    assert_eq!(client.answer().await.body.len(), 77);
}

#[compio::test]
async fn no_more_requests_run_at_once_than_the_bound() {
    let ahead = AheadSettings {
        max_requests: 3,
        ..AheadSettings::default()
    };
    let fleet = one_node_with(ahead, 10_000).await;
    let mut client = connect(&fleet).await;
    let requests: String = (1..=12).map(|number| read(30, number)).collect();
    client.send(&requests).await;
    for number in 1..=12 {
        assert_eq!(client.answer().await.body.len(), number);
    }
    assert_eq!(fleet.vms[0].backend.record().max_running(), 3);
}

#[compio::test]
async fn requests_wait_for_each_other_when_it_is_switched_off() {
    let fleet = one_node_with(AheadSettings::OFF, 10_000).await;
    let mut client = connect(&fleet).await;
    let requests: String = (1..=4).map(|number| read(30, number)).collect();
    client.send(&requests).await;
    for number in 1..=4 {
        assert_eq!(client.answer().await.body.len(), number);
    }
    assert_eq!(fleet.vms[0].backend.record().max_running(), 1);
}

#[compio::test]
async fn a_write_runs_alone() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let requests = [
        read(150, 1),
        read(150, 2),
        write(150, "write", "a body of some bytes"),
        read(150, 4),
        read(150, 5),
    ];
    client.send(&requests.concat()).await;
    wait_until_running(&fleet, 2).await;
    let traces = || {
        let entries = fleet.vms[0].backend.record().entries();
        entries
            .into_iter()
            .map(|entry| entry.trace)
            .collect::<Vec<_>>()
    };
    assert!(!traces().contains(&"write".to_owned()));
    for number in 1..=2 {
        assert_eq!(client.answer().await.body.len(), number);
    }
    wait_until_running(&fleet, 1).await;
    assert_eq!(traces(), ["read-1", "read-2", "write"]);
    let answer = client.answer().await;
    let text = String::from_utf8(answer.body).unwrap();
    assert!(text.contains(r#""uploaded_bytes":20"#), "{text}");
    wait_until_running(&fleet, 2).await;
    for number in 4..=5 {
        assert_eq!(client.answer().await.body.len(), number);
    }
    assert_eq!(fleet.vms[0].backend.record().max_running(), 2);
}

/// The bytes of a body never pass for a request.
#[rstest]
#[case::length(false)]
#[case::chunks(true)]
#[compio::test]
async fn a_request_in_a_body_is_not_run(#[case] is_chunked: bool) {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let inner = request("GET", "/filings/filings/1", "inner", "");
    let outer = if is_chunked {
        let head = request(
            "POST",
            "/filings/filings/1?ms=50",
            "outer",
            "transfer-encoding: chunked\r\n",
        );
        format!("{head}{:x}\r\n{inner}\r\n0\r\n\r\n", inner.len())
    } else {
        write(50, "outer", &inner)
    };
    let requests = [read(50, 1), outer, read(50, 3), read(50, 4)];
    client.send(&requests.concat()).await;
    let mut lengths = Vec::new();
    for _ in 1..=4 {
        let answer = client.answer().await;
        assert_eq!(answer.status, 200);
        lengths.push(answer.body.len());
    }
    assert_eq!([lengths[0], lengths[2], lengths[3]], [1, 3, 4]);
    // The two reads behind the body ran side by side.
    assert_eq!(fleet.vms[0].backend.record().max_running(), 2);
    assert_eq!(fleet.runs("inner"), 0);
    assert_eq!(fleet.runs("outer"), 1);
    assert_eq!(fleet.vms[0].backend.record().entries().len(), 4);
}

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
async fn unread_answers_are_held_within_bounds() {
    const ANSWER_BYTES: usize = 20_000_000;
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let requests: String = (0..4)
        .map(|number| read(0, ANSWER_BYTES + number))
        .collect();
    client.send(&requests).await;
    sleep(Duration::from_secs(1)).await;
    let limit = AheadSettings::default().answer_bytes as u64 + MAX_FRAME_BYTES;
    let held = metric(&fleet, "lentilshift_ahead_bytes").await;
    assert!(held > 0 && held <= 3 * limit, "{held}");
    for number in 0..4 {
        let answer = client.answer().await;
        assert_eq!(answer.body.len(), ANSWER_BYTES + number);
        assert!(answer.body.iter().all(|byte| *byte == b'x'));
    }
    assert_eq!(metric(&fleet, "lentilshift_ahead_bytes").await, 0);
}

/// Without room in the node's memory, requests wait for each other and none is lost.
#[compio::test]
async fn requests_wait_when_the_node_holds_too_much() {
    let ahead = AheadSettings {
        node_bytes: 0,
        ..AheadSettings::default()
    };
    let fleet = one_node_with(ahead, 10_000).await;
    let mut client = connect(&fleet).await;
    let requests: String = (1..=20).map(|number| read(5, number)).collect();
    client.send(&requests).await;
    for number in 1..=20 {
        assert_eq!(client.answer().await.body.len(), number);
    }
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(90)]
#[compio::test]
async fn heads_may_arrive_in_pieces(#[case] piece_bytes: usize) {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let requests = [
        read(20, 1),
        read(0, 2),
        write(0, "write", "some bytes"),
        read(20, 4),
        read(0, 5),
    ];
    let text = requests.concat();
    for piece in text.as_bytes().chunks(piece_bytes) {
        client.send(std::str::from_utf8(piece).unwrap()).await;
        sleep(Duration::from_millis(1)).await;
    }
    for number in 1..=5 {
        let answer = client.answer().await;
        assert_eq!(answer.status, 200);
        assert!(number == 3 || answer.body.len() == number, "{answer:?}");
    }
    assert_eq!(fleet.vms[0].backend.record().entries().len(), 5);
}

/// Heads whose length exceeds what is read ahead wait for their turn.
#[compio::test]
async fn heads_longer_than_what_is_read_ahead_are_served_in_turn() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let long = format!("x-long: {}\r\n", "l".repeat(30_000));
    let requests: String = (1..=5)
        .map(|number| {
            let path = format!("/filings/filings/1?ms=20&bytes={number}");
            request("GET", &path, "long", &long)
        })
        .collect();
    client.send(&requests).await;
    for number in 1..=5 {
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.body.len()), (200, number));
    }
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

/// Requests that are refused at once, as those without a valid key, keep their places.
#[compio::test]
async fn refusals_keep_their_places() {
    let fleet = one_node().await;
    let mut client = connect(&fleet).await;
    let keyless = "GET /filings/filings/1 HTTP/1.1\r\nhost: a\r\n\r\n".to_owned();
    let unknown = "GET /nothing/here HTTP/1.1\r\nhost: a\r\n\r\n".to_owned();
    let requests = [keyless.clone(), read(50, 2), keyless, unknown, read(0, 5)];
    client.send(&requests.concat()).await;
    let mut statuses = Vec::new();
    for _ in 1..=5 {
        statuses.push(client.answer().await.status);
    }
    assert_eq!(statuses[..3], [401, 200, 401]);
    assert!(statuses[3] >= 400);
    assert_eq!(statuses[4], 200);
    assert_eq!(fleet.vms[0].backend.record().entries().len(), 2);
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

/// With routes, the route says whether a request may run beside others, whatever its method.
#[rstest]
#[case::read("GET", "/look/1?ms=50", 4)]
#[case::write_without_a_body("GET", "/file/1?ms=50", 1)]
#[case::read_by_post("POST", "/look/1?ms=50", 4)]
#[compio::test]
async fn routes_say_what_runs_side_by_side(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: usize,
) {
    let fleet = one_node().await;
    let text = format!("{CONTRACT}{ROUTES}");
    let record = ConfigRecord::publish(ConfigVersion::new(1), CONTRACT, &text);
    fleet.append(&record, 3).await;
    let waiting = async {
        while fleet.dump(0).await["contract"]["version"] != 2 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting).await.unwrap();
    let mut client = connect(&fleet).await;
    client
        .send(&request(method, path, "route", "").repeat(4))
        .await;
    for _ in 0..4 {
        assert_eq!(client.answer().await.status, 200);
    }
    assert_eq!(fleet.runs("route"), 4);
    assert_eq!(fleet.vms[0].backend.record().max_running(), expected);
}

/// A request of a random connection.
struct RandomRequest {
    text: String,
    trace: String,
    /// The number of bytes that the backend server receives, if the request is a write.
    uploaded_bytes: Option<usize>,
    /// The number of bytes of the answer to a read.
    answer_bytes: usize,
}

fn random_request(random: &mut SmallRng, number: usize) -> RandomRequest {
    let ms = random.random_range(0..20);
    let answer_bytes = match random.random_range(0..8) {
        0 => 200_000 + number,
        _ => 1 + number,
    };
    let trace = format!("request-{number}");
    let padding = format!(
        "x-padding: {}\r\n",
        "p".repeat(random.random_range(0..3_000))
    );
    if random.random_bool(0.7) {
        let path = format!("/filings/filings/1?ms={ms}&bytes={answer_bytes}");
        return RandomRequest {
            text: request("GET", &path, &trace, &padding),
            trace,
            uploaded_bytes: None,
            answer_bytes,
        };
    }
    let length = match random.random_range(0..4) {
        0 => 100_000 + number,
        1 => 0,
        _ => number,
    };
    let body = "GET / HTTP/1.1\r\n\r\n0\r\n\r\n".repeat(1 + length / 23);
    let body = &body[..length];
    let path = format!("/filings/filings/1?ms={ms}");
    let text = if length > 0 && random.random_bool(0.5) {
        let chunked = format!("transfer-encoding: chunked\r\n{padding}");
        let (first, second) = body.split_at(length / 2);
        let mut text = request("POST", &path, &trace, &chunked);
        for piece in [first, second]
            .into_iter()
            .filter(|piece| !piece.is_empty())
        {
            text.push_str(&chunk(piece));
        }
        text + "0\r\nx-trailer: 1\r\n\r\n"
    } else {
        let headers = format!("content-length: {length}\r\n{padding}");
        request("POST", &path, &trace, &headers) + body
    };
    RandomRequest {
        text,
        trace,
        uploaded_bytes: Some(length),
        answer_bytes,
    }
}

/// Returns a chunk with an extension.
fn chunk(data: &str) -> String {
    format!("{:x};a=b\r\n{data}\r\n", data.len())
}

/// Random reads and writes, in pieces of random sizes, are answered in order; each runs once, and
/// writes run alone.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(6)]
#[compio::test]
async fn random_connections_keep_the_order(#[case] seed: u64) {
    let fleet = one_node().await;
    let address = fleet.vms[0].node.caller_address();
    let mut random = SmallRng::seed_from_u64(seed);
    let requests: Vec<RandomRequest> = (0..60)
        .map(|number| random_request(&mut random, number))
        .collect();
    let text: String = requests
        .iter()
        .map(|request| request.text.as_str())
        .collect();
    let stream = TcpStream::connect(address).await.unwrap();
    let mut writer = stream.clone();
    let sending = async {
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let most = [10, 500, 5_000, 200_000][random.random_range(0..4)];
            let piece = random.random_range(1..=most).min(rest.len());
            writer.write_all(rest[..piece].to_vec()).await.0.unwrap();
            rest = &rest[piece..];
            if random.random_bool(0.2) {
                sleep(Duration::from_millis(random.random_range(0..10))).await;
            }
        }
    };
    let mut client = PipelineClient::new(stream);
    let reading = async {
        for request in &requests {
            let answer = client.answer().await;
            assert_eq!(answer.status, 200, "{}", request.trace);
            if let Some(bytes) = request.uploaded_bytes {
                let text = String::from_utf8(answer.body).unwrap();
                let uploaded = format!(r#""uploaded_bytes":{bytes}}}"#);
                assert!(text.ends_with(&uploaded), "{}: {text}", request.trace);
            } else {
                assert_eq!(answer.body.len(), request.answer_bytes, "{}", request.trace);
            }
        }
    };
    futures_util::join!(sending, reading);
    let entries = fleet.vms[0].backend.record().entries();
    assert_eq!(entries.len(), requests.len());
    for (position, request) in requests.iter().enumerate() {
        assert_eq!(fleet.runs(&request.trace), 1, "{}", request.trace);
        if request.uploaded_bytes.is_some() {
            assert_eq!(entries[position].trace, request.trace);
        }
    }
    assert!(fleet.vms[0].backend.record().max_running() > 1);
    assert_eq!(metric(&fleet, "lentilshift_ahead_bytes").await, 0);
}
