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

/// A model in which the log goes back, beside other faults only for what mustn't be granted: that
/// grants don't resume after the loss of a successor shows without a return of the log.
fn returning(nodes: usize, property: LeaseProperty) -> LeaseModel {
    let is_about_grants_again = matches!(
        property,
        LeaseProperty::GrantsResume | LeaseProperty::GrantsGoOn
    );
    let faults = if is_about_grants_again {
        0
    } else {
        support::number_from_env("LENTILSHIFT_FAULTS", 1)
    };
    LeaseModel {
        nodes,
        faults,
        property,
        returns: 1,
        ..LeaseModel::default()
    }
}

// Guards against tokens that are granted twice, or never again, after the log has come back without
// its last records, with another fault before or after that.
#[rstest]
#[case::one_allocator(2, LeaseProperty::OneAllocator)]
#[case::one_allocator_of_three(3, LeaseProperty::OneAllocator)]
#[case::within_rate(2, LeaseProperty::WithinRate)]
#[case::within_rate_of_three(3, LeaseProperty::WithinRate)]
#[case::grants_resume(2, LeaseProperty::GrantsResume)]
#[case::grants_resume_of_three(3, LeaseProperty::GrantsResume)]
#[case::grants_go_on(2, LeaseProperty::GrantsGoOn)]
#[case::grants_go_on_of_three(3, LeaseProperty::GrantsGoOn)]
fn log_that_goes_back_grants_nothing_twice(#[case] nodes: usize, #[case] property: LeaseProperty) {
    let report = search(&returning(nodes, property));
    assert_eq!(report.violation, None);
    assert!(report.is_exhausted);
}

// Shows that the search finds what goes wrong when nodes don't notice that the log has gone back.
#[rstest]
#[case::one_allocator(LeaseProperty::OneAllocator)]
#[case::within_rate(LeaseProperty::WithinRate)]
fn unnoticed_return_of_the_log_is_found(#[case] property: LeaseProperty) {
    let model = LeaseModel {
        notices_return: false,
        ..returning(2, property)
    };
    assert!(search(&model).violation.is_some());
}
