//! The choice of VMs by free room and measured speed, and the news that it rests on.

use clock::ClockTime;
use lentilshift_route::{
    LoadSample, RoomRule, RoomSettings, RouteCall, RouteOutcome, RouteSettings, RouteTarget,
    VmRouter,
};
use model::{CallName, LoadNews, VmName};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const START: ClockTime = ClockTime::from_ms(10_000);

fn vm(index: usize) -> VmName {
    VmName::new(format!("vm-{index}"))
}

/// Returns a router in the data centre north with VMs in these data centres.
fn router(centres: &[&str]) -> VmRouter {
    let mut router = VmRouter::new(RouteSettings::default(), "north".into());
    for (index, centre) in centres.iter().enumerate() {
        let target = RouteTarget {
            centre: (*centre).into(),
            slots: 10,
        };
        router.upsert(vm(index), target);
    }
    router
}

fn sample(in_flight: u32, slowness: u16) -> LoadSample {
    LoadSample {
        in_flight,
        limit: 10,
        queued: 0,
        slowness,
    }
}

/// Lets a VM report this load with an answer.
fn report(router: &mut VmRouter, now: ClockTime, index: usize, sample: LoadSample) {
    let outcome = RouteOutcome::Succeeded { latency_ms: 20 };
    router.begin(now.minus_ms(20), &vm(index));
    router.finish(now, &vm(index), outcome, Some(sample));
}

/// Chooses as often, without sending, and counts the choices of each VM.
fn choices(router: &mut VmRouter, now: ClockTime, call: RouteCall) -> Vec<usize> {
    let mut random = SmallRng::seed_from_u64(7);
    let mut counts = vec![0; 8];
    for _ in 0..400 {
        let name = router.choose_for(now, &mut random, &[], call);
        let name = name.expect("a VM is available");
        counts[(0..8).find(|index| vm(*index) == name).unwrap()] += 1;
    }
    counts
}

/// Deployments whose backend servers state three figures are served as before.
#[rstest]
fn room_counts_only_once_slowness_is_stated() {
    let mut router = router(&["north"; 3]);
    report(&mut router, START, 0, sample(10, 0));
    assert!(!router.compares_room());
    assert!(router.news(START, &vm(1), 4).is_empty());
    assert_eq!(router.news_count(&vm(1), 100_000), 0);
    assert!(!router.has_room_beside(START, &vm(0), &[], RouteCall::default()));
    report(&mut router, START, 0, sample(10, 100));
    assert!(router.compares_room());
    let settings = RouteSettings {
        room: RoomSettings {
            rule: RoomRule::Never,
            ..RoomSettings::default()
        },
        ..RouteSettings::default()
    };
    let mut never = VmRouter::new(settings, "north".into());
    let target = RouteTarget {
        centre: "north".into(),
        slots: 10,
    };
    never.upsert(vm(0), target);
    report(&mut never, START, 0, sample(10, 100));
    assert!(!never.compares_room());
}

#[rstest]
fn full_and_slow_vms_are_avoided_while_the_figures_are_fresh() {
    let mut router = router(&["north"; 4]);
    for (index, sample) in [
        sample(10, 100),
        sample(2, 250),
        sample(2, 100),
        sample(2, 100),
    ]
    .into_iter()
    .enumerate()
    {
        report(&mut router, START, index, sample);
    }
    let counts = choices(&mut router, START.plus_ms(5), RouteCall::default());
    assert_eq!(counts[0] + counts[1], 0, "{counts:?}");
    let counts = choices(&mut router, START.plus_ms(10_000), RouteCall::default());
    assert!(counts[..4].iter().all(|count| *count > 20), "{counts:?}");
}

