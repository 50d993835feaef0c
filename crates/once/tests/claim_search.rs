//! Searches all orders of calls and faults around a return of the log for a key that runs twice.

#[path = "support/claim_model.rs"]
mod claim_model;

use claim_model::{ClaimEvent, ClaimModel};
use rstest::rstest;
use search::{SearchLimits, SearchReport, search_states};

const MODEL: ClaimModel = ClaimModel {
    calls: 2,
    faults: 1,
    notices_return: true,
    guard_ms: 3_000,
};

fn search(model: &ClaimModel) -> SearchReport<ClaimEvent> {
    let limits = SearchLimits {
        max_states: usize::MAX,
        ..SearchLimits::default()
    };
    let report = search_states(model, limits);
    println!("{model:?}: {report}");
    report
}

// Guards against a key running twice: its claim was lost with the last records of the log.
#[rstest]
fn no_key_runs_twice_when_the_log_goes_back() {
    let report = search(&MODEL);
    assert_eq!(report.violation, None);
    assert!(report.is_exhausted);
}

// Shows that the search finds what goes wrong without the parts of the protocol.
#[rstest]
#[case::unnoticed_return(ClaimModel { notices_return: false, ..MODEL })]
#[case::no_guard(ClaimModel { guard_ms: 0, ..MODEL })]
fn missing_part_is_found(#[case] model: ClaimModel) {
    assert!(search(&model).violation.is_some());
}
