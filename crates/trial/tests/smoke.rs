//! Compares the policy with the naive node in a few short simulations.

use lentilshift_trial::{Firm, NodeKind, NodePolicy, Simulation, TrialScore, Workload};
use rstest::rstest;

fn run(workload: Workload, kind: NodeKind) -> TrialScore {
    Simulation::new(Firm::zuma(), workload, NodePolicy::new(kind), 1).run()
}

#[rstest]
fn policy_sustains_twice_capacity_where_the_naive_node_breaks_down() {
    let naive = run(Workload::Demand2, NodeKind::Naive);
    assert!(naive.goodput < 0.8 && naive.recovery_ms > Some(1_000));
    let policy = run(Workload::Demand2, NodeKind::Policy);
    assert!(policy.goodput >= 0.97 && policy.recovery_ms <= Some(1_000));
    assert_eq!(policy.critical_refused, 0);
}

#[rstest]
fn policy_refuses_nothing_below_capacity() {
    let score = run(Workload::SteadyHalf, NodeKind::Policy);
    assert!(score.goodput > 0.99 && score.unnecessary_refusals == 0.0);
}

#[rstest]
fn same_seed_gives_the_same_score() {
    let first = run(Workload::SteadyHalf, NodeKind::Policy);
    assert_eq!(first, run(Workload::SteadyHalf, NodeKind::Policy));
}
