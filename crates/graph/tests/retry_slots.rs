//! Retry delays given to refused callers, compared with one fixed delay for all.

use clock::ClockTime;
use lentilshift_graph::{AdmissionSettings, CallTarget, ChainAdmission, RefusedRequest};
use model::{CallImportance, RequestId, ServiceName, ShedOrder, TeamName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const RUN_MS: u64 = 60;
const SECOND_MS: usize = 1_000;

/// Returns an entry that served one call of a team every 10 ms for 20 s, and the time at its end.
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

fn retry_delay_ms(
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

/// Returns the most of some times that lie within one second.
fn peak(mut times: Vec<u64>) -> usize {
    times.sort_unstable();
    let within = |start: usize| {
        let end_ms = times[start] + SECOND_MS as u64;
        times.partition_point(|at_ms| *at_ms < end_ms) - start
    };
    (0..times.len()).map(within).max().unwrap_or(0)
}

/// For 5 s, ten times the served rate is offered, and all callers retry after their delay.
#[rstest]
fn callers_retry_no_faster_than_the_service_has_capacity(#[values(1, 2, 3)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let team = TeamName::new("large");
    let (mut admission, start) = entry_of(&team);
    let (mut naive, mut ours) = (Vec::new(), Vec::new());
    for step in 0..5_000 {
        let now = start.plus_ms(step);
        naive.push(now.plus_ms(AdmissionSettings::default().min_retry_after_ms));
        ours.push(now.plus_ms(retry_delay_ms(&mut admission, now, &team, &mut random)));
        if step % 10 == 0 {
            admission.observe_served(now, &look_up(), Some(&team), RUN_MS);
        }
    }
    let to_ms = |times: Vec<ClockTime>| times.into_iter().map(ClockTime::as_ms).collect();
    let served_per_s = 100;
    assert!(peak(to_ms(naive)) > 2 * served_per_s);
    assert!(peak(to_ms(ours)) <= served_per_s / 5);
}

#[rstest]
fn no_delay_exceeds_the_longest_and_those_near_it_are_spread() {
    let mut random = StdRng::seed_from_u64(1);
    let team = TeamName::new("large");
    let (mut admission, now) = entry_of(&team);
    let delays: Vec<u64> = (0..100_000)
        .map(|_| retry_delay_ms(&mut admission, now, &team, &mut random))
        .collect();
    let settings = AdmissionSettings::default();
    assert!(
        delays
            .iter()
            .all(|delay_ms| *delay_ms <= settings.max_retry_after_ms)
    );
    assert!(
        delays
            .iter()
            .all(|delay_ms| *delay_ms >= settings.min_retry_after_ms)
    );
    assert!(peak(delays[50_000..].to_vec()) < 1_000);
}

#[rstest]
fn team_that_is_refused_often_does_not_delay_another() {
    let mut random = StdRng::seed_from_u64(1);
    let (large, small) = (TeamName::new("large"), TeamName::new("small"));
    let (mut admission, now) = entry_of(&large);
    admission.observe_served(now, &look_up(), Some(&small), RUN_MS);
    for _ in 0..1_000 {
        retry_delay_ms(&mut admission, now, &large, &mut random);
    }
    let min_ms = AdmissionSettings::default().min_retry_after_ms;
    assert_eq!(
        retry_delay_ms(&mut admission, now, &small, &mut random),
        min_ms
    );
    assert!(retry_delay_ms(&mut admission, now, &large, &mut random) > 50 * min_ms);
}

#[rstest]
fn delays_become_short_again_without_refusals() {
    let mut random = StdRng::seed_from_u64(1);
    let team = TeamName::new("large");
    let (mut admission, now) = entry_of(&team);
    for _ in 0..1_000 {
        retry_delay_ms(&mut admission, now, &team, &mut random);
    }
    let before_ms = retry_delay_ms(&mut admission, now, &team, &mut random);
    let later = now.plus_ms(30_000);
    let after_ms = retry_delay_ms(&mut admission, later, &team, &mut random);
    assert!(after_ms < before_ms / 20, "{before_ms} {after_ms}");
}
