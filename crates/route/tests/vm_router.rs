//! The choice of VMs, compared with choosing one at random.

use clock::ClockTime;
use lentilshift_route::{LoadSample, RouteOutcome, RouteSettings, RouteTarget, VmRouter};
use model::VmName;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn vm(index: usize) -> VmName {
    VmName::new(format!("vm-{index}"))
}

fn target(centre: &str) -> RouteTarget {
    RouteTarget {
        centre: centre.into(),
        slots: 10,
    }
}

fn router(settings: RouteSettings, centres: &[&str]) -> VmRouter {
    let mut router = VmRouter::new(settings, "north".into());
    for (index, centre) in centres.iter().enumerate() {
        router.upsert(vm(index), target(centre));
    }
    router
}

/// Sends one request per millisecond from `from_ms` on, and counts those of each VM.
fn send(
    router: &mut VmRouter,
    from_ms: u64,
    latency_ms: impl Fn(&VmName) -> u64,
    sample: impl Fn(&VmName) -> LoadSample,
) -> Vec<usize> {
    let mut random = SmallRng::seed_from_u64(3);
    let mut counts = vec![0; 8];
    let mut running: Vec<(ClockTime, VmName)> = Vec::new();
    for time_ms in from_ms..from_ms + 6_000 {
        let now = ClockTime::from_ms(time_ms);
        for (_, name) in running.extract_if(.., |(end, _)| *end <= now) {
            let latency_ms = latency_ms(&name);
            let outcome = RouteOutcome::Succeeded { latency_ms };
            router.finish(now, &name, outcome, Some(sample(&name)));
        }
        router.tick(now);
        let name = router
            .choose(now, &mut random, &[])
            .expect("a VM is available");
        router.begin(now, &name);
        let index = (0..8)
            .find(|index| vm(*index) == name)
            .expect("the VM is known");
        counts[index] += 1;
        running.push((now.plus_ms(latency_ms(&name)), name));
    }
    counts
}

fn half_busy(_: &VmName) -> LoadSample {
    LoadSample {
        in_flight: 5,
        limit: 10,
        queued: 0,
        ..LoadSample::default()
    }
}

#[rstest]
fn slow_vm_gets_less_than_an_equal_share() {
    let centres = ["north"; 4];
    let latency = |name: &VmName| if *name == vm(0) { 40 } else { 8 };
    let naive = RouteSettings {
        compares_two: false,
        prefers_local: false,
        ..RouteSettings::default()
    };
    assert!(send(&mut router(naive, &centres), 10_000, latency, half_busy)[0] > 1_200);
    let ours = RouteSettings::default();
    assert!(send(&mut router(ours, &centres), 10_000, latency, half_busy)[0] < 700);
}

#[rstest]
fn vm_that_falsely_reports_idle_is_not_flooded() {
    let idle = LoadSample {
        in_flight: 0,
        limit: 100,
        queued: 0,
        ..LoadSample::default()
    };
    let busy = LoadSample {
        in_flight: 9,
        limit: 10,
        queued: 0,
        ..LoadSample::default()
    };
    let false_report = |name: &VmName| if *name == vm(0) { idle } else { busy };
    let mut router = router(RouteSettings::default(), &["south"; 4]);
    let counts = send(&mut router, 10_000, |_| 8, false_report);
    assert!(counts[0] < 6_000 / 4 * 2, "{counts:?}");
}

#[rstest]
fn local_vms_are_preferred_and_spill_over_when_busy() {
    let centres = ["north", "north", "south", "south"];
    let mut local = router(RouteSettings::default(), &centres);
    let counts = send(&mut local, 10_000, |_| 8, half_busy);
    assert_eq!(counts[2] + counts[3], 0);
    let full = LoadSample {
        in_flight: 10,
        limit: 10,
        queued: 4,
        ..LoadSample::default()
    };
    let is_local = |name: &VmName| *name == vm(0) || *name == vm(1);
    let sample = |name: &VmName| {
        if is_local(name) {
            full
        } else {
            half_busy(name)
        }
    };
    let counts = send(&mut local, 20_000, |_| 8, sample);
    assert!(counts[2] + counts[3] > 2_000, "{counts:?}");
}

