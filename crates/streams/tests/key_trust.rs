//! Which reports count as an outage of the log.

use std::collections::BTreeMap;

use clock::ClockTime;
use lentilshift_streams::{CentreOutage, KeyTrust, TrustSettings, TrustState, UpdateTime};
use model::CentreName;
use rstest::rstest;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// Creates a node whose own reads fail, in a fleet with one other data centre of `other_readers`
/// readers.
fn failing_node(other_readers: usize) -> KeyTrust {
    let (own, other) = (CentreName::new("dc-a"), CentreName::new("dc-b"));
    let mut trust = KeyTrust::new("vm-a".into(), own.clone(), TrustSettings::default());
    trust.set_members(BTreeMap::from([(own, 1), (other, other_readers)]), true);
    for second in 0..=6 {
        trust.on_read_start(at(second * 1_000));
        trust.on_read_end(at(second * 1_000 + 25), at(second * 1_000), false);
    }
    trust
}

fn failure_of(vm: &str) -> CentreOutage {
    CentreOutage {
        centre: CentreName::new("dc-b"),
        vm: vm.into(),
        age_ms: 100,
    }
}

/// Where several nodes of a data centre read the log, a report by one of them may only mean that
/// this node is partitioned.
#[rstest]
#[case::its_only_reader(1, &["vm-b"], TrustState::Outage)]
#[case::one_of_three(3, &["vm-b"], TrustState::Stale)]
#[case::one_of_three_twice(3, &["vm-b", "vm-b"], TrustState::Stale)]
#[case::two_of_three(3, &["vm-b", "vm-c"], TrustState::Outage)]
#[case::none(1, &[], TrustState::Stale)]
fn single_report_is_no_outage_where_several_nodes_read(
    #[case] readers: usize,
    #[case] reporters: &[&str],
    #[case] state: TrustState,
) {
    let mut trust = failing_node(readers);
    let outages: Vec<_> = reporters.iter().map(|vm| failure_of(vm)).collect();
    trust.on_outages(at(6_025), &outages);
    assert_eq!(trust.state(at(6_100), Some(UpdateTime::at(at(0)))), state);
}

/// A read that was in flight while the process was paused is no evidence about the log.
#[rstest]
#[case::before_it_ends(None)]
#[case::it_timed_out(Some(false))]
#[case::its_answer_was_waiting(Some(true))]
fn paused_node_reports_no_outage(#[case] end: Option<bool>) {
    let mut trust = KeyTrust::new("vm-a".into(), "dc-a".into(), TrustSettings::default());
    let fresh_at = Some(UpdateTime::at(at(9_900)));
    trust.on_read_start(at(10_000));
    if let Some(is_success) = end {
        trust.on_read_end(at(14_000), at(10_000), is_success);
    }
    assert_eq!(trust.outages(at(14_000), fresh_at), Vec::new());
    trust.on_read_start(at(14_025));
    trust.on_running(at(15_000));
    trust.on_read_end(at(15_600), at(14_025), false);
    assert_eq!(
        trust
            .outages(at(15_600), Some(UpdateTime::at(at(14_000))))
            .len(),
        1
    );
}
