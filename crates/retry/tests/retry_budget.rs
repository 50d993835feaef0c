//! Checks the retries of a fleet against the bound that operators set.

use clock::ClockTime;
use lentilshift_retry::{BudgetSettings, RatioSettings, RetryBudget, RetryRatio, RetrySource};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const WINDOW_MS: u64 = 10_000;
const SPAN_MS: u64 = 40_000;
/// The bound on the fleet's retries per window: a fraction of the calls, plus a fixed number.
const BOUND_PER_THOUSAND: u64 = 200;
const BOUND_SLACK: u64 = 124;
/// Nodes may spend the bound divided by this, as each counts the calls of the greater of two windows.
const SPENT_DIVISOR: u64 = 2;

/// The calls and retries of one millisecond.
#[derive(Clone, Copy, Default)]
struct Sent {
    calls: u64,
    retries: u64,
}

/// Simulates 40 s of calls from some nodes. From 13 s to 21.5 s, 55 % of the calls fail; at 16 s the
/// load moves to a tenth of the nodes.
fn simulate(
    nodes: usize,
    seed: u64,
    mut has_retry: impl FnMut(usize, ClockTime, bool) -> bool,
) -> Vec<Sent> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut timeline = vec![Sent::default(); usize::try_from(SPAN_MS).unwrap()];
    for ms in 0..SPAN_MS {
        let sent = &mut timeline[usize::try_from(ms).unwrap()];
        for _ in 0..random.random_range(0..5) {
            let active_nodes = if ms < 16_000 {
                nodes
            } else {
                nodes.div_ceil(10)
            };
            let node = random.random_range(0..active_nodes);
            let is_failing = (13_000..21_500).contains(&ms) && random.random_ratio(55, 100);
            sent.calls += 1;
            sent.retries += u64::from(has_retry(node, ClockTime::from_ms(ms), is_failing));
        }
    }
    timeline
}

/// Returns the greatest number of retries above the bound in any window.
fn excess(timeline: &[Sent]) -> u64 {
    let window = usize::try_from(WINDOW_MS).unwrap();
    let mut greatest = 0;
    for end in (window..=timeline.len()).step_by(100) {
        let calls: u64 = timeline[end - window..end]
            .iter()
            .map(|sent| sent.calls)
            .sum();
        let retries: u64 = timeline[end - window..end]
            .iter()
            .map(|sent| sent.retries)
            .sum();
        let bound = calls * BOUND_PER_THOUSAND / 1_000 + BOUND_SLACK;
        greatest = greatest.max(retries.saturating_sub(bound));
    }
    greatest
}

fn settings(nodes: usize) -> BudgetSettings {
    BudgetSettings {
        per_thousand: BOUND_PER_THOUSAND / SPENT_DIVISOR,
        slack_thousandths: BOUND_SLACK * 1_000 / SPENT_DIVISOR / nodes as u64,
        window_ms: WINDOW_MS,
        reserve_per_thousand: 0,
    }
}

fn simulate_budget(nodes: usize, seed: u64) -> Vec<Sent> {
    let mut budgets = vec![RetryBudget::new(settings(nodes)); nodes];
    simulate(nodes, seed, |node, now, is_failing| {
        budgets[node].note_call(now);
        is_failing && budgets[node].spend(now, false)
    })
}

#[rstest]
fn retries_of_a_fleet_stay_within_the_bound(
    #[values(1, 15, 95, 300)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    assert_eq!(excess(&simulate_budget(nodes, seed)), 0);
}

#[test]
fn naive_retries_exceed_the_bound() {
    let timeline = simulate(95, 1, |_, _, is_failing| is_failing);
    assert!(excess(&timeline) > 0);
}

/// Simulates retries limited to a ratio of successes, whose fixed number is split among sixteen
/// nodes whatever the fleet's size.
fn simulate_ratio(nodes: usize) -> Vec<Sent> {
    let settings = RatioSettings {
        per_thousand: BOUND_PER_THOUSAND / SPENT_DIVISOR,
        max_saved: BOUND_SLACK / 16,
    };
    let mut ratios = vec![RetryRatio::new(settings); nodes];
    simulate(nodes, 1, |node, _, is_failing| {
        if !is_failing {
            ratios[node].record_success();
        }
        is_failing && ratios[node].spend()
    })
}

/// Checks the load on which a ratio to successes fails: all backend servers of a service refuse over
/// half of their calls.
#[test]
fn budget_allows_more_retries_than_ratio_during_refusals() {
    let total = |timeline: &[Sent]| -> u64 { timeline.iter().map(|sent| sent.retries).sum() };
    let (with_budget, with_ratio) = (simulate_budget(15, 1), simulate_ratio(15));
    println!("{} {}", total(&with_budget), total(&with_ratio));
    assert!(total(&with_budget) > total(&with_ratio));
}

#[test]
fn nested_calls_leave_reserved_retries_to_requests() {
    let settings = BudgetSettings {
        slack_thousandths: 8_000,
        reserve_per_thousand: 250,
        ..BudgetSettings::default()
    };
    let mut budget = RetryBudget::new(settings);
    let now = ClockTime::from_ms(1_000);
    let nested = (0..20).filter(|_| budget.spend(now, true)).count();
    let top_level = (0..20).filter(|_| budget.spend(now, false)).count();
    assert_eq!((nested, top_level), (6, 2));
}

#[test]
fn spent_retries_are_available_again_after_a_window() {
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
