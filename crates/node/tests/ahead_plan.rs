//! Which requests of a connection may run before their turn.

use lentilshift_node::RequestTurn::{Alone, Last, Parallel};
use lentilshift_node::{AheadPlan, RequestTurn};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// The requests of a connection that were sent at once, and how many of them run before the first
/// one is answered.
#[rstest]
#[case::reads(&[Parallel; 6], 8, 6)]
#[case::bound(&[Parallel; 6], 4, 4)]
#[case::bound_of_one(&[Parallel; 3], 1, 1)]
#[case::write_first(&[Alone, Parallel, Parallel], 8, 1)]
#[case::write_behind(&[Parallel, Alone, Parallel], 8, 1)]
#[case::write_in_the_middle(&[Parallel, Parallel, Alone, Parallel], 8, 2)]
#[case::close_first(&[Last, Parallel], 8, 1)]
#[case::close_in_the_middle(&[Parallel, Last, Parallel], 8, 2)]
#[case::close_before_a_write(&[Parallel, Last, Alone], 8, 2)]
fn bounds_and_barriers_hold(
    #[case] turns: &[RequestTurn],
    #[case] max_requests: usize,
    #[case] expected: usize,
) {
    let mut plan = AheadPlan::new(max_requests);
    plan.begin(turns[0]);
    assert_eq!(1 + start_all(&mut plan, &turns[1..]), expected);
}

/// Starts the next requests as long as the plan lets them, and returns how many were started.
fn start_all(plan: &mut AheadPlan, turns: &[RequestTurn]) -> usize {
    for (count, turn) in turns.iter().enumerate() {
        if !plan.may_start(*turn) {
            return count;
        }
        plan.start(*turn);
    }
    turns.len()
}

#[test]
fn nothing_runs_behind_a_write_before_it_is_answered() {
    let mut plan = AheadPlan::new(8);
    plan.begin(Parallel);
    assert!(!plan.may_start(Alone));
    plan.end();
    plan.begin(Alone);
    assert!(!plan.may_start(Parallel) && !plan.has_room());
    plan.end();
    plan.begin(Parallel);
    assert!(plan.may_start(Parallel));
}

#[test]
fn the_end_of_a_request_makes_room_for_one() {
    let mut plan = AheadPlan::new(2);
    plan.begin(Parallel);
    plan.start(Parallel);
    assert!(!plan.may_start(Parallel));
    plan.end();
    assert!(plan.may_start(Parallel));
    plan.start(Parallel);
    assert!(!plan.may_start(Parallel));
}

#[test]
fn nothing_starts_behind_an_answer_that_closes() {
    let mut plan = AheadPlan::new(8);
    plan.begin(Parallel);
    plan.close();
    assert!(!plan.may_start(Parallel));
    plan.end();
    plan.begin(Parallel);
    assert!(!plan.may_start(Parallel));
}

#[test]
fn an_idle_connection_starts_nothing_ahead() {
    let plan = AheadPlan::new(8);
    assert!(!plan.may_start(Parallel));
}

/// A connection in the replay: its requests in order, and how far each has come.
struct ReplayedConnection {
    plan: AheadPlan,
    turns: Vec<RequestTurn>,
    /// The number of requests that were passed on; they are the first ones.
    started: usize,
    /// The number of requests that were answered; they are the first ones.
    answered: usize,
}

impl ReplayedConnection {
    /// Passes on what may be passed on, as a connection does.
    fn advance(&mut self) {
        if self.started == self.answered && self.started < self.turns.len() {
            self.plan.begin(self.turns[self.started]);
            self.started += 1;
        }
        while self.started < self.turns.len() && self.plan.may_start(self.turns[self.started]) {
            self.plan.start(self.turns[self.started]);
            self.started += 1;
        }
    }

    fn open(&self) -> &[RequestTurn] {
        &self.turns[self.answered..self.started]
    }
}

/// Replays random connections whose answers end at random times.
#[test]
fn bounds_and_barriers_hold_on_random_connections() {
    for seed in 0..2_000 {
        let mut random = SmallRng::seed_from_u64(seed);
        let max_requests = random.random_range(1..=9);
        let length = random.random_range(1..=30);
        let mut connection = ReplayedConnection {
            plan: AheadPlan::new(max_requests),
            turns: (0..length).map(|_| random_turn(&mut random)).collect(),
            started: 0,
            answered: 0,
        };
        let last = connection.turns.iter().position(|turn| *turn == Last);
        let end = last.map_or(length, |last| last + 1);
        while connection.answered < end {
            connection.advance();
            let open = connection.open();
            assert!((1..=max_requests).contains(&open.len()), "seed {seed}");
            assert!(open.len() == 1 || !open.contains(&Alone), "seed {seed}");
            assert!(connection.started <= end, "seed {seed}");
            for _ in 0..random.random_range(1..=open.len()) {
                connection.plan.end();
                connection.answered += 1;
            }
        }
    }
}

fn random_turn(random: &mut SmallRng) -> RequestTurn {
    match random.random_range(0..20) {
        0..=3 => Alone,
        4 => Last,
        _ => Parallel,
    }
}
