//! Backend servers that write an earlier refusal once more, only a part of an answer's head, or more
//! than an answer may have.

mod fleet;
mod scripted;

use fleet::Fleet;
use lentilshift_node::{AnswerLimits, NodeSettings};
use rstest::rstest;
use scripted::{NOT_RUN, REQUEST_ID, ScriptedAnswer, ScriptedBackend, answer_text};
use standin::BackendSettings;

/// The statuses that promise that a request hasn't run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Starts the node of a scripted backend server of `filings`, and another node.
async fn start_fleet(backend: &ScriptedBackend) -> Fleet {
    start_limited_fleet(backend, AnswerLimits::default()).await
}

/// Starts the same fleet with bounds on answers.
async fn start_limited_fleet(backend: &ScriptedBackend, answers: AnswerLimits) -> Fleet {
    let mut fleet = Fleet::start().await;
    let settings = BackendSettings::default();
    fleet
        .add_with_settings("filings-1", "filings", settings.clone(), |settings| {
            backend.settings(NodeSettings {
                answers,
                ..settings
            })
        })
        .await;
    fleet
        .add_with_settings("registry-1", "registry", settings, |settings| settings)
        .await;
    fleet.wait_until_warm().await;
    fleet
}

async fn send(fleet: &Fleet, method: &str, id: &str) -> (u16, String) {
    let headers = [(REQUEST_ID, id), ("lentilshift-deadline-ms", "3000")];
    let answer = fleet
        .send_admitted(0, method, "/filings/filings", &headers)
        .await;
    let status = answer.status().as_u16();
    (status, answer.text().await.unwrap_or_else(|_| "cut".into()))
}

/// The refusal of a request, as a backend server writes it again later.
fn refusal(status: &str, id: &str) -> String {
    let marker = if status.starts_with("421") {
        String::new()
    } else {
        format!("{NOT_RUN}: 1\r\n")
    };
    answer_text(status, id, &marker)
}

/// Guards against a repeated refusal of an earlier request that is taken for the answer to a
/// request that runs: the caller is told that it hasn't run, or it runs twice.
#[rstest]
#[case::full_with_id("503 Service Unavailable", "first")]
#[case::full_without_id("503 Service Unavailable", "")]
#[case::malformed_without_id("400 Bad Request", "")]
#[case::misdirected_with_id("421 Misdirected Request", "first")]
#[case::misdirected_without_id("421 Misdirected Request", "")]
#[compio::test]
async fn repeated_refusal_is_no_answer_to_a_later_request(
    #[case] status: &'static str,
    #[case] repeated_id: &'static str,
    #[values("POST", "GET")] method: &str,
) {
    let backend = ScriptedBackend::start(move |request| {
        if request.id == "first" {
            return ScriptedAnswer {
                bytes: refusal("503 Service Unavailable", "first"),
                ..ScriptedAnswer::default()
            };
        }
        let has_refused = request.earlier.iter().any(|id| id == "first");
        ScriptedAnswer {
            runs: true,
            bytes: if has_refused {
                refusal(status, repeated_id)
            } else {
                String::new()
            },
            later: answer_text("200 OK", &request.id, ""),
            closes: false,
            ..ScriptedAnswer::default()
        }
    })
    .await;
    let fleet = start_fleet(&backend).await;
    assert_eq!(send(&fleet, method, "first").await.0, 503);
    let (status, _) = send(&fleet, method, "second").await;
    let runs = backend.runs("second");
    assert!(runs > 0, "the request wasn't sent");
    assert!(
        !NOT_RUN_STATUSES.contains(&status),
        "{status} after {runs} runs"
    );
    assert!(method == "GET" || runs == 1, "{runs} runs");
}

/// Guards against the same for a request that is sent again after its own refusal.
#[rstest]
#[compio::test]
async fn repeated_refusal_is_no_answer_to_the_same_request_sent_again() {
    let backend = ScriptedBackend::start(|request| {
        let is_repeat = request.earlier.contains(&request.id);
        let is_first = request.earlier.is_empty() && request.id == "first";
        ScriptedAnswer {
            runs: !is_first,
            bytes: if is_repeat || is_first {
                refusal("503 Service Unavailable", &request.id)
            } else {
                answer_text("200 OK", &request.id, "")
            },
            ..ScriptedAnswer::default()
        }
    })
    .await;
    let fleet = start_fleet(&backend).await;
    let (status, _) = send(&fleet, "POST", "first").await;
    let runs = backend.runs("first");
    assert!(runs <= 1, "{runs} runs");
    assert!(
        runs == 0 || !NOT_RUN_STATUSES.contains(&status),
        "{status} after {runs} runs"
    );
}

/// Guards against a refusal that is written twice at once, so that the second copy waits for the
/// next request.
#[rstest]
#[compio::test]
async fn refusal_written_twice_answers_one_request() {
    let backend = ScriptedBackend::start(|request| {
        let is_first = request.id == "first";
        ScriptedAnswer {
            runs: !is_first,
            bytes: if is_first {
                refusal("503 Service Unavailable", "first").repeat(2)
            } else {
                answer_text("200 OK", &request.id, "")
            },
            ..ScriptedAnswer::default()
        }
    })
    .await;
    let fleet = start_fleet(&backend).await;
    assert_eq!(send(&fleet, "POST", "first").await.0, 503);
    for number in 0..5 {
        let id = format!("later-{number}");
        let (status, _) = send(&fleet, "POST", &id).await;
        assert_eq!((status, backend.runs(&id)), (200, 1));
    }
}