/// Callers that hear of one free VM at the same moment sent it all that they had.
#[rstest]
fn own_sends_since_the_figures_count() {
    let mut router = router(&["north"; 4]);
    for index in 0..4 {
        report(
            &mut router,
            START,
            index,
            sample(if index == 0 { 0 } else { 5 }, 100),
        );
    }
    let mut random = SmallRng::seed_from_u64(1);
    let mut counts = [0; 4];
    for _ in 0..24 {
        let now = START.plus_ms(2);
        let name = router.choose(now, &mut random, &[]).expect("available");
        router.begin(now, &name);
        counts[(0..4).find(|index| vm(*index) == name).unwrap()] += 1;
    }
    assert!(counts[0] >= 7 && counts[0] <= 12, "{counts:?}");
    assert!(counts[1..].iter().all(|count| *count >= 3), "{counts:?}");
}

#[rstest]
fn slower_server_gets_less_by_run_times_of_each_kind() {
    let mut router = router(&["north"; 3]);
    for index in 0..3 {
        report(&mut router, START, index, sample(5, 100));
    }
    let (long, short) = (CallName::new("long"), CallName::new("short"));
    for _ in 0..60 {
        for index in 0..3 {
            let factor = if index == 0 { 27 } else { 10 };
            // The slow VM gets short calls only, so that its mean latency looks best.
            router.record_run(&vm(index), &short, 2 * factor, 100);
            if index > 0 {
                router.record_run(&vm(index), &long, 31 * factor, 100);
            }
        }
    }
    let counts = choices(&mut router, START.plus_ms(5), RouteCall::default());
    assert_eq!(counts[0], 0, "{counts:?}");
}

#[rstest]
fn other_data_centre_is_used_only_without_room_and_later_for_large_bodies() {
    let centres = ["north", "north", "south", "south"];
    let counts_at = |busy: u32, bytes: u64| {
        let mut router = router(&centres);
        for index in 0..4 {
            let busy = if index < 2 { busy } else { 2 };
            let limit_100 = LoadSample {
                in_flight: busy * 10,
                limit: 100,
                queued: 0,
                slowness: 100,
            };
            report(&mut router, START, index, limit_100);
        }
        let call = RouteCall {
            call: None,
            body_bytes: bytes,
        };
        choices(&mut router, START.plus_ms(1), call)
    };
    assert_eq!(counts_at(9, 100)[2..4], [0, 0]);
    let counts = counts_at(10, 100);
    assert_eq!(counts[..2], [0, 0], "small bodies: {counts:?}");
    assert_eq!(counts_at(10, 100_000)[2..4], [0, 0]);
    let counts = counts_at(11, 100_000);
    assert_eq!(counts[..2], [0, 0], "large bodies: {counts:?}");
}

/// A call that finds its VM full is sent on only if its sender knows of room elsewhere, so that
/// calls don't wander between full VMs.
#[rstest]
fn call_may_move_only_with_fresh_room_elsewhere() {
    let mut router = router(&["north"; 3]);
    let small = RouteCall::default();
    for index in 0..3 {
        report(&mut router, START, index, sample(10, 100));
    }
    let now = START.plus_ms(1);
    assert!(!router.has_room_beside(now, &vm(0), &[], small));
    report(&mut router, now, 2, sample(4, 100));
    let now = now.plus_ms(1);
    assert!(router.has_room_beside(now, &vm(0), &[], small));
    assert!(!router.has_room_beside(now, &vm(0), &[vm(2)], small));
    assert!(!router.has_room_beside(now, &vm(2), &[], small));
    assert!(!router.has_room_beside(now.plus_ms(1_000), &vm(0), &[], small));
    let large = RouteCall {
        call: None,
        body_bytes: 60_000,
    };
    assert!(!router.has_room_beside(now, &vm(0), &[], large));
    router.mark_leaving(&vm(2));
    assert!(!router.has_room_beside(now, &vm(0), &[], small));
}

