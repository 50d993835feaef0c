//! Requests that are sent on a connection before earlier ones are answered: their order, and what
//! runs side by side.

mod fleet;
#[allow(dead_code, reason = "not every test file needs all of it")]
mod pipeline;

use std::time::{Duration, Instant};

use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use fleet::CONTRACT;
use pipeline::{
    PipelineClient, WAIT_TIMEOUT, connect, metric, one_node, read, request, wait_until_running,
    write,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use streams::{ConfigRecord, ConfigVersion};

/// The time in which six reads of 200 ms are answered where there is room for all of them.
const SIDE_BY_SIDE_TIME: Duration = Duration::from_millis(300);
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