/// Guards against a head that breaks off and is taken for a whole answer with an empty body.
#[rstest]
#[case::status_line("HTTP/1.1 200")]
#[case::no_header("HTTP/1.1 200 OK\r\n")]
#[case::in_a_name("HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-le")]
#[case::in_the_length("HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 1")]
#[case::after_a_line("HTTP/1.1 200 OK\r\nrequest-id: ID\r\n")]
#[case::in_the_last_line("HTTP/1.1 200 OK\r\nrequest-id: ID\r\n\r")]
#[case::after_an_interim_answer(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nrequest-id: ID\r\n"
)]
#[compio::test]
async fn answer_that_breaks_off_in_its_head_is_no_success(
    #[case] head: &'static str,
    #[values("POST", "GET")] method: &str,
) {
    let backend = ScriptedBackend::start(move |request| ScriptedAnswer {
        runs: true,
        bytes: head.replace("ID", &request.id),
        closes: true,
        ..ScriptedAnswer::default()
    })
    .await;
    let fleet = start_fleet(&backend).await;
    let (status, body) = send(&fleet, method, "first").await;
    assert!(status == 502 || status == 504, "{status} {body:?}");
    assert!(method == "GET" || backend.runs("first") == 1);
}

/// Guards against a status that HTTP doesn't define reaching the caller as the backend server's answer.
#[rstest]
#[compio::test]
async fn answer_with_an_undefined_status_is_a_failure_of_the_backend_server(
    #[values("000", "099", "600", "700", "999", "1000")] code: &'static str,
    #[values("POST", "GET")] method: &str,
) {
    let backend = ScriptedBackend::start(move |request| ScriptedAnswer {
        runs: true,
        bytes: answer_text(&format!("{code} Odd"), &request.id, ""),
        ..ScriptedAnswer::default()
    })
    .await;
    let fleet = start_fleet(&backend).await;
    let (status, body) = send(&fleet, method, "first").await;
    assert_eq!(status, 502, "{body:?}");
    assert!(method == "GET" || backend.runs("first") == 1);
}

/// The bounds on answers in the tests of these bounds.
const LIMITS: AnswerLimits = AnswerLimits {
    head_bytes: AnswerLimits::MIN_HEAD_BYTES,
    interim_bytes: 1_000,
    body_bytes: 1_000,
};

/// Guards against an answer beyond a bound being passed on, or being taken for a success.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nrequest-id: ID\r\nx-filler: ", 10_000, "\r\n\r\n")]
#[case::interim("HTTP/1.1 103 Early Hints\r\nx-filler: ", 7_000, "\r\n\r\n")]
#[case::body(
    "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 2000\r\n\r\n",
    2_000,
    ""
)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n1f4\r\n",
    500,
    "\r\n"
)]
#[compio::test]
async fn answer_beyond_a_bound_is_no_success(
    #[case] start: &'static str,
    #[case] fill: usize,
    #[case] end: &'static str,
) {
    let backend = ScriptedBackend::start(move |request| {
        let bytes = start.replace("ID", &request.id) + &"x".repeat(fill) + end;
        let later = match (start.contains("103"), start.contains("chunked")) {
            (true, _) => bytes.clone() + &answer_text("200 OK", &request.id, ""),
            (_, true) => format!("3e8\r\n{}\r\n0\r\n\r\n", "x".repeat(1_000)),
            _ => String::new(),
        };
        ScriptedAnswer {
            runs: true,
            bytes,
            later,
            ..ScriptedAnswer::default()
        }
    })
    .await;
    let fleet = start_limited_fleet(&backend, LIMITS).await;
    let (status, body) = send(&fleet, "POST", "first").await;
    assert!(status == 502 || body == "cut", "{status} {body:?}");
    assert_eq!(backend.runs("first"), 1);
}

/// An answer within the bounds is passed on whole.
#[rstest]
#[compio::test]
async fn answer_within_the_bounds_is_whole() {
    let backend = ScriptedBackend::start(|request| {
        let interim = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(30);
        let head = format!("x-filler: {}\r\n", "x".repeat(6_000));
        ScriptedAnswer {
            runs: true,
            bytes: interim + &answer_text("200 OK", &request.id, &head),
            ..ScriptedAnswer::default()
        }
    })
    .await;
    let fleet = start_limited_fleet(&backend, LIMITS).await;
    assert_eq!(send(&fleet, "POST", "first").await, (200, "ok".to_owned()));
}

/// The scripted backend server answers properly when it is told to.
#[rstest]
#[compio::test]
async fn whole_answer_is_a_success() {
    let backend = ScriptedBackend::start(|request| ScriptedAnswer {
        runs: true,
        bytes: answer_text("200 OK", &request.id, ""),
        ..ScriptedAnswer::default()
    })
    .await;
    let fleet = start_fleet(&backend).await;
    assert_eq!(send(&fleet, "POST", "first").await, (200, "ok".to_owned()));
}
