//! Searches all orders of faults, up to `LENTILSHIFT_FAULTS` or else one of them, for two allocators of one share, for
//! excess over a team's rate, and for a loss after which nobody grants tokens any more.

mod support;

use rstest::rstest;
use search::{SearchLimits, SearchReport, SearchViolation, search_states};
use support::lease_model::{LeaseEvent, LeaseModel, LeaseProperty};

fn search(model: &LeaseModel) -> SearchReport<LeaseEvent> {
    let limits = SearchLimits {
        max_states: usize::MAX,
        ..SearchLimits::default()
    };
    let report = search_states(model, limits);
    println!("{} nodes, {} faults: {report}", model.nodes, model.faults);
    report
}

fn violation(nodes: usize, property: LeaseProperty) -> Option<SearchViolation<LeaseEvent>> {
    let model = LeaseModel {
        nodes,
        faults: support::number_from_env("LENTILSHIFT_FAULTS", 1),
        property,
        ..LeaseModel::default()
    };
    search(&model).violation
}

// Guards against a holder that still grants after another node has taken over.
#[rstest]
#[case::two_nodes(2)]
#[case::three_nodes(3)]
#[case::four_nodes(4)]
fn no_fault_lets_two_nodes_grant(#[case] nodes: usize) {
    assert_eq!(violation(nodes, LeaseProperty::OneAllocator), None);
}

// Guards against tokens that are granted again though they may have been spent.
#[rstest]
#[case::two_nodes(2)]
#[case::three_nodes(3)]
#[case::four_nodes(4)]
fn no_fault_exceeds_the_rate(#[case] nodes: usize) {
    assert_eq!(violation(nodes, LeaseProperty::WithinRate), None);
}

// Guards against a holder that waits for the promise of a node that is lost for good.
#[rstest]
#[case::two_nodes(2)]
#[case::three_nodes(3)]
#[case::four_nodes(4)]
fn tokens_are_granted_again_after_any_fault(#[case] nodes: usize) {
    assert_eq!(violation(nodes, LeaseProperty::GrantsResume), None);
}

// Shows that the search finds violations: the holder's clock is so slow that another node takes the
// lease over while the holder counts on its promise, and the fast one refills buckets too early.
#[rstest]
#[case(LeaseProperty::OneAllocator)]
#[case(LeaseProperty::WithinRate)]
fn clock_beyond_the_allowed_drift_is_found(#[case] property: LeaseProperty) {
    let model = LeaseModel {
        drift_ppm: 700_000,
        property,
        ..LeaseModel::default()
    };
    assert!(search(&model).violation.is_some());
}
