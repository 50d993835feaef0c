//! Saturating arithmetic of the time type.

use lentilshift_clock::ClockTime;
use rstest::rstest;

#[rstest]
#[case(5, 3, 2)]
#[case(3, 5, 0)]
#[case(u64::MAX, 0, u64::MAX)]
fn differences_never_wrap(#[case] now: u64, #[case] earlier: u64, #[case] span: u64) {
    let (now, earlier) = (ClockTime::from_ms(now), ClockTime::from_ms(earlier));
    assert_eq!(now.since_ms(earlier), span);
    assert_eq!(earlier.until_ms(now), span);
}

#[rstest]
fn times_saturate_at_both_ends() {
    let end = ClockTime::from_ms(u64::MAX);
    assert_eq!(end.plus_ms(1), end);
    assert_eq!(ClockTime::ZERO.minus_ms(1), ClockTime::ZERO);
}
