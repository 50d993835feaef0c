//! A backend server that accepts no connection and refuses none, as one that lost its power.
//!
//! A request that waited for such a connection until its deadline was answered 504, "may have run",
//! though no byte of it had been sent.

mod fleet;

use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use fleet::Fleet;
use lentilshift_node::NodeSettings;
use rstest::rstest;
use standin::BackendSettings;

/// The time after which a connection counts as neither accepted nor refused.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The most connections that the queue of a listener may hold.
const MAX_QUEUE: usize = 8_192;

/// Fills the queue of a listener that accepts nothing, so that further connections hang.
fn fill_queue(listener: &TcpListener) -> Vec<TcpStream> {
    let address = listener.local_addr().unwrap();
    let connect = || TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok();
    let queued: Vec<TcpStream> = std::iter::from_fn(connect).take(MAX_QUEUE).collect();
    assert!(queued.len() < MAX_QUEUE, "the queue has no end");
    queued
}

#[rstest]
#[case::long_deadline("3000", Duration::from_millis(1_500))]
#[case::deadline_while_connecting("300", Duration::from_millis(600))]
#[compio::test]
async fn request_that_found_no_connection_is_answered_as_not_run(
    #[case] deadline_ms: &str,
    #[case] limit: Duration,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut fleet = Fleet::start().await;
    let backend = BackendSettings::default();
    fleet
        .add_with_settings("registry-1", "registry", backend, |settings| NodeSettings {
            backend_address: address,
            ..settings
        })
        .await;
    fleet.wait_until_warm().await;
    let _queued = fill_queue(&listener);
    let headers = [("lentilshift-deadline-ms", deadline_ms)];
    let sent_at = Instant::now();
    let answer = fleet
        .send_with(0, "GET", "/registry/records/7", &headers)
        .await;
    let verdict = answer.headers().get("lentilshift-verdict");
    assert_eq!(verdict.unwrap(), "not-run", "{}", answer.status());
    assert!(answer.headers().contains_key("retry-after"));
    assert!(sent_at.elapsed() < limit, "{:?}", sent_at.elapsed());
}
