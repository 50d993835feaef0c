//! The rate of log lines caused by requests is limited, and every omitted line is counted.

use clock::ClockTime;
use lentilshift_limit::LogLineBudget;

#[test]
fn overload_writes_no_more_than_the_budget_and_counts_every_line() {
    const LINES_PER_S: u32 = 50;
    let mut budget = LogLineBudget::new(LINES_PER_S);
    let (mut written, mut omitted) = (0_u64, 0_u64);
    for ms in 0..10_000 {
        let now = ClockTime::from_ms(ms);
        omitted += budget.take_omitted(now).unwrap_or(0);
        for _ in 0..3 {
            written += u64::from(budget.take(now));
        }
    }
    omitted += budget.take_omitted(ClockTime::from_ms(11_000)).unwrap_or(0);
    assert!(written <= 11 * u64::from(LINES_PER_S), "{written} lines");
    assert_eq!(written + omitted, 30_000);
}

#[test]
fn normal_load_omits_no_line() {
    let mut budget = LogLineBudget::new(50);
    for ms in (0..10_000).step_by(100) {
        assert!(budget.take(ClockTime::from_ms(ms)));
        assert_eq!(budget.take_omitted(ClockTime::from_ms(ms)), None);
    }
}
