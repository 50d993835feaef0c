//! Thresholds stored by service, compared with thresholds stored by call.

use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use lentilshift_graph::{AdmissionSettings, CallTarget, ChainAdmission, ThresholdReport};
use model::{
    CallImportance, RefusalReason, ShedClass, ShedOrder, ShedThresholds, TeamName, TeamThreshold,
    VmName,
};
use rstest::rstest;

const LOW: ShedOrder = ShedOrder::from_parts(
    ShedClass::new(CallImportance::Background, CallImportance::Background),
    9,
);
const HIGH: ShedOrder = ShedOrder::from_parts(
    ShedClass::new(CallImportance::High, CallImportance::High),
    0,
);

fn report(vm: &str, team: &str, threshold: ShedOrder, age_ms: u32) -> ThresholdReport {
    let team_threshold = TeamThreshold {
        team: Some(TeamName::new(team)),
        threshold,
    };
    ThresholdReport {
        service: "archive".into(),
        vm: VmName::new(vm),
        thresholds: ShedThresholds {
            threshold: ShedOrder::FIRST,
            over_share: vec![team_threshold],
        },
        age_ms,
    }
}

fn admits(admission: &ChainAdmission, now_ms: u64, target: &CallTarget, team: &str) -> bool {
    let team = TeamName::new(team);
    let now = ClockTime::from_ms(now_ms);
    match admission.admit(now, target, LOW, Some(&team), 10_000) {
        Ok(()) => true,
        Err(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::Overloaded);
            false
        }
    }
}

#[rstest]
fn call_that_is_never_admitted_keeps_its_thresholds() {
    let (rare, common) = (CallTarget::new("front", "a"), CallTarget::new("front", "b"));
    let mut ours = ChainAdmission::new(AdmissionSettings::default());
    let mut naive = BTreeMap::from([(rare.clone(), 0)]);
    ours.observe_thresholds(ClockTime::ZERO, &rare, [report("vm-1", "x", HIGH, 0)]);
    for now_ms in (0..2_000).step_by(50) {
        let now = ClockTime::from_ms(now_ms);
        naive.insert(common.clone(), now_ms);
        ours.observe_thresholds(now, &common, [report("vm-1", "x", HIGH, 0)]);
    }
    let lifetime_ms = AdmissionSettings::default().threshold_lifetime_ms();
    let naive_refuses = |target| 2_000 - naive[target] < lifetime_ms;
    assert!(naive_refuses(&common) && !naive_refuses(&rare));
    assert!(!admits(&ours, 2_000, &rare, "x"));
}

#[rstest]
fn only_the_team_over_its_share_is_refused() {
    let target = CallTarget::new("front", "a");
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    admission.observe_thresholds(ClockTime::ZERO, &target, [report("vm-1", "x", HIGH, 0)]);
    assert!(!admits(&admission, 10, &target, "x"));
    assert!(admits(&admission, 10, &target, "y"));
}

#[rstest]
#[case::fresh(200, false)]
#[case::expired(1_001, true)]
fn thresholds_expire_by_the_time_they_were_set(#[case] now_ms: u64, #[case] is_admitted: bool) {
    let target = CallTarget::new("front", "a");
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    admission.observe_thresholds(ClockTime::ZERO, &target, [report("vm-1", "x", HIGH, 0)]);
    assert_eq!(admits(&admission, now_ms, &target, "x"), is_admitted);
}

#[rstest]
fn older_report_does_not_replace_a_newer_one() {
    let target = CallTarget::new("front", "a");
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let now = ClockTime::from_ms(5_000);
    admission.observe_thresholds(now, &target, [report("vm-1", "x", HIGH, 0)]);
    admission.observe_thresholds(now, &target, [report("vm-1", "x", ShedOrder::FIRST, 200)]);
    assert!(!admits(&admission, 5_000, &target, "x"));
}

#[rstest]
fn reports_are_forwarded_with_their_age_until_shedding_has_ended() {
    let (front, below) = (CallTarget::new("front", "a"), CallTarget::new("mid", "b"));
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    for _ in 0..20 {
        admission.observe_downstream_calls(&front, &BTreeSet::from([below.clone()]));
    }
    admission.observe_thresholds(ClockTime::ZERO, &below, [report("vm-1", "x", HIGH, 40)]);
    let sent = admission.threshold_reports(ClockTime::from_ms(60), &front);
    assert_eq!(
        sent.iter().map(|report| report.age_ms).collect::<Vec<_>>(),
        [60]
    );
    let open = ThresholdReport {
        thresholds: ShedThresholds::default(),
        ..report("vm-1", "x", HIGH, 0)
    };
    admission.observe_thresholds(ClockTime::from_ms(90), &below, [open]);
    let sent = admission.threshold_reports(ClockTime::from_ms(100), &front);
    assert!(sent.len() == 1 && sent[0].thresholds.is_open());
    let later = ClockTime::from_ms(60 + AdmissionSettings::default().threshold_lifetime_ms());
    let open = ThresholdReport {
        thresholds: ShedThresholds::default(),
        ..report("vm-1", "x", HIGH, 0)
    };
    admission.observe_thresholds(later, &below, [open]);
    assert!(admission.threshold_reports(later, &front).is_empty());
}
