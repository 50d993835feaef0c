//! A data centre that is emptied at the operators' request, and filled again.

use std::collections::BTreeSet;

use clock::ClockTime;
use lentilshift_member::{CentreEvacuation, EvacuationChange};
use model::CentreName;

const LEARNED_AT: ClockTime = ClockTime::from_ms(50_000);

fn centres(names: &[&str]) -> BTreeSet<CentreName> {
    names.iter().map(|name| CentreName::new(*name)).collect()
}

fn change(centre: &str, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        centre: centre.into(),
        is_evacuated,
    }
}

#[test]
fn senders_leave_an_evacuated_centre_out_at_once() {
    let mut evacuation = CentreEvacuation::new("north".into());
    let changes = evacuation.update(LEARNED_AT, &centres(&["south"]));
    assert_eq!(changes, [change("south", true)]);
    assert!(!evacuation.is_open(&"south".into()));
    assert!(evacuation.is_open(&"north".into()));
    assert!(evacuation.accepts_calls(LEARNED_AT.plus_ms(60_000)));
}

#[test]
fn node_there_refuses_calls_after_a_moment_and_sends_none_later() {
    let mut evacuation = CentreEvacuation::new("north".into());
    evacuation.update(LEARNED_AT, &centres(&["north"]));
    assert!(evacuation.accepts_calls(LEARNED_AT.plus_ms(900)));
    assert!(!evacuation.accepts_calls(LEARNED_AT.plus_ms(1_000)));
    assert!(evacuation.may_send(LEARNED_AT.plus_ms(1_900)));
    assert!(!evacuation.may_send(LEARNED_AT.plus_ms(2_000)));
}

/// The set arrives again with each configuration and must not extend the time.
#[test]
fn repeated_set_extends_nothing() {
    let mut evacuation = CentreEvacuation::new("north".into());
    evacuation.update(LEARNED_AT, &centres(&["north"]));
    let changes = evacuation.update(LEARNED_AT.plus_ms(800), &centres(&["north", "south"]));
    assert_eq!(changes, [change("south", true)]);
    assert!(!evacuation.accepts_calls(LEARNED_AT.plus_ms(1_000)));
}

#[test]
fn ended_evacuation_opens_the_centre_again() {
    let mut evacuation = CentreEvacuation::new("north".into());
    evacuation.update(LEARNED_AT, &centres(&["north"]));
    let changes = evacuation.update(LEARNED_AT.plus_ms(9_000), &centres(&[]));
    assert_eq!(changes, [change("north", false)]);
    assert!(evacuation.is_open(&"north".into()));
    assert!(evacuation.accepts_calls(LEARNED_AT.plus_ms(9_000)));
    evacuation.update(LEARNED_AT.plus_ms(20_000), &centres(&["north"]));
    assert!(evacuation.accepts_calls(LEARNED_AT.plus_ms(20_500)));
}
