//! The limit stays within its bounds and falls only while that reduces latency.

use lentilshift_limit::{ConcurrencyLimit, LimitSettings};
use proptest::prelude::*;
use rstest::rstest;

const SLOTS: u32 = 60;

fn limit() -> ConcurrencyLimit {
    ConcurrencyLimit::new(LimitSettings::default(), SLOTS)
}

/// Records runs that always fill the limit, with a latency that depends on it.
fn record_runs(limit: &mut ConcurrencyLimit, runs: u32, latency_ms: impl Fn(u32) -> u64) {
    for _ in 0..runs {
        let current = limit.current();
        limit.record(latency_ms(current), current);
    }
}

proptest! {
    #[test]
    fn limit_stays_within_its_bounds(
        runs in prop::collection::vec((0_u64..5_000, 0_u32..200), 0..3_000),
    ) {
        let mut limit = limit();
        for (latency_ms, in_flight) in runs {
            limit.record(latency_ms, in_flight);
            prop_assert!((2..=SLOTS).contains(&limit.current()));
        }
    }
}

#[rstest]
fn limit_falls_when_fewer_slots_than_announced_exist() {
    let mut limit = limit();
    record_runs(&mut limit, 256, |_| 50);
    record_runs(&mut limit, 10_000, |current| {
        50 * u64::from(current.max(20)) / 20
    });
    assert!(limit.current() <= 45, "the limit is {}", limit.current());
}

#[rstest]
fn latency_that_lowering_does_not_reduce_keeps_the_limit() {
    let mut limit = limit();
    record_runs(&mut limit, 256, |_| 50);
    record_runs(&mut limit, 2_000, |_| 250);
    assert_eq!(limit.current(), SLOTS);
}

#[rstest]
fn limit_rises_again_after_it_was_lowered() {
    let mut limit = limit();
    record_runs(&mut limit, 256, |_| 50);
    record_runs(&mut limit, 1_000, |current| 10 * u64::from(current));
    assert!(limit.current() < SLOTS);
    record_runs(&mut limit, 4_000, |_| 50);
    assert_eq!(limit.current(), SLOTS);
}

#[rstest]
fn restart_resets_a_lowered_limit() {
    let mut limit = limit();
    record_runs(&mut limit, 256, |_| 50);
    record_runs(&mut limit, 1_000, |current| 10 * u64::from(current));
    limit.reset();
    assert_eq!(limit.current(), SLOTS);
}