#[rstest]
fn new_vm_with_a_cold_start_gets_less() {
    let mut router = router(RouteSettings::default(), &["north"; 3]);
    router.upsert(vm(3), target("north"));
    let latency_ms = |name: &VmName| if *name == vm(3) { 80 } else { 8 };
    let counts = send(&mut router, 10_000, latency_ms, half_busy);
    assert!(counts[3] < counts[0] / 2 && counts[3] > 0, "{counts:?}");
}

#[rstest]
fn leaving_removed_or_tried_vms_are_not_chosen() {
    let mut router = router(RouteSettings::default(), &["north"; 4]);
    let mut random = SmallRng::seed_from_u64(1);
    router.mark_leaving(&vm(0));
    router.remove(&vm(1));
    for _ in 0..100 {
        let chosen = router.choose(ClockTime::ZERO, &mut random, &[vm(2)]);
        assert_eq!(chosen, Some(vm(3)));
    }
    assert_eq!(
        router.choose(ClockTime::ZERO, &mut random, &[vm(2), vm(3)]),
        None
    );
}

#[rstest]
fn ejected_vm_is_readmitted() {
    let mut router = router(RouteSettings::default(), &["north"; 4]);
    for _ in 0..5 {
        router.begin(ClockTime::ZERO, &vm(0));
        router.finish(ClockTime::ZERO, &vm(0), RouteOutcome::Failed, None);
    }
    assert_eq!(router.available_count(), 3);
    router.tick(ClockTime::from_ms(1_000));
    assert_eq!(router.available_count(), 4);
}

/// Sends one request per millisecond to two VMs, of which the first always fails at once, and
/// counts the failures.
fn failures_of_two(settings: RouteSettings) -> usize {
    let mut router = router(settings, &["north"; 2]);
    let mut random = SmallRng::seed_from_u64(5);
    let mut failures = 0;
    for time_ms in 0..6_000 {
        let now = ClockTime::from_ms(time_ms);
        router.tick(now);
        let name = router
            .choose(now, &mut random, &[])
            .expect("one is available");
        router.begin(now, &name);
        let is_failed = name == vm(0);
        failures += usize::from(is_failed);
        let outcome = if is_failed {
            RouteOutcome::Failed
        } else {
            RouteOutcome::Succeeded { latency_ms: 5 }
        };
        router.finish(now, &name, outcome, None);
    }
    failures
}

#[rstest]
fn of_two_vms_the_failing_one_is_the_last_resort() {
    let naive = RouteSettings {
        ejects: false,
        ..RouteSettings::default()
    };
    let naive = failures_of_two(naive);
    assert!(naive > 1_000, "{naive}");
    let ours = failures_of_two(RouteSettings::default());
    assert!(ours < 20, "{ours}");
}

proptest! {
    #[test]
    fn most_of_a_service_stays_available(
        count in 1_usize..12,
        outcomes in prop::collection::vec((0_usize..12, any::<bool>()), 0..400),
    ) {
        let centres = vec!["north"; count];
        let mut router = router(RouteSettings::default(), &centres);
        for (time_ms, (index, is_failed)) in outcomes.into_iter().enumerate() {
            let now = ClockTime::from_ms(time_ms as u64);
            let outcome = if is_failed {
                RouteOutcome::Failed
            } else {
                RouteOutcome::Refused
            };
            router.finish(now, &vm(index % count), outcome, None);
            router.tick(now);
            prop_assert!(router.available_count() * 2 > count);
        }
    }
}

/// Every request for a VM at the rate that its backend server states was refused there once before
/// it went to another VM.
#[rstest]
fn vm_at_a_stated_rate_is_chosen_only_for_lack_of_others() {
    let mut router = router(RouteSettings::default(), &["north", "south"]);
    let mut random = SmallRng::seed_from_u64(1);
    let start = ClockTime::from_ms(10_000);
    router.begin(start, &vm(0));
    router.finish(start, &vm(0), RouteOutcome::Limited, None);
    let mut choose = |at_ms, tried: &[VmName]| {
        let now = ClockTime::from_ms(at_ms);
        let has_unlimited = router.has_unlimited(now, tried);
        (router.choose(now, &mut random, tried), has_unlimited)
    };
    for _ in 0..100 {
        assert_eq!(choose(10_100, &[]), (Some(vm(1)), true));
        assert_eq!(choose(10_100, &[vm(1)]), (Some(vm(0)), false));
    }
    let chosen = choose(11_000, &[]);
    assert_eq!(chosen, (Some(vm(0)), true), "the local one again");
}
