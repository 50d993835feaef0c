//! Bounds on requests that are sent on a connection before earlier ones are answered.

mod fleet;
#[allow(dead_code, reason = "not every test file needs all of it")]
mod pipeline;

use std::time::Duration;

use compio::time::sleep;
use lentilshift_node::AheadSettings;
use pipeline::{connect, metric, one_node, one_node_with, read, request, two_nodes};

/// The largest piece of an answer that is read at once, in bytes.
const MAX_FRAME_BYTES: u64 = 64 * 1024;

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

/// The same for answers that come over a link.
#[compio::test]
async fn unread_answers_of_other_nodes_are_held_within_bounds() {
    const ANSWER_BYTES: usize = 20_000_000;
    let fleet = two_nodes().await;
    let mut client = connect(&fleet).await;
    let path = format!("/registry/records/1?bytes={ANSWER_BYTES}");
    let requests = request("GET", &path, "large", "").repeat(4);
    client.send(&requests).await;
    sleep(Duration::from_secs(1)).await;
    let limit = AheadSettings::default().answer_bytes as u64 + MAX_FRAME_BYTES;
    let held = metric(&fleet, "lentilshift_ahead_bytes").await;
    assert!(held > 0 && held <= 3 * limit, "{held}");
    for _ in 0..4 {
        assert_eq!(client.answer().await.body.len(), ANSWER_BYTES);
    }
    assert_eq!(fleet.runs("large"), 4);
    assert_eq!(metric(&fleet, "lentilshift_ahead_bytes").await, 0);
}
