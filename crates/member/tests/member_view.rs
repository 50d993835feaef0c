//! The member view: announcements, expiry, suspect links and subsets.

use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use lentilshift_member::{
    AnnounceTimer, MemberAnnouncement, MemberSettings, MemberState, MemberSubset, MemberView,
};
use model::{CentreName, ServiceName, VmName};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use rstest::rstest;
use streams::LogOffset;

fn member(index: u32, sequence: u64, state: MemberState) -> MemberAnnouncement {
    MemberAnnouncement {
        vm: VmName::new(format!("vm-{index}")),
        centre: CentreName::new(format!("dc-{}", index % 3)),
        service: ServiceName::new("archive"),
        peer_addr: "10.0.0.1:7000".parse().unwrap(),
        slots: 65,
        incarnation: 1,
        sequence,
        state,
        valid_ms: 30_000,
    }
}

fn names(view: &MemberView) -> Vec<String> {
    let service = ServiceName::new("archive");
    let ready = view.ready(&service);
    ready.map(|member| member.vm.to_string()).collect()
}

fn read_until(view: &mut MemberView, from_ms: u64, until_ms: u64) {
    for ms in (from_ms..=until_ms).step_by(500) {
        view.advance_to(ClockTime::from_ms(ms));
    }
}

#[test]
fn only_ready_members_accept_work() {
    let mut view = MemberView::new(MemberSettings::default());
    view.apply(&member(1, 1, MemberState::Starting));
    view.apply(&member(2, 1, MemberState::Ready));
    view.apply(&member(3, 1, MemberState::Ready));
    view.apply(&member(3, 2, MemberState::Leaving));
    assert_eq!(names(&view), ["vm-2"]);
}

#[test]
fn leaving_member_is_never_ready_again_in_one_start() {
    let mut view = MemberView::new(MemberSettings::default());
    view.apply(&member(1, 2, MemberState::Leaving));
    assert!(!view.apply(&member(1, 3, MemberState::Ready)));
    let restarted = MemberAnnouncement {
        incarnation: 2,
        ..member(1, 1, MemberState::Ready)
    };
    assert!(view.apply(&restarted));
}

#[test]
fn announcement_of_a_vm_that_stopped_silently_expires() {
    let mut view = MemberView::new(MemberSettings::default());
    view.apply(&member(1, 1, MemberState::Ready));
    read_until(&mut view, 0, 29_500);
    assert_eq!(names(&view), ["vm-1"]);
    read_until(&mut view, 30_000, 30_500);
    assert!(view.is_empty());
}

#[test]
fn outage_of_the_log_removes_no_member() {
    let mut view = MemberView::new(MemberSettings::default());
    view.apply(&member(1, 1, MemberState::Ready));
    read_until(&mut view, 0, 5_000);
    read_until(&mut view, 3_600_000, 3_605_000);
    assert_eq!(names(&view), ["vm-1"]);
}

#[test]
fn broken_link_makes_a_vm_suspect_for_a_while() {
    let mut view = MemberView::new(MemberSettings::default());
    view.apply(&member(1, 1, MemberState::Ready));
    let (vm, now) = (VmName::new("vm-1"), ClockTime::from_ms(1_000));
    view.on_link_failure(now, &vm);
    assert!(view.is_suspect(now, &vm));
    assert!(!view.is_suspect(now.plus_ms(5_000), &vm));
    view.on_link_success(&vm);
    assert!(!view.is_suspect(now, &vm));
}

#[test]
fn any_order_of_announcements_gives_the_same_view() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let states = [
            MemberState::Starting,
            MemberState::Ready,
            MemberState::Leaving,
        ];
        let announcements = (0..30_u32).map(|index| {
            let step = rng.random_range(0..3_u64);
            let state = states[usize::try_from(step).unwrap()];
            member(index % 8, step, state)
        });
        let mut announcements: Vec<_> = announcements.collect();
        let mut in_order = MemberView::new(MemberSettings::default());
        for member in &announcements {
            in_order.apply(member);
        }
        announcements.shuffle(&mut rng);
        let mut shuffled = MemberView::new(MemberSettings::default());
        for member in &announcements {
            shuffled.apply(member);
        }
        let covers = LogOffset::ZERO;
        assert_eq!(
            shuffled.snapshot(covers),
            in_order.snapshot(covers),
            "seed {seed}"
        );
    }
}

#[rstest]
#[case(15, 10_000)]
#[case(4_000, 800_000)]
fn refresh_time_grows_with_the_fleet(#[case] members: usize, #[case] refresh_ms: u64) {
    let settings = MemberSettings::default();
    assert_eq!(settings.refresh_ms(members), refresh_ms);
    let own = member(1, 0, MemberState::Starting);
    let mut timer = AnnounceTimer::new(settings, own);
    let mut rng = SmallRng::seed_from_u64(1);
    let now = ClockTime::from_ms(1);
    assert!(timer.take_due(now, members, &mut rng).is_some());
    assert!(timer.take_due(now, members, &mut rng).is_none());
    assert!(timer.set_state(MemberState::Ready));
    assert!(timer.take_due(now, members, &mut rng).is_some());
    let later = now.plus_ms(refresh_ms);
    assert!(timer.take_due(later, members, &mut rng).is_some());
}

#[test]
fn subset_changes_by_one_when_a_vm_leaves_and_spreads_links_evenly() {
    let members: Vec<_> = (0..300).map(|n| member(n, 1, MemberState::Ready)).collect();
    let subset = MemberSubset::default();
    let mut links: BTreeMap<VmName, usize> = BTreeMap::new();
    for node in 0..300 {
        let (own, centre) = (VmName::new(format!("node-{node}")), CentreName::new("dc-0"));
        let all = subset.pick(&own, &centre, members.iter());
        assert_eq!(all.len(), 20);
        let removed = &all[0].vm;
        let rest = members.iter().filter(|member| member.vm != *removed);
        let fewer = subset.pick(&own, &centre, rest);
        let before: BTreeSet<_> = all.iter().map(|member| &member.vm).collect();
        let retained = fewer.iter().filter(|member| before.contains(&member.vm));
        assert_eq!(retained.count(), 19);
        for member in all.iter().filter(|member| member.centre == centre) {
            *links.entry(member.vm.clone()).or_default() += 1;
        }
    }
    assert_eq!(links.len(), 100);
    assert!(
        links.values().all(|count| (12..=72).contains(count)),
        "{links:?}"
    );
}
