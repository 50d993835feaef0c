//! Answers that have begun and never end, or whose callers leave.

mod fleet;
#[allow(dead_code, reason = "not every test file needs all of it")]
mod pipeline;
mod raw;
#[allow(dead_code, reason = "not every test file needs all of it")]
mod scripted;

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::AsyncRead;
use compio::time::{sleep, timeout};
use fleet::Fleet;
use fleet::link_proxy::LinkProxy;
use lentilshift_node::NodeSettings;
use pipeline::{WAIT_TIMEOUT, request, two_nodes};
use raw::{read_to_end, send_raw};
use rstest::rstest;
use scripted::{REQUEST_ID, ScriptedAnswer, ScriptedBackend, answer_text};
use standin::BackendSettings;

/// The body of an answer, of which only a part is sent.
const PART: &str = "the first part of the answer";
/// The time within which an answer has to end after the deadline of its request, and a request after
/// its caller has left.
const END_LIMIT: Duration = Duration::from_millis(500);

/// How the end of an answer is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerFraming {
    Length,
    LongLength,
    Chunks,
    Connection,
}

impl AnswerFraming {
    /// Returns the head of an answer and the first part of its body.
    fn first_part(self, id: &str) -> String {
        let (header, body) = match self {
            Self::Length => ("content-length: 100\r\n", PART.to_owned()),
            Self::LongLength => ("content-length: 1000000\r\n", PART.to_owned()),
            Self::Chunks => (
                "transfer-encoding: chunked\r\n",
                format!("{:x}\r\n{PART}\r\n", PART.len()),
            ),
            Self::Connection => ("", PART.to_owned()),
        };
        format!("HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n{header}\r\n{body}")
    }
}

/// Starts a backend server that begins answers and doesn't end them, with two nodes. The path of the
/// returned request leads to it, over a link if `is_remote`.
async fn start(framing: AnswerFraming, is_remote: bool) -> (Rc<ScriptedBackend>, Fleet, String) {
    let backend = ScriptedBackend::start(move |request| ScriptedAnswer {
        runs: true,
        bytes: framing.first_part(&request.id),
        ..ScriptedAnswer::default()
    })
    .await;
    let mut fleet = Fleet::start().await;
    let settings = BackendSettings::default;
    let scripted = |settings| backend.settings(settings);
    if is_remote {
        fleet.add("filings-1", "filings", settings()).await;
        fleet
            .add_with_settings("registry-1", "registry", settings(), scripted)
            .await;
    } else {
        fleet
            .add_with_settings("filings-1", "filings", settings(), scripted)
            .await;
        fleet.add("registry-1", "registry", settings()).await;
    }
    fleet.wait_until_warm().await;
    let path = if is_remote {
        "/registry/records/1"
    } else {
        "/filings/filings/1"
    };
    (backend, fleet, path.to_owned())
}

async fn wait_until_busy(backend: &ScriptedBackend, count: usize) {
    let waiting = async {
        while backend.busy_connections() != count {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting).await.unwrap();
}

/// Guards against a backend server that works on for a caller that has left after the head of its
/// answer, because nothing tells the node beside it while the rest of the answer is awaited.
#[rstest]
#[compio::test]
async fn an_answer_that_has_begun_ends_with_its_caller(
    #[values(
        AnswerFraming::Length,
        AnswerFraming::LongLength,
        AnswerFraming::Chunks,
        AnswerFraming::Connection
    )]
    framing: AnswerFraming,
    #[values(false, true)] is_remote: bool,
) {
    let (backend, fleet, path) = start(framing, is_remote).await;
    let text = request("GET", &path, "", "request-id: a1\r\n");
    let client = send_raw(fleet.vms[0].node.caller_address(), &text).await;
    wait_until_busy(&backend, 1).await;
    sleep(Duration::from_millis(300)).await;
    let left = Instant::now();
    drop(client);
    wait_until_busy(&backend, 0).await;
    assert!(left.elapsed() < END_LIMIT, "{:?}", left.elapsed());
}

