//! The thresholds under steady overload, and after it.

use clock::ClockTime;
use lentilshift_limit::{QueueState, QueueTicket, ShedControl, ShedSettings};
use model::{AttemptId, CallImportance, RequestId, ShedClass, ShedOrder, TeamName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// The capacity, in milliseconds of work a second: 500 requests of 10 ms.
const CAPACITY: f64 = 5_000.0;

/// A team of whose requests three tenths were begun upstream, and so aren't cut.
const BEGUN_TEAM: &str = "begun";

/// Demand in requests a second of each class from each team, with the team's weight.
type TeamDemand = (&'static str, u32, [f64; 4]);

struct Feed {
    control: ShedControl,
    random: SmallRng,
    now_ms: u64,
    /// The work that waits, by class; the most important is done first.
    backlog_ms: [f64; ShedClass::COUNT],
}

/// The requests let in and offered, by team and class.
type Counts = Vec<[(u32, u32); 4]>;

impl Feed {
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

    /// Does one millisecond of work, and returns whether there was less to do.
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
            depth: u8::from(team == BEGUN_TEAM && self.random.random::<f64>() < 0.3),
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

fn part(count: (u32, u32)) -> f64 {
    f64::from(count.0) / f64::from(count.1.max(1))
}

#[rstest]
fn lesser_classes_are_cut_first(#[values(1, 2, 3)] seed: u64) {
    let mut feed = Feed::new(ShedSettings::default(), seed);
    let demand = [("a", 1, [400.0, 300.0, 200.0, 100.0])];
    feed.run(2_000, &demand);
    let counts = feed.run(4_000, &demand);
    let [background, _, high, critical] = counts[0].map(part);
    assert!(critical > 0.999 && high > 0.97, "{counts:?}");
    assert!(background < 0.05, "{counts:?}");
}

#[rstest]
fn a_team_within_its_share_is_spared(#[values(1, 2, 3)] seed: u64) {
    let demand = [
        ("greedy", 10, [0.0, 800.0, 0.0, 0.0]),
        ("small", 10, [0.0, 100.0, 0.0, 0.0]),
    ];
    let served = |shares_by_team| {
        let settings = ShedSettings {
            shares_by_team,
            ..ShedSettings::default()
        };
        let mut feed = Feed::new(settings, seed);
        feed.run(2_000, &demand);
        part(feed.run(4_000, &demand)[1][CallImportance::Normal as usize])
    };
    assert!(served(false) < 0.8);
    assert!(served(true) > 0.97);
}

#[rstest]
fn a_team_repays_what_it_got_past_the_cuts(#[values(1, 2, 3)] seed: u64) {
    let demand = [
        (BEGUN_TEAM, 10, [0.0, 500.0, 0.0, 0.0]),
        ("new", 10, [0.0, 500.0, 0.0, 0.0]),
    ];
    let lead = |compensates_teams| {
        let settings = ShedSettings {
            compensates_teams,
            ..ShedSettings::default()
        };
        let mut feed = Feed::new(settings, seed);
        feed.run(2_000, &demand);
        let counts = feed.run(8_000, &demand);
        part(counts[0][CallImportance::Normal as usize])
            / part(counts[1][CallImportance::Normal as usize])
    };
    assert!(lead(false) > 1.3, "{}", lead(false));
    assert!(lead(true) < 1.1, "{}", lead(true));
}

#[rstest]
fn the_share_that_a_team_leaves_is_lent(#[values(1, 2, 3)] seed: u64) {
    let demand = [
        ("greedy", 10, [0.0, 800.0, 0.0, 0.0]),
        ("small", 10, [0.0, 100.0, 0.0, 0.0]),
    ];
    let mut feed = Feed::new(ShedSettings::default(), seed);
    feed.run(2_000, &demand);
    let lent = feed.run(4_000, &demand)[0][CallImportance::Normal as usize].0;
    assert!(lent > 4 * 360, "{lent}");
}

#[rstest]
fn cuts_are_gone_soon_after_overload(#[values(1, 2, 3)] seed: u64) {
    let mut feed = Feed::new(ShedSettings::default(), seed);
    feed.run(5_000, &[("a", 1, [900.0, 900.0, 900.0, 900.0])]);
    assert!(!feed.control.thresholds().is_open());
    feed.run(1_000, &[("a", 1, [100.0, 100.0, 100.0, 50.0])]);
    assert!(feed.control.thresholds().is_open());
}

#[rstest]
fn services_that_shed_drop_the_same_requests() {
    let mut random = SmallRng::seed_from_u64(5);
    let threshold = ShedOrder::from_parts(CallImportance::Normal.into(), 6_554);
    let (mut flips, mut ours) = (0, 0);
    for _ in 0..10_000 {
        let request = RequestId::from_random(random.random());
        let order = ShedOrder::new(CallImportance::Normal, request);
        ours += u32::from((0..11).all(|_| order >= threshold));
        flips += u32::from((0..11).all(|_| random.random::<f64>() >= 0.1));
    }
    assert!(flips < 4_000, "{flips}");
    assert!(ours > 8_800, "{ours}");
}

/// What is refused with slots free is lost, so the thresholds don't wait for the usual time.
#[rstest]
#[case::naive(40, 0.0, 0.3, false)]
#[case::free(10, 0.0, 0.3, true)]
#[case::waiting(10, 200.0, 0.0, false)]
fn the_cuts_change_soon_when_nothing_waits(
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
    let mut feed = Feed::new(settings, 1);
    feed.run(4_000, &[("a", 1, [250.0; 4])]);
    let start_ms = feed.now_ms + settings.update_ms;
    let overloaded = QueueState {
        waits_ms: [200.0; ShedClass::COUNT],
        capacity: CAPACITY,
        free_fraction: 0.0,
        nested_losses: 0,
    };
    let start = ClockTime::from_ms(start_ms);
    feed.control.update(start, overloaded);
    let before = feed.control.thresholds().clone();
    assert!(!before.is_open());
    let state = QueueState {
        waits_ms: [wait_ms; ShedClass::COUNT],
        free_fraction,
        ..overloaded
    };
    feed.control.update(start.plus_ms(10), state);
    assert_eq!(*feed.control.thresholds() != before, is_changed);
}

/// The load pattern: ninety teams, nearly all over their share of a service that gets twice what it
/// can do.
#[rstest]
fn cuts_of_many_teams_fit_an_answer_and_hold_for_all(#[values(1, 2, 3)] seed: u64) {
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
    let mut feed = Feed::new(settings, seed);
    feed.run(3_000, &teams);
    let counts = feed.run(4_000, &teams);
    let thresholds = feed.control.thresholds();
    assert!(!thresholds.is_open());
    assert!(thresholds.over_share.len() <= usize::from(settings.listed_teams));
    let normal = CallImportance::Normal as usize;
    let is_other = |(index, _): &(usize, &[(u32, u32); 4])| *index != GREEDY;
    let others = counts.iter().enumerate().filter(is_other);
    let sum = others.fold((0, 0), |sum, (_, count)| {
        (sum.0 + count[normal].0, sum.1 + count[normal].1)
    });
    // 500 requests a second fit, in max-min shares of 5.6 for each team.
    let (others, greedy) = (part(sum), part(counts[GREEDY][normal]));
    assert!((0.45..=0.65).contains(&others), "{others}");
    assert!(greedy < 0.2, "{greedy}");
}
