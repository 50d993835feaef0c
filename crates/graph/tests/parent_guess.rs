//! The running request that a call belongs to, guessed from the call's deadline.

use clock::ClockTime;
use lentilshift_graph::guess_parent;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

#[rstest]
#[case(&[500, 900], 900, Some(900))]
#[case(&[500, 900], 903, Some(900))]
#[case(&[500, 900], 897, Some(900))]
#[case(&[500, 900], 904, None)]
#[case(&[898, 900, 903], 901, Some(900))]
#[case(&[], 900, None)]
fn nearest_deadline_within_the_tolerance_is_chosen(
    #[case] running: &[u64],
    #[case] deadline: u64,
    #[case] expected: Option<u64>,
) {
    let running = running.iter().map(|ms| (*ms, at(*ms)));
    assert_eq!(guess_parent(running, at(deadline)), expected);
}

/// A service at its limit runs 75 requests at once, with deadlines within the next second. Most
/// calls must still be matched to the request that they serve.
#[test]
fn most_guesses_are_correct_at_a_full_backend_server() {
    let mut random = SmallRng::seed_from_u64(7);
    let mut correct = 0;
    for _ in 0..1_000 {
        let running: Vec<u64> = (0..75).map(|_| random.random_range(0..1_000)).collect();
        let parent = random.random_range(0..running.len());
        let deadline = running[parent] + random.random_range(0..=1);
        let calls = running
            .iter()
            .enumerate()
            .map(|(index, ms)| (index, at(*ms)));
        correct += usize::from(guess_parent(calls, at(deadline)) == Some(parent));
    }
    assert!(correct > 800, "{correct} of 1000");
}
