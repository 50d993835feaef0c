//! Requests that wait for an update after a pause of the process, and those that don't.

use clock::ClockTime;
use lentilshift_streams::{ResumeHold, ResumeSettings, UpdateTime};
use rstest::rstest;

const fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// Returns a hold of a process that has run every 100 ms up to a time.
fn running_until(end_ms: u64) -> ResumeHold {
    let mut hold = ResumeHold::new(ResumeSettings::default());
    for ms in (0..=end_ms).step_by(100) {
        hold.record_run(at(ms));
    }
    hold
}

#[rstest]
#[case::short_pause(400, 10_000, 0)]
#[case::long_pause_with_recent_state(600, 1_400, 0)]
#[case::long_pause_with_old_state(600, 1_600, 500)]
#[case::very_long_pause(60_000, 61_000, 500)]
fn requests_wait_after_a_pause_if_the_state_is_old(
    #[case] pause_ms: u64,
    #[case] age_ms: u64,
    #[case] expected_ms: u64,
) {
    let mut hold = running_until(10_000);
    let now = at(10_000 + pause_ms);
    let fresh_at = UpdateTime::before(now, age_ms);
    assert_eq!(hold.left_ms(now, Some(fresh_at)), expected_ms);
}

/// A process that runs while the log is away for long serves with the last state that it knows.
#[test]
fn requests_never_wait_while_the_process_runs() {
    let mut hold = running_until(1_000);
    let fresh_at = UpdateTime::at(at(900));
    for ms in (1_000..60_000).step_by(490) {
        assert_eq!(hold.left_ms(at(ms), Some(fresh_at)), 0, "after {ms} ms");
    }
}

#[test]
fn a_wait_ends_with_the_update_or_after_its_limit() {
    let mut hold = running_until(1_000);
    let old = UpdateTime::at(at(900));
    assert_eq!(hold.left_ms(at(5_000), Some(old)), 500);
    assert_eq!(hold.left_ms(at(5_300), Some(old)), 200);
    assert_eq!(hold.left_ms(at(5_300), Some(UpdateTime::at(at(5_100)))), 0);
    assert_eq!(hold.left_ms(at(5_500), Some(old)), 0);
    assert_eq!(hold.left_ms(at(5_900), Some(old)), 0);
}

/// A process that has no state yet isn't ready, and says so at once.
#[test]
fn a_process_without_state_does_not_wait() {
    let mut hold = running_until(1_000);
    assert_eq!(hold.left_ms(at(5_000), None), 0);
}
