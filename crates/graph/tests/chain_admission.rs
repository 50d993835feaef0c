//! Admission over a whole chain, compared with simpler uses of the same reports.

use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use contract::FleetContract;
use lentilshift_graph::{
    AdmissionSettings, CallTarget, ChainAdmission, DependencyGraph, ThresholdReport,
};
use model::{
    CallImportance, RefusalReason, RequestId, ServiceName, ShedOrder, ShedThresholds, VmName,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// The longest time for which a threshold may apply after its last report, in milliseconds.
const MAX_DECAY_MS: u64 = 500;

const AMPLE_MS: u64 = 60_000;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn vm(index: usize) -> VmName {
    VmName::new(format!("vm-{index}"))
}

fn high() -> ShedOrder {
    ShedOrder::from_parts(CallImportance::High.into(), 0)
}

fn normal_order() -> ShedOrder {
    ShedOrder::new(CallImportance::Normal, RequestId::from_random(3))
}

fn report(service: &str, vm: VmName, threshold: ShedOrder) -> ThresholdReport {
    ThresholdReport {
        service: ServiceName::new(service),
        vm,
        thresholds: ShedThresholds {
            threshold,
            ..ShedThresholds::default()
        },
        age_ms: 0,
    }
}

fn refuses(admission: &ChainAdmission, now: ClockTime, target: &CallTarget) -> bool {
    let admitted = admission.admit(now, target, normal_order(), None, AMPLE_MS);
    admitted.is_err()
}

/// Reports from two VMs that they shed.
fn report_shedding(admission: &mut ChainAdmission, ms: u64, target: &CallTarget, service: &str) {
    for index in 0..2 {
        admission.observe_thresholds(at(ms), target, [report(service, vm(index), high())]);
    }
}

/// Records enough runs of `target` that each make the call `lower`.
fn record_usage(admission: &mut ChainAdmission, target: &CallTarget, lower: &CallTarget) {
    let used = BTreeSet::from([lower.clone()]);
    for _ in 0..AdmissionSettings::default().min_usage_runs {
        admission.observe_downstream_calls(target, &used);
    }
}

#[test]
fn less_important_request_is_refused_at_the_entry_and_a_more_important_one_is_not() {
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let target = CallTarget::new("registry", "look-up");
    report_shedding(&mut admission, 10, &target, "archive");
    let refusal = admission
        .admit(at(20), &target, normal_order(), None, AMPLE_MS)
        .unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    let text = "overloaded at service \"archive\", try again in 1000 ms";
    assert_eq!(refusal.to_string(), text);
    let critical = ShedOrder::new(CallImportance::Critical, RequestId::from_random(3));
    assert_eq!(
        admission.admit(at(20), &target, critical, None, AMPLE_MS),
        Ok(())
    );
}

#[test]
fn call_that_never_uses_a_shedding_service_is_admitted() {
    let text = "[services.archive]\n[services.registry]\ndepends_on = [\"archive\"]\n\
                [services.registry.calls]\nlook-up = { path = \"/l\" }\nhello = { path = \"/h\" }";
    let contract = FleetContract::parse("fleet.toml", text).unwrap();
    let graph = DependencyGraph::new(&contract);
    let thresholds = BTreeMap::from([(ServiceName::new("archive"), high())]);
    let naive = |service: &str| {
        let below = graph.reachable_below(service).into_iter();
        below.filter_map(|name| thresholds.get(name)).max().copied()
    };
    assert!(naive("registry").is_some_and(|threshold| normal_order() < threshold));

    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let look_up = CallTarget::new("registry", "look-up");
    let hello = CallTarget::new("registry", "hello");
    let read = CallTarget::new("archive", "any");
    record_usage(&mut admission, &look_up, &read);
    for _ in 0..20 {
        admission.observe_downstream_calls(&hello, &BTreeSet::new());
    }
    report_shedding(&mut admission, 10, &read, "archive");
    let sent = admission.threshold_reports(at(20), &look_up);
    assert_eq!(sent.len(), 2);
    assert!(
        sent.iter()
            .all(|report| report.thresholds.threshold == high())
    );
    assert_eq!(admission.threshold_reports(at(20), &hello), []);
}

#[rstest]
#[case::rarely(4, false)]
#[case::nearly_always(20, true)]
fn downstream_call_is_required_by_its_share_of_recent_runs(
    #[case] one_in: u32,
    #[case] is_avoided: bool,
) {
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let target = CallTarget::new("registry", "look-up");
    let lower = CallTarget::new("archive", "read");
    let used = BTreeSet::from([lower.clone()]);
    for run in 1..=100_u32 {
        let is_used = run.is_multiple_of(one_in) != is_avoided;
        let none = BTreeSet::new();
        admission.observe_downstream_calls(&target, if is_used { &used } else { &none });
    }
    report_shedding(&mut admission, 0, &lower, "archive");
    let sent = admission.threshold_reports(at(0), &target);
    assert_eq!(!sent.is_empty(), is_avoided);
}

/// Returns the time at which the top of a chain no longer sheds, after the lowest service stopped
/// reporting.
///
/// Answers are rare: each level forwards its reports just before they would expire.
fn decayed_after_ms(depth: usize, keeps_age: bool) -> u64 {
    const ANSWER_GAP_MS: u64 = 350;
    const STEP_MS: u64 = 5;
    let targets: Vec<_> = (0..=depth)
        .map(|level| CallTarget::new(ServiceName::new(format!("s{level}")), "c"))
        .collect();
    let mut levels = vec![ChainAdmission::new(AdmissionSettings::default()); depth + 1];
    for level in 1..=depth {
        record_usage(&mut levels[level], &targets[level], &targets[level - 1]);
    }
    report_shedding(&mut levels[1], 0, &targets[0], "s0");
    let mut now = at(0);
    let mut last_shed = now;
    for level in 1..depth {
        now = now.plus_ms(ANSWER_GAP_MS);
        let mut sent = levels[level].threshold_reports(now, &targets[level]);
        if sent.is_empty() {
            continue;
        }
        for report in &mut sent {
            report.age_ms = if keeps_age { report.age_ms } else { 0 };
        }
        levels[level + 1].observe_thresholds(now, &targets[level], sent);
        last_shed = now;
    }
    let top = levels.iter().enumerate().skip(1);
    let sheds = |now: ClockTime| {
        top.clone().any(|(level, admission)| {
            let background = ShedOrder::from_parts(CallImportance::Background.into(), 0);
            let admitted = admission.admit(now, &targets[level - 1], background, None, AMPLE_MS);
            admitted.is_err()
        })
    };
    while sheds(last_shed) {
        last_shed = last_shed.plus_ms(STEP_MS);
    }
    last_shed.as_ms()
}

#[test]
fn threshold_decays_within_half_a_second_at_any_depth() {
    let naive_ms = decayed_after_ms(11, false);
    assert!(
        naive_ms > MAX_DECAY_MS,
        "the naive chain took {naive_ms} ms"
    );
    for depth in [1, 4, 11, 16] {
        let decayed_ms = decayed_after_ms(depth, true);
        println!(
            "threshold gone after, depth {depth}: naive 11 deep={naive_ms} ms ours={decayed_ms} ms"
        );
        assert!(
            decayed_ms <= MAX_DECAY_MS,
            "{depth} deep took {decayed_ms} ms"
        );
    }
}

#[test]
fn entry_that_refuses_everything_admits_again_after_the_overload() {
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let target = CallTarget::new("registry", "look-up");
    let mut naive = ShedOrder::FIRST;
    for ms in 0..100 {
        report_shedding(&mut admission, ms, &target, "registry");
        naive = high();
    }
    assert!(
        normal_order() < naive,
        "without expiry the entry refuses forever"
    );
    assert!(
        admission
            .admit(at(100), &target, normal_order(), None, AMPLE_MS)
            .is_err()
    );
    let later = at(100 + MAX_DECAY_MS);
    assert_eq!(
        admission.admit(later, &target, normal_order(), None, AMPLE_MS),
        Ok(())
    );
}

/// Counts refusals of 10,000 calls to six VMs of which the first `bad` shed.
fn refusals(bad: usize, counts_last_only: bool, seed: u64) -> usize {
    const VMS: usize = 6;
    const GAP_MS: u64 = 5;
    let mut random = StdRng::seed_from_u64(seed);
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let target = CallTarget::new("registry", "look-up");
    let mut refused = 0;
    for call in 0..10_000 {
        let now = at(call * GAP_MS);
        if admission
            .admit(now, &target, normal_order(), None, AMPLE_MS)
            .is_err()
        {
            refused += 1;
            continue;
        }
        let chosen = random.random_range(0..VMS);
        let reported_index = if counts_last_only { 0 } else { chosen };
        let is_bad = chosen < bad;
        let threshold = if is_bad { high() } else { ShedOrder::FIRST };
        admission.observe_thresholds(
            now,
            &target,
            [report("registry", vm(reported_index), threshold)],
        );
    }
    refused
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn one_shedding_vm_does_not_close_its_service(#[case] seed: u64) {
    let naive = refusals(1, true, seed);
    let ours = refusals(1, false, seed);
    println!("one slow VM of six, refused of 10000: naive={naive} ours={ours}");
    assert!(naive > 5_000, "the naive entry refused {naive} of 10000");
    assert_eq!(ours, 0);
}

#[test]
fn reports_of_a_single_vm_count_after_the_threshold_lifetime() {
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let target = CallTarget::new("registry", "look-up");
    let mut refuses_after_report = |ms: u64| {
        admission.observe_thresholds(at(ms), &target, [report("registry", vm(1), high())]);
        refuses(&admission, at(ms), &target)
    };
    assert!(!refuses_after_report(0));
    assert!(!refuses_after_report(200));
    assert!(refuses_after_report(500));
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn service_that_sheds_on_all_vms_gets_few_calls(#[case] seed: u64) {
    let ours = refusals(6, false, seed);
    println!("six slow VMs of six, refused of 10000: ours={ours}");
    assert!(ours > 9_000, "refused {ours} of 10000");
}

#[test]
fn request_that_cannot_be_finished_in_time_is_refused_until_calls_are_fast_again() {
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let target = CallTarget::new("filings", "file");
    let mut random = StdRng::seed_from_u64(1);
    for call in 0..1_000 {
        let duration_ms = random.random_range(400..800);
        admission.observe_duration(at(call), &target, duration_ms);
    }
    let refusal = admission
        .admit(at(1_000), &target, normal_order(), None, 300)
        .unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert_eq!(
        admission.admit(at(1_000), &target, normal_order(), None, 500),
        Ok(())
    );
    assert_eq!(
        admission.admit(at(2_000), &target, normal_order(), None, 300),
        Ok(())
    );
    for call in 0..20 {
        admission.observe_duration(at(1_000 + call), &target, 10);
    }
    assert_eq!(
        admission.admit(at(1_020), &target, normal_order(), None, 300),
        Ok(())
    );
}

#[test]
fn few_durations_and_one_fast_answer_refuse_nobody_and_change_little() {
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let target = CallTarget::new("filings", "file");
    for call in 0..15 {
        admission.observe_duration(at(call), &target, 700);
    }
    assert_eq!(admission.min_time_ms(at(15), &target), 0);
    for call in 15..50 {
        admission.observe_duration(at(call), &target, 700);
    }
    admission.observe_duration(at(50), &target, 1);
    assert!((600..700).contains(&admission.min_time_ms(at(50), &target)));
}

#[test]
fn unfinished_call_counts_only_when_it_took_longer_than_the_minimum() {
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let target = CallTarget::new("filings", "file");
    for call in 0..50 {
        admission.observe_duration(at(call), &target, 100);
    }
    admission.observe_unfinished(at(50), &target, 20);
    assert_eq!(admission.min_time_ms(at(50), &target), 100);
    for call in 50..150 {
        admission.observe_unfinished(at(call), &target, 900);
    }
    assert!(admission.min_time_ms(at(150), &target) > 200);
}

#[test]
fn calls_absent_from_a_new_contract_are_removed() {
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let target = CallTarget::new("registry", "look-up");
    report_shedding(&mut admission, 0, &target, "registry");
    assert!(refuses(&admission, at(0), &target));
    let contract = FleetContract::parse("fleet.toml", "[services.registry]").unwrap();
    admission.retain_contract_calls(&contract);
    assert!(!refuses(&admission, at(0), &target));
}
