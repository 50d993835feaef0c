//! The limit stays within its bounds and follows what lowers latency.

use lentilshift_limit::{ConcurrencyLimit, LimitSettings};
use proptest::prelude::*;
use rstest::rstest;

const SLOTS: u32 = 60;

fn limit() -> ConcurrencyLimit {
    ConcurrencyLimit::new(LimitSettings::default(), SLOTS)
}

/// Feeds runs that always fill the limit, with a latency that depends on it.
fn feed(limit: &mut ConcurrencyLimit, runs: u32, latency_ms: impl Fn(u32) -> u64) {
    for _ in 0..runs {
        let current = limit.current();
        limit.record(latency_ms(current), current);
    }
}

proptest! {
    #[test]
    fn the_limit_stays_between_its_bounds(
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
fn a_backend_server_with_fewer_slots_than_announced_is_found_out() {
    let mut limit = limit();
    feed(&mut limit, 256, |_| 50);
    feed(&mut limit, 10_000, |current| {
        50 * u64::from(current.max(20)) / 20
    });
    assert!(limit.current() <= 45, "the limit is {}", limit.current());
}

#[rstest]
fn slowness_that_lowering_does_not_cure_keeps_the_limit() {
    let mut limit = limit();
    feed(&mut limit, 256, |_| 50);
    feed(&mut limit, 2_000, |_| 250);
    assert_eq!(limit.current(), SLOTS);
}

#[rstest]
fn the_limit_rises_again_after_a_dip() {
    let mut limit = limit();
    feed(&mut limit, 256, |_| 50);
    feed(&mut limit, 1_000, |current| 10 * u64::from(current));
    assert!(limit.current() < SLOTS);
    feed(&mut limit, 4_000, |_| 50);
    assert_eq!(limit.current(), SLOTS);
}

#[rstest]
fn a_restart_forgets_the_dip() {
    let mut limit = limit();
    feed(&mut limit, 256, |_| 50);
    feed(&mut limit, 1_000, |current| 10 * u64::from(current));
    limit.reset();
    assert_eq!(limit.current(), SLOTS);
}
