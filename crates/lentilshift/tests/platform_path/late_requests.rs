//! Requests that come late in the grace time of a node that is stopped in calm.

use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use compio::time::sleep;
use futures_util::future::{join, join_all};
use rstest::rstest;

use crate::platform_fleet::{CallerRequest, PlatformFleet, request_text};

/// The time from the signal to the first late request: more than that for which a stopping node takes
/// new requests.
const FIRST_LATE: Duration = Duration::from_millis(3_300);
/// The time between two late requests.
const LATE_STEP: Duration = Duration::from_millis(150);
/// How long the instances work on a request that is sent before the signal, in milliseconds.
const EARLY_RUN_MS: u64 = 4_500;
/// The paths of the late requests.
const LATE_PATHS: [&str; 10] = [
    "/slow/a", "/slow/b", "/slow/c", "/slow/d", "/slow/e", "/slow/f", "/slow/g", "/slow/h",
    "/slow/i", "/slow/j",
];

/// A request that may not be repeated, on a route without keys.
const fn slow_request(path: &'static str) -> CallerRequest {
    CallerRequest {
        key: None,
        deadline_ms: 5_500,
        ..CallerRequest::new(path)
    }
}

/// Sends a request over a connection and returns what arrives until the connection ends.
async fn exchange(mut stream: TcpStream, request: &CallerRequest) -> String {
    let mut text = Vec::new();
    let sent = stream.write_all(request_text("POST", request)).await.0;
    while sent.is_ok() {
        let BufResult(count, bytes) = stream.read(vec![0; 4_096]).await;
        match count {
            Ok(0) | Err(_) => break,
            Ok(count) => text.extend_from_slice(&bytes[..count]),
        }
        if text.ends_with(b"answers") {
            break;
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Guards against a stopping node taking a request late in its grace time, passing it on, and cutting
/// it without an answer when the process ends.
///
/// Requests without a key may be calls of the instance beside the node, which are served for longer
/// than those of callers.
#[rstest]
#[compio::test]
async fn request_late_in_the_grace_is_answered_or_not_passed_on(
    #[values(true, false)] is_connected_before: bool,
    #[values(300, 3_000)] run_ms: u64,
) {
    let fleet = PlatformFleet::start().await;
    for instance in &fleet.instances {
        instance.set_run_ms(EARLY_RUN_MS);
    }
    let early = slow_request("/slow/early");
    let early = join_all((0..4).map(|_| async {
        let stream = fleet.connect(0).await.expect("the node listens");
        exchange(stream, &early).await
    }));
    let late = async {
        sleep(Duration::from_millis(100)).await;
        let mut connections = Vec::new();
        for _ in LATE_PATHS.iter().filter(|_| is_connected_before) {
            connections.push(fleet.connect(0).await.expect("the node listens"));
        }
        fleet.terminate(0);
        sleep(FIRST_LATE).await;
        for instance in &fleet.instances {
            instance.set_run_ms(run_ms);
        }
        let mut connections = connections.into_iter();
        let sending = LATE_PATHS.iter().zip(0..).map(|(path, number)| {
            let open = connections.next();
            let fleet = &fleet;
            async move {
                sleep(LATE_STEP * number).await;
                let open = match open {
                    Some(open) => Ok(open),
                    None => fleet.connect(0).await,
                };
                match open {
                    Ok(stream) => exchange(stream, &slow_request(path)).await,
                    Err(_) => String::new(),
                }
            }
        });
        join_all(sending.collect::<Vec<_>>()).await
    };
    let (early, late) = join(early, late).await;
    for text in early {
        assert!(text.starts_with("HTTP/1.1 200 "), "{text:?}");
    }
    for (path, text) in LATE_PATHS.iter().zip(late) {
        let has_run = fleet.runs().iter().any(|run| run.path == *path);
        let is_refused = text.starts_with("HTTP/1.1 503 ");
        let is_whole = text.starts_with("HTTP/1.1 200 ") && text.ends_with("answers");
        assert!(
            !has_run || is_whole,
            "{path} has run, its caller got {text:?}"
        );
        assert!(has_run || is_refused || text.is_empty(), "{path}: {text:?}");
    }
}
