//! Answers that have begun and whose callers leave.

mod fleet;
#[allow(dead_code, reason = "not every test file needs all of it")]
mod pipeline;
#[allow(dead_code, reason = "not every test file needs all of it")]
mod raw;
#[allow(dead_code, reason = "not every test file needs all of it")]
mod scripted;

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::{sleep, timeout};
use fleet::Fleet;
use pipeline::{WAIT_TIMEOUT, request};
use raw::send_raw;
use rstest::rstest;
use scripted::{REQUEST_ID, ScriptedAnswer, ScriptedBackend};
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
