//! The trial on a small scale: the same arrivals, the naive node and ours.

use lentilshift_trial::{Firm, NodeKind, NodePolicy, Simulation, TrialScore, Workload};
use rstest::rstest;

fn score(workload: Workload, kind: NodeKind) -> TrialScore {
    Simulation::new(Firm::zuma(), workload, NodePolicy::new(kind), 1).run()
}

#[rstest]
fn the_naive_node_breaks_down_at_twice_capacity_and_ours_does_not() {
    let naive = score(Workload::Demand2, NodeKind::Naive);
    assert!(naive.goodput < 0.8 && naive.recovery_ms > Some(1_000));
    let ours = score(Workload::Demand2, NodeKind::Policy);
    assert!(ours.goodput >= 0.97 && ours.recovery_ms <= Some(1_000));
    assert_eq!(ours.critical_refused, 0);
}

#[rstest]
fn nothing_is_refused_while_there_is_capacity() {
    let ours = score(Workload::SteadyHalf, NodeKind::Policy);
    assert!(ours.goodput > 0.99 && ours.unnecessary_refusals == 0.0);
}

#[rstest]
fn the_same_seed_gives_the_same_score() {
    let first = score(Workload::SteadyHalf, NodeKind::Policy);
    assert_eq!(first, score(Workload::SteadyHalf, NodeKind::Policy));
}