#[rstest]
fn news_spreads_with_its_age_and_the_newest_counts() {
    let (mut first, mut second) = (router(&["north"; 4]), router(&["north"; 4]));
    report(&mut first, START, 0, sample(10, 100));
    report(&mut first, START.plus_ms(30), 1, sample(3, 250));
    let news = first.news(START.plus_ms(50), &vm(3), 4);
    assert_eq!(news.len(), 2);
    assert_eq!(news[0].vm, LoadNews::digest_of(&vm(1)), "the newest first");
    assert_eq!(first.news(START.plus_ms(50), &vm(1), 4).len(), 1);
    assert_eq!(first.news(START.plus_ms(50), &vm(3), 1).len(), 1);
    // The clocks of two nodes have nothing to do with each other.
    let other = ClockTime::from_ms(77);
    second.record_news(other, &news);
    assert!(second.compares_room());
    let passed_on = second.news(other.plus_ms(10), &vm(3), 4);
    assert_eq!(passed_on[0].slowness, 250);
    assert!(passed_on[0].age_ms >= news[0].age_ms + 10, "ages add up");
    report(&mut second, other.plus_ms(10), 1, sample(9, 100));
    second.record_news(other.plus_ms(12), &news);
    let newest = second.news(other.plus_ms(12), &vm(0), 4);
    assert_eq!((newest[0].busy, newest[0].slowness), (9, 100));
}

#[rstest]
fn messages_to_other_data_centres_carry_few_figures() {
    let mut router = router(&["north", "south"]);
    report(&mut router, START, 0, sample(1, 100));
    assert_eq!(router.news_count(&vm(0), 300), 4);
    for bytes in [300, 900, 2_000, 100_000] {
        let count = router.news_count(&vm(1), bytes) as u64;
        assert!(count * LoadNews::MAX_BYTES * 100 <= bytes * 3, "{bytes}");
    }
    assert!(router.news_count(&vm(1), 900) > 0);
}

/// A backend server that states that its host is faster than any, and idle, must not attract more
/// than an equal one.
#[rstest]
fn false_speed_attracts_nothing() {
    let mut router = router(&["north"; 4]);
    for index in 0..4 {
        report(
            &mut router,
            START,
            index,
            sample(5, if index == 0 { 1 } else { 100 }),
        );
    }
    let mut random = SmallRng::seed_from_u64(5);
    let mut counts = [0; 4];
    for _ in 0..400 {
        let now = START.plus_ms(1);
        let name = router.choose(now, &mut random, &[]).expect("available");
        router.begin(now, &name);
        counts[(0..4).find(|index| vm(*index) == name).unwrap()] += 1;
    }
    assert!(counts[0] < 140, "{counts:?}");
}

/// A VM that dies while its figures tell of room keeps them until they are old.
#[rstest]
fn dead_vm_with_room_is_left_after_a_few_calls() {
    let mut router = router(&["north"; 4]);
    for index in 0..4 {
        report(
            &mut router,
            START,
            index,
            sample(if index == 0 { 0 } else { 6 }, 100),
        );
    }
    let mut random = SmallRng::seed_from_u64(9);
    let mut failures = 0;
    for step in 0..60 {
        let now = START.plus_ms(step);
        let name = router.choose(now, &mut random, &[]).expect("available");
        router.begin(now, &name);
        if name == vm(0) {
            failures += 1;
            router.finish(now, &name, RouteOutcome::Failed, None);
        }
    }
    assert!((1..=3).contains(&failures), "{failures}");
}

proptest! {
    /// Whatever messages say, a VM is chosen, never one that is leaving.
    #[test]
    fn any_news_leaves_a_choice(
        news in prop::collection::vec(
            (0_usize..6, any::<u16>(), any::<u16>(), any::<u16>(), any::<u16>()),
            0..20,
        ),
        at_ms in 0_u64..2_000,
    ) {
        let mut router = router(&["north", "north", "south", "south"]);
        router.mark_leaving(&vm(1));
        report(&mut router, START, 0, sample(5, 100));
        let news: Vec<LoadNews> = news
            .into_iter()
            .map(|(index, busy, limit, slowness, age_ms)| LoadNews {
                vm: LoadNews::digest_of(&vm(index)),
                busy,
                limit,
                slowness,
                age_ms,
            })
            .collect();
        router.record_news(START, &news);
        let now = START.plus_ms(at_ms);
        let mut random = SmallRng::seed_from_u64(at_ms);
        let chosen = router.choose(now, &mut random, &[]);
        prop_assert!(chosen.is_some_and(|name| name != vm(1)));
        prop_assert!(router.news(now, &vm(0), 4).len() <= 4);
    }
}
