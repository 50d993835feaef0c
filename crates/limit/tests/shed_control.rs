//! The shed thresholds under steady overload and after it.

use clock::ClockTime;
use lentilshift_limit::{QueueState, QueueTicket, ShedControl, ShedSettings};
use model::{AttemptId, CallImportance, RequestId, ShedClass, ShedOrder, TeamName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// The capacity, in milliseconds of work per second: 500 requests of 10 ms.
const CAPACITY: f64 = 5_000.0;

/// A team 30 % of whose requests are nested calls, which are exempt from shedding.
const NESTED_TEAM: &str = "nested";

/// Demand of each class from each team in requests per second, with the weight of the team.
type TeamDemand = (&'static str, u32, [f64; 4]);

struct ShedSimulation {
    control: ShedControl,
    random: SmallRng,
    now_ms: u64,
    /// The queued work by class; the most important class is served first.
    backlog_ms: [f64; ShedClass::COUNT],
}

/// The requests admitted and offered, by team and class.
type Counts = Vec<[(u32, u32); 4]>;

impl ShedSimulation {
    fn new(settings: ShedSettings, seed: u64) -> Self {
        Self {
            control: ShedControl::new(settings),
            random: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            backlog_ms: [0.0; ShedClass::COUNT],
        }
    }

    fn run(&mut self, span_ms: u64, teams: &[TeamDemand]) -> Counts {
        let mut counts = vec![[(0, 0); 4]; teams.len()];
        for _ in 0..span_ms {
            self.now_ms += 1;
            for (index, (team, weight, rates)) in teams.iter().enumerate() {
                for class in CallImportance::ALL {
                    let count = &mut counts[index][class as usize];
                    if self.random.random::<f64>() * 1_000.0 < rates[class as usize] {
                        count.1 += 1;
                        count.0 += u32::from(self.offer(team, *weight, class));
                    }
                }
            }
            let is_free = self.work();
            let state = QueueState {
                waits_ms: self.waits_ms(),
                capacity: CAPACITY,
                free_fraction: if is_free { 0.2 } else { 0.0 },
                nested_losses: 0,
            };
            self.control.update(ClockTime::from_ms(self.now_ms), state);
        }
        counts
    }

    /// Runs one millisecond of queued work, and returns whether capacity was left over.
    fn work(&mut self) -> bool {
        let mut left_ms = CAPACITY / 1_000.0;
        for backlog_ms in self.backlog_ms.iter_mut().rev() {
            let done_ms = left_ms.min(*backlog_ms);
            *backlog_ms -= done_ms;
            left_ms -= done_ms;
        }
        left_ms > 0.0
    }

    fn waits_ms(&self) -> [f64; ShedClass::COUNT] {
        let wait_ms = |class: usize| -> f64 { self.backlog_ms[class..].iter().sum() };
        std::array::from_fn(|class| wait_ms(class) * 1_000.0 / CAPACITY)
    }

    fn offer(&mut self, team: &str, weight: u32, class: CallImportance) -> bool {
        let request = RequestId::from_random(self.random.random());
        let ticket = QueueTicket {
            id: AttemptId::from_random(self.random.random()),
            order: ShedOrder::new(class, request),
            team: Some(TeamName::new(team)),
            team_weight: weight,
            deadline: ClockTime::from_ms(self.now_ms + 1_000),
            depth: u8::from(team == NESTED_TEAM && self.random.random::<f64>() < 0.3),
            call: None,
            expected_ms: 10,
        };
        let is_admitted = self.control.record_arrival(&ticket) || ticket.is_nested();
        if is_admitted {
            self.control.charge(&ticket);
            self.backlog_ms[ShedClass::from(class).index()] += 10.0;
        }
        is_admitted
    }
}

fn admitted_fraction(count: (u32, u32)) -> f64 {
    f64::from(count.0) / f64::from(count.1.max(1))
}

#[rstest]
fn less_important_classes_are_shed_first(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = ShedSimulation::new(ShedSettings::default(), seed);
    let demand = [("a", 1, [400.0, 300.0, 200.0, 100.0])];
    simulation.run(2_000, &demand);
    let counts = simulation.run(4_000, &demand);
    let [background, _, high, critical] = counts[0].map(admitted_fraction);
    assert!(critical > 0.999 && high > 0.97, "{counts:?}");
    assert!(background < 0.05, "{counts:?}");
}

#[rstest]
fn team_within_its_share_is_not_shed(#[values(1, 2, 3)] seed: u64) {
    let demand = [
        ("greedy", 10, [0.0, 800.0, 0.0, 0.0]),
        ("small", 10, [0.0, 100.0, 0.0, 0.0]),
    ];
    let served = |shares_by_team| {
        let settings = ShedSettings {
            shares_by_team,
            ..ShedSettings::default()
        };
        let mut simulation = ShedSimulation::new(settings, seed);
        simulation.run(2_000, &demand);
        admitted_fraction(simulation.run(4_000, &demand)[1][CallImportance::Normal as usize])
    };
    assert!(served(false) < 0.8);
    assert!(served(true) > 0.97);
}

#[rstest]
fn team_repays_work_admitted_past_the_thresholds(#[values(1, 2, 3)] seed: u64) {
    let demand = [
        (NESTED_TEAM, 10, [0.0, 500.0, 0.0, 0.0]),
        ("new", 10, [0.0, 500.0, 0.0, 0.0]),
    ];
    let advantage = |compensates_teams| {
        let settings = ShedSettings {
            compensates_teams,
            ..ShedSettings::default()
        };
        let mut simulation = ShedSimulation::new(settings, seed);
        simulation.run(2_000, &demand);
        let counts = simulation.run(8_000, &demand);
        admitted_fraction(counts[0][CallImportance::Normal as usize])
            / admitted_fraction(counts[1][CallImportance::Normal as usize])
    };
    assert!(advantage(false) > 1.3, "{}", advantage(false));
    assert!(advantage(true) < 1.1, "{}", advantage(true));
}

#[rstest]
fn unused_share_of_a_team_goes_to_others(#[values(1, 2, 3)] seed: u64) {
    let demand = [
        ("greedy", 10, [0.0, 800.0, 0.0, 0.0]),
        ("small", 10, [0.0, 100.0, 0.0, 0.0]),
    ];
    let mut simulation = ShedSimulation::new(ShedSettings::default(), seed);
    simulation.run(2_000, &demand);
    let admitted = simulation.run(4_000, &demand)[0][CallImportance::Normal as usize].0;
    assert!(admitted > 4 * 360, "{admitted}");
}

#[rstest]
fn thresholds_open_soon_after_overload(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = ShedSimulation::new(ShedSettings::default(), seed);
    simulation.run(5_000, &[("a", 1, [900.0, 900.0, 900.0, 900.0])]);
    assert!(!simulation.control.thresholds().is_open());
    simulation.run(1_000, &[("a", 1, [100.0, 100.0, 100.0, 50.0])]);
    assert!(simulation.control.thresholds().is_open());
}

#[rstest]
fn services_that_shed_refuse_the_same_requests() {
    let mut random = SmallRng::seed_from_u64(5);
    let threshold = ShedOrder::from_parts(CallImportance::Normal.into(), 6_554);
    let (mut independent, mut by_rank) = (0, 0);
    for _ in 0..10_000 {
        let request = RequestId::from_random(random.random());
        let order = ShedOrder::new(CallImportance::Normal, request);
        by_rank += u32::from((0..11).all(|_| order >= threshold));
        independent += u32::from((0..11).all(|_| random.random::<f64>() >= 0.1));
    }
    assert!(independent < 4_000, "{independent}");
    assert!(by_rank > 8_800, "{by_rank}");
}

/// Requests refused while slots are free are lost capacity, so the thresholds are updated sooner
/// than at the usual interval.
#[rstest]
#[case::naive(40, 0.0, 0.3, false)]
#[case::free(10, 0.0, 0.3, true)]
#[case::waiting(10, 200.0, 0.0, false)]
fn thresholds_change_soon_when_nothing_waits(
    #[case] idle_update_ms: u64,
    #[case] wait_ms: f64,
    #[case] free_fraction: f64,
    #[case] is_changed: bool,
) {
    let settings = ShedSettings {
        update_ms: 40,
        idle_update_ms,
        ..ShedSettings::default()
    };
    let mut simulation = ShedSimulation::new(settings, 1);
    simulation.run(4_000, &[("a", 1, [250.0; 4])]);
    let start_ms = simulation.now_ms + settings.update_ms;
    let overloaded = QueueState {
        waits_ms: [200.0; ShedClass::COUNT],
        capacity: CAPACITY,
        free_fraction: 0.0,
        nested_losses: 0,
    };
    let start = ClockTime::from_ms(start_ms);
    simulation.control.update(start, overloaded);
    let before = simulation.control.thresholds().clone();
    assert!(!before.is_open());
    let state = QueueState {
        waits_ms: [wait_ms; ShedClass::COUNT],
        free_fraction,
        ..overloaded
    };
    simulation.control.update(start.plus_ms(10), state);
    assert_eq!(*simulation.control.thresholds() != before, is_changed);
}

/// Guards against a report too large for an answer: 90 teams, nearly all over their share of a
/// service that is offered twice its capacity.
#[rstest]
fn thresholds_of_many_teams_fit_an_answer_and_apply_to_all(#[values(1, 2, 3)] seed: u64) {
    const TEAMS: usize = 90;
    const GREEDY: usize = 7;
    let names: Vec<&'static str> = (0..TEAMS)
        .map(|index| &*Box::leak(format!("team-{index}").into_boxed_str()))
        .collect();
    let demand = |(index, name): (usize, &&'static str)| {
        let per_s = if index == GREEDY { 100.0 } else { 10.0 };
        (*name, 5, [0.0, per_s, 0.0, 0.0])
    };
    let teams: Vec<TeamDemand> = names.iter().enumerate().map(demand).collect();
    let settings = ShedSettings::default();
    let mut simulation = ShedSimulation::new(settings, seed);
    simulation.run(3_000, &teams);
    let counts = simulation.run(4_000, &teams);
    let thresholds = simulation.control.thresholds();
    assert!(!thresholds.is_open());
    assert!(thresholds.over_share.len() <= usize::from(settings.listed_teams));
    let normal = CallImportance::Normal as usize;
    let is_other = |(index, _): &(usize, &[(u32, u32); 4])| *index != GREEDY;
    let others = counts.iter().enumerate().filter(is_other);
    let sum = others.fold((0, 0), |sum, (_, count)| {
        (sum.0 + count[normal].0, sum.1 + count[normal].1)
    });
    // The capacity of 500 requests a second gives each team a max-min share of 5.6.
    let (others, greedy) = (
        admitted_fraction(sum),
        admitted_fraction(counts[GREEDY][normal]),
    );
    assert!((0.45..=0.65).contains(&others), "{others}");
    assert!(greedy < 0.2, "{greedy}");
}
