//! Retries of a fleet against the bound that operators set.

use clock::ClockTime;
use lentilshift_retry::{BudgetSettings, RatioSettings, RetryBudget, RetryRatio, RetrySource};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const WINDOW_MS: u64 = 10_000;
const DAY_MS: u64 = 40_000;
/// The bound on the fleet's retries: a part of the calls, and a number besides.
const BOUND_PER_THOUSAND: u64 = 200;
const BOUND_SLACK: u64 = 124;
/// The part of it that nodes spend, as each counts the greater of two windows.
const SPENT_PART: u64 = 2;

/// The calls and retries of one millisecond.
#[derive(Clone, Copy, Default)]
struct Sent {
    calls: u64,
    retries: u64,
}

/// Sends a day's calls from some nodes, of which all fail from 13 s to 21.5 s, and the load moves to
/// a tenth of the nodes at 16 s.
fn play(
    nodes: usize,
    seed: u64,
    mut has_retry: impl FnMut(usize, ClockTime, bool) -> bool,
) -> Vec<Sent> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut day = vec![Sent::default(); usize::try_from(DAY_MS).unwrap()];
    for ms in 0..DAY_MS {
        let sent = &mut day[usize::try_from(ms).unwrap()];
        for _ in 0..random.random_range(0..5) {
            let few = if ms < 16_000 {
                nodes
            } else {
                nodes.div_ceil(10)
            };
            let node = random.random_range(0..few);
            let is_failing = (13_000..21_500).contains(&ms) && random.random_ratio(55, 100);
            sent.calls += 1;
            sent.retries += u64::from(has_retry(node, ClockTime::from_ms(ms), is_failing));
        }
    }
    day
}

/// Returns the greatest number of retries above the bound in any window.
fn excess(day: &[Sent]) -> u64 {
    let window = usize::try_from(WINDOW_MS).unwrap();
    let mut greatest = 0;
    for end in (window..=day.len()).step_by(100) {
        let calls: u64 = day[end - window..end].iter().map(|sent| sent.calls).sum();
        let retries: u64 = day[end - window..end].iter().map(|sent| sent.retries).sum();
        let bound = calls * BOUND_PER_THOUSAND / 1_000 + BOUND_SLACK;
        greatest = greatest.max(retries.saturating_sub(bound));
    }
    greatest
}

fn settings(nodes: usize) -> BudgetSettings {
    BudgetSettings {
        per_thousand: BOUND_PER_THOUSAND / SPENT_PART,
        slack_thousandths: BOUND_SLACK * 1_000 / SPENT_PART / nodes as u64,
        window_ms: WINDOW_MS,
        reserve_per_thousand: 0,
    }
}

fn budgeted_day(nodes: usize, seed: u64) -> Vec<Sent> {
    let mut budgets = vec![RetryBudget::new(settings(nodes)); nodes];
    play(nodes, seed, |node, now, is_failing| {
        budgets[node].note_call(now);
        is_failing && budgets[node].spend(now, false)
    })
}

#[rstest]
fn retries_of_a_fleet_stay_within_the_bound(
    #[values(1, 15, 95, 300)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    assert_eq!(excess(&budgeted_day(nodes, seed)), 0);
}

#[test]
fn naive_retries_exceed_the_bound() {
    let day = play(95, 1, |_, _, is_failing| is_failing);
    assert!(excess(&day) > 0);
}

/// Plays the day with retries that successes pay for, shared between sixteen nodes whatever the
/// fleet's size.
fn day_by_success(nodes: usize) -> Vec<Sent> {
    let settings = RatioSettings {
        per_thousand: BOUND_PER_THOUSAND / SPENT_PART,
        max_saved: BOUND_SLACK / 16,
    };
    let mut ratios = vec![RetryRatio::new(settings); nodes];
    play(nodes, 1, |node, _, is_failing| {
        if !is_failing {
            ratios[node].record_success();
        }
        is_failing && ratios[node].spend()
    })
}

/// The load pattern: all backend servers of a service refuse over half of what they get.
#[test]
fn refused_calls_get_more_retries_than_successes_pay_for() {
    let total = |day: &[Sent]| -> u64 { day.iter().map(|sent| sent.retries).sum() };
    let (by_calls, by_success) = (budgeted_day(15, 1), day_by_success(15));
    println!("{} {}", total(&by_calls), total(&by_success));
    assert!(total(&by_calls) > total(&by_success));
}

#[test]
fn calls_of_begun_requests_leave_some_retries_to_requests() {
    let settings = BudgetSettings {
        slack_thousandths: 8_000,
        reserve_per_thousand: 250,
        ..BudgetSettings::default()
    };
    let mut budget = RetryBudget::new(settings);
    let now = ClockTime::from_ms(1_000);
    let begun = (0..20).filter(|_| budget.spend(now, true)).count();
    let whole = (0..20).filter(|_| budget.spend(now, false)).count();
    assert_eq!((begun, whole), (6, 2));
}

#[test]
fn spent_retries_come_back_after_a_window() {
    let settings = BudgetSettings {
        slack_thousandths: 1_000,
        ..BudgetSettings::default()
    };
    let mut budget = RetryBudget::new(settings);
    assert!(budget.spend(ClockTime::from_ms(1_000), false));
    assert!(!budget.spend(ClockTime::from_ms(1_000 + WINDOW_MS), false));
    let later = ClockTime::from_ms(1_000 + WINDOW_MS + WINDOW_MS / 10);
    assert!(budget.spend(later, false));
}
