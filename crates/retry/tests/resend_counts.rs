//! Checks the counts of requests with the same idempotency key on their designated VM.

use clock::ClockTime;
use lentilshift_retry::CountDecision::{Counted, Exhausted, Known};
use lentilshift_retry::{CountDecision, ResendCounts, ResendSettings};
use model::RequestId;
use rstest::rstest;

const SETTINGS: ResendSettings = ResendSettings {
    retries: 2,
    resend_reserve: 1,
    retention_ms: 1_000,
    max_keys: 2,
};

fn request(id: u128) -> RequestId {
    RequestId::from_random(id)
}

#[rstest]
fn copies_are_bounded_and_attempts_count_once() {
    let mut counts = ResendCounts::new(SETTINGS);
    let now = ClockTime::from_ms(0);
    let decisions = [1, 1, 2, 3, 3, 4, 1].map(|id| counts.admit(now, 7, request(id)));
    let expected = [Counted, Known, Counted, Counted, Known, Exhausted, Known];
    assert_eq!(decisions, expected);
    assert_eq!(counts.admit(now, 8, request(4)), Counted, "another key");
}

#[rstest]
fn request_that_did_not_run_is_not_counted() {
    let mut counts = ResendCounts::new(SETTINGS);
    let now = ClockTime::from_ms(0);
    for id in 0..100 {
        assert_eq!(counts.admit(now, 7, request(id)), Counted);
        counts.uncount(7, request(id));
    }
}

#[rstest]
#[case::still_known(999, Exhausted)]
#[case::forgotten(1_000, Counted)]
fn key_is_retained_for_a_limited_time(#[case] later_ms: u64, #[case] expected: CountDecision) {
    let mut counts = ResendCounts::new(SETTINGS);
    let now = ClockTime::from_ms(0);
    for id in 0..3 {
        counts.admit(now, 7, request(id));
    }
    assert_eq!(counts.admit(now.plus_ms(later_ms), 7, request(9)), expected);
}
