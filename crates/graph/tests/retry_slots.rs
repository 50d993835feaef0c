//! Times told to refused callers, against one time for all.

use clock::ClockTime;
use lentilshift_graph::{AdmissionSettings, CallTarget, ChainAdmission, RefusedRequest};
use model::{CallImportance, RequestId, ServiceName, ShedOrder, TeamName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const RUN_MS: u64 = 60;
const SECOND_MS: usize = 1_000;

/// An entry that served one call of a team every 10 ms for 20 s, and the moment after.
fn entry_of(team: &TeamName) -> (ChainAdmission, ClockTime) {
    let mut admission = ChainAdmission::new(AdmissionSettings::default());
    let mut now = ClockTime::ZERO;
    for _ in 0..2_000 {
        now = now.plus_ms(10);
        admission.observe_served(now, &look_up(), Some(team), RUN_MS);
    }
    (admission, now)
}

fn look_up() -> CallTarget {
    CallTarget::new("registry", "look-up")
}

fn tell(
    admission: &mut ChainAdmission,
    now: ClockTime,
    team: &TeamName,
    random: &mut StdRng,
) -> u64 {
    let request = RequestId::from_random(random.random());
    let order = ShedOrder::new(CallImportance::Normal, request);
    let service = ServiceName::new("registry");
    let refused = RefusedRequest {
        service: &service,
        target: &look_up(),
        team: Some(team),
        order,
    };
    admission.retry_after_ms(now, refused)
}

/// Returns the most of some moments that lie within one second.
fn peak(mut moments: Vec<u64>) -> usize {
    moments.sort_unstable();
    let within = |start: usize| {
        let end_ms = moments[start] + SECOND_MS as u64;
        moments.partition_point(|at_ms| *at_ms < end_ms) - start
    };
    (0..moments.len()).map(within).max().unwrap_or(0)
}

/// Ten times what is served comes for 5 s, and all callers do as they are told.
#[rstest]
fn callers_come_back_no_faster_than_the_service_has_room(#[values(1, 2, 3)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let team = TeamName::new("large");
    let (mut admission, start) = entry_of(&team);
    let (mut naive, mut ours) = (Vec::new(), Vec::new());
    for step in 0..5_000 {
        let now = start.plus_ms(step);
        naive.push(now.plus_ms(AdmissionSettings::default().min_retry_after_ms));
        ours.push(now.plus_ms(tell(&mut admission, now, &team, &mut random)));
        if step % 10 == 0 {
            admission.observe_served(now, &look_up(), Some(&team), RUN_MS);
        }
    }
    let in_ms = |moments: Vec<ClockTime>| moments.into_iter().map(ClockTime::as_ms).collect();
    let served_per_s = 100;
    assert!(peak(in_ms(naive)) > 2 * served_per_s);
    assert!(peak(in_ms(ours)) <= served_per_s / 5);
}

#[rstest]
fn no_time_is_beyond_the_longest_and_those_near_it_are_spread() {
    let mut random = StdRng::seed_from_u64(1);
    let team = TeamName::new("large");
    let (mut admission, now) = entry_of(&team);
    let told: Vec<u64> = (0..100_000)
        .map(|_| tell(&mut admission, now, &team, &mut random))
        .collect();
    let settings = AdmissionSettings::default();
    assert!(
        told.iter()
            .all(|told_ms| *told_ms <= settings.max_retry_after_ms)
    );
    assert!(
        told.iter()
            .all(|told_ms| *told_ms >= settings.min_retry_after_ms)
    );
    assert!(peak(told[50_000..].to_vec()) < 1_000);
}

#[rstest]
fn a_team_that_is_refused_often_does_not_put_off_another() {
    let mut random = StdRng::seed_from_u64(1);
    let (large, small) = (TeamName::new("large"), TeamName::new("small"));
    let (mut admission, now) = entry_of(&large);
    admission.observe_served(now, &look_up(), Some(&small), RUN_MS);
    for _ in 0..1_000 {
        tell(&mut admission, now, &large, &mut random);
    }
    let least_ms = AdmissionSettings::default().min_retry_after_ms;
    assert_eq!(tell(&mut admission, now, &small, &mut random), least_ms);
    assert!(tell(&mut admission, now, &large, &mut random) > 50 * least_ms);
}

#[rstest]
fn times_become_short_again_once_nobody_is_refused() {
    let mut random = StdRng::seed_from_u64(1);
    let team = TeamName::new("large");
    let (mut admission, now) = entry_of(&team);
    for _ in 0..1_000 {
        tell(&mut admission, now, &team, &mut random);
    }
    let before_ms = tell(&mut admission, now, &team, &mut random);
    let later = now.plus_ms(30_000);
    let after_ms = tell(&mut admission, later, &team, &mut random);
    assert!(after_ms < before_ms / 20, "{before_ms} {after_ms}");
}