/// Guards against answers that never end, because the deadline of a request holds only up to the head
/// of its answer.
#[rstest]
#[compio::test]
async fn an_answer_that_has_begun_ends_at_its_deadline(
    #[values(
        AnswerFraming::Length,
        AnswerFraming::LongLength,
        AnswerFraming::Chunks,
        AnswerFraming::Connection
    )]
    framing: AnswerFraming,
    #[values(false, true)] is_remote: bool,
) {
    const DEADLINE: Duration = Duration::from_millis(1_500);
    let (backend, fleet, path) = start(framing, is_remote).await;
    let headers = format!(
        "request-id: a1\r\nlentilshift-deadline-ms: {}\r\nconnection: close\r\n",
        DEADLINE.as_millis()
    );
    let text = request("GET", &path, "", &headers);
    let sent = Instant::now();
    let mut client = send_raw(fleet.vms[0].node.caller_address(), &text).await;
    let answer = read_to_end(&mut client).await;
    let elapsed = sent.elapsed();
    assert!(elapsed >= DEADLINE, "{elapsed:?}: {answer}");
    assert!(elapsed < DEADLINE + END_LIMIT, "{elapsed:?}: {answer}");
    // A short answer from another node isn't passed on before it is whole.
    let is_whole_or_none = is_remote && framing == AnswerFraming::Length;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    if is_whole_or_none {
        assert!(head.starts_with("HTTP/1.1 504"), "{answer}");
    } else {
        assert!(head.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(
            body.contains(PART) && !body.ends_with("0\r\n\r\n"),
            "{answer}"
        );
    }
    wait_until_busy(&backend, 0).await;
}

/// Guards against an answer that is cut at its deadline though the backend server has sent all of it
/// and only its caller is slow.
#[rstest]
#[case::local("/filings/filings/1")]
#[case::over_a_link("/registry/records/1")]
#[compio::test]
async fn an_answer_that_is_read_slowly_is_whole(#[case] path: &str) {
    const ANSWER_BYTES: usize = 12_000_000;
    let fleet = two_nodes().await;
    let path = format!("{path}?bytes={ANSWER_BYTES}");
    let headers = "lentilshift-deadline-ms: 1000\r\nconnection: close\r\n";
    let text = request("GET", &path, "", headers);
    let mut client = send_raw(fleet.vms[0].node.caller_address(), &text).await;
    sleep(Duration::from_millis(500)).await;
    let mut count = 0;
    loop {
        let BufResult(read, _) = client.read(vec![0; 256 * 1024]).await;
        let bytes = read.unwrap();
        if bytes == 0 {
            break;
        }
        count += bytes;
        sleep(Duration::from_millis(20)).await;
    }
    assert!(count > ANSWER_BYTES, "{count} bytes");
}

/// Guards against requests that fail on idle connections to the backend server after an answer on
/// another connection has shown that the open ones are silent.
#[compio::test]
async fn connections_beside_a_silent_answer_are_not_used_again() {
    const NEIGHBOURS: usize = 6;
    let backend = ScriptedBackend::start(|request| {
        let whole = answer_text("200 OK", &request.id, "");
        if request.id == "half" {
            return ScriptedAnswer {
                runs: true,
                bytes: AnswerFraming::LongLength.first_part(&request.id),
                ..ScriptedAnswer::default()
            };
        }
        ScriptedAnswer {
            runs: true,
            later: whole,
            pause: Some(Duration::from_millis(300)),
            ..ScriptedAnswer::default()
        }
    })
    .await;
    let proxy = LinkProxy::start().await;
    proxy.set_target(backend.address);
    let mut fleet = Fleet::start().await;
    fleet
        .add_with_settings(
            "filings-1",
            "filings",
            BackendSettings::default(),
            |settings| NodeSettings {
                backend_address: proxy.address(),
                ..backend.settings(settings)
            },
        )
        .await;
    fleet.wait_until_warm().await;
    let address = fleet.vms[0].node.caller_address();
    let send = async |id: &str| {
        let headers =
            format!("request-id: {id}\r\nlentilshift-deadline-ms: 1000\r\nconnection: close\r\n");
        let text = request("GET", "/filings/filings/1", "", &headers);
        let mut client = send_raw(address, &text).await;
        read_to_end(&mut client).await
    };
    let ids: Vec<String> = (0..NEIGHBOURS).map(|id| format!("n{id}")).collect();
    let answers = futures_util::future::join_all(ids.iter().map(|id| send(id))).await;
    assert!(answers.iter().all(|answer| answer.contains(" 200 ")));
    let silencing = async {
        sleep(Duration::from_millis(300)).await;
        proxy.silence();
    };
    let (half, ()) = futures_util::join!(send("half"), silencing);
    assert!(half.contains(PART), "{half}");
    for number in 0..NEIGHBOURS {
        let answer = send(&format!("later{number}")).await;
        assert!(answer.contains(" 200 "), "{number}: {answer}");
    }
}
