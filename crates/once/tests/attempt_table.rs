//! Compares the attempt table's answers to senders' queries with the attempts that run.

use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use lentilshift_once::{AttemptArrival, AttemptSettings, AttemptState, AttemptTable, TableMark};
use model::AttemptId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(TableMark),
    Query(TableMark),
    Finish,
    Restart,
}

const SETTINGS: AttemptSettings = AttemptSettings {
    retention_ms: 300,
    max_attempts: 20,
    answer_bytes: 1_000,
};

#[derive(Debug, Default)]
struct Outcome {
    false_not_run: usize,
    not_seen: usize,
    unknown: usize,
    stale: usize,
}

/// Runs attempts that arrive late or never, and senders that query them in the meantime.
///
/// With `is_naive`, the marks and restarts of the node are ignored.
fn run(seed: u64, is_naive: bool) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut table = AttemptTable::new(SETTINGS, ClockTime::ZERO, 1);
    let mut events = BTreeMap::new();
    let mut order = 0_u64;
    for restart in 0..2_u64 {
        let at = random.random_range(1_000..9_000);
        events.insert((at, restart), (AttemptId::from_random(0), Event::Restart));
    }
    let mut restarts: Vec<u64> = events.keys().map(|(time, _)| *time).collect();
    restarts.sort_unstable();
    for _ in 0..200 {
        let attempt = AttemptId::from_random(random.random());
        let sent = random.random_range(0..10_000);
        let mark_time = sent - random.random_range(0..=sent.min(50));
        let incarnation = 1 + restarts.iter().filter(|time| **time <= mark_time).count() as u64;
        let mark = TableMark {
            incarnation,
            time: ClockTime::from_ms(mark_time),
        };
        for (most_ms, event) in [(900, Event::Arrival(mark)), (900, Event::Query(mark))] {
            order += 1;
            let at = sent + random.random_range(1..most_ms);
            events.insert((at, 10 + order), (attempt, event));
        }
    }
    let mut outcome = Outcome::default();
    let mut reported_not_run = BTreeSet::new();
    let mut ran = BTreeSet::new();
    while let Some(((time, _), (attempt, event))) = events.pop_first() {
        let now = ClockTime::from_ms(time);
        let fresh = table.mark(now);
        match event {
            Event::Restart => {
                let next = if is_naive { 1 } else { fresh.incarnation + 1 };
                table = AttemptTable::new(SETTINGS, now, next);
            }
            Event::Arrival(mark) => {
                let mark = if is_naive { fresh } else { mark };
                match table.on_arrival(now, attempt, mark) {
                    AttemptArrival::Accept => {
                        ran.insert(attempt);
                        order += 1;
                        let end = time + random.random_range(1..200);
                        events.insert((end, 10 + order), (attempt, Event::Finish));
                    }
                    AttemptArrival::Stale => outcome.stale += 1,
                    _ => {}
                }
            }
            Event::Query(mark) => {
                let mark = if is_naive { fresh } else { mark };
                match table.query(now, attempt, mark) {
                    AttemptState::NotSeen => {
                        outcome.not_seen += 1;
                        reported_not_run.insert(attempt);
                    }
                    AttemptState::Unknown => outcome.unknown += 1,
                    _ => {}
                }
            }
            Event::Finish => table.finish(now, attempt, None),
        }
        assert!(table.len() <= SETTINGS.max_attempts);
    }
    outcome.false_not_run = reported_not_run.intersection(&ran).count();
    outcome
}

fn seed_count() -> u64 {
    let count = std::env::var("LENTILSHIFT_SEEDS").ok();
    count.and_then(|count| count.parse().ok()).unwrap_or(200)
}

#[test]
fn not_seen_is_true_of_every_attempt() {
    let mut total = Outcome::default();
    let mut naive_false = 0;
    for seed in 0..seed_count() {
        let outcome = run(seed, false);
        assert_eq!(outcome.false_not_run, 0, "seed {seed}");
        total.not_seen += outcome.not_seen;
        total.unknown += outcome.unknown;
        total.stale += outcome.stale;
        naive_false += run(seed, true).false_not_run;
    }
    println!("ours={total:?} naive_false_not_run={naive_false}");
    assert!(total.not_seen > 0);
    assert!(naive_false > 0, "the naive table must fail");
}

#[rstest]
#[case::arrives_first(true, AttemptState::Running, AttemptArrival::Accept)]
#[case::asked_first(false, AttemptState::NotSeen, AttemptArrival::ReportedNotSeen)]
fn whichever_comes_first_decides(
    #[case] arrives_first: bool,
    #[case] state: AttemptState,
    #[case] arrival: AttemptArrival,
) {
    let now = ClockTime::from_ms(5);
    let mut table = AttemptTable::new(SETTINGS, ClockTime::ZERO, 1);
    let attempt = AttemptId::from_random(1);
    let mark = table.mark(now);
    if arrives_first {
        assert_eq!(table.on_arrival(now, attempt, mark), arrival);
        assert_eq!(table.query(now, attempt, mark), state);
    } else {
        assert_eq!(table.query(now, attempt, mark), state);
        assert_eq!(table.on_arrival(now, attempt, mark), arrival);
    }
}
