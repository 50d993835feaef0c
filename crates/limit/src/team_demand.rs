use std::collections::{BTreeMap, BTreeSet};

use model::{CallImportance, ShedClass, ShedOrder, TeamName};

use crate::team_credits::TeamCredits;
use crate::{QueueTicket, ShedThresholds, TeamThreshold};

/// The number of ranks within a class.
const RANKS: f64 = 65_536.0;
/// The smallest admitted fraction that demand is extrapolated from.
const MIN_FRACTION: f64 = 0.004;
/// Flows with less demand than this are removed, in milliseconds of work per second.
const MIN_TRACKED_RATE: f64 = 0.01;
/// Rates are smoothed over the time in which this many requests arrive.
const SMOOTHING_ARRIVALS: f64 = 20.0;
/// The longest smoothing time, as a multiple of the shortest.
const MAX_SMOOTHING_FACTOR: f64 = 8.0;
/// The smallest fraction of its share that is left to a team over it while a backlog is drained.
const MIN_OVER_SHARE_FRACTION: f64 = 0.2;
/// The steps of the binary search for a share level.
const SHARE_LEVEL_STEPS: u32 = 40;
/// The tolerance in comparing demand with capacity, so that rounding errors shed nothing.
const ROUNDING_TOLERANCE: f64 = 1.000_001;

/// The lowest class of critical requests.
const FIRST_CRITICAL: ShedClass =
    ShedClass::new(CallImportance::Critical, CallImportance::Background);

/// The work per second that each class and those above it may use, the least important first.
pub(crate) type ClassCapacities = [f64; ShedClass::COUNT];

/// The demand of one team in one class.
#[derive(Clone, Debug)]
struct TeamFlow {
    weight: f64,
    /// The admitted requests since the last update of the rates.
    arrivals: f64,
    /// The admitted work since the last update of the rates.
    work_ms: f64,
    /// The smoothed number of admitted requests per second.
    arrival_rate: f64,
    /// The smoothed admitted work, in milliseconds per second.
    rate: f64,
    /// The fraction of requests that the current thresholds admit.
    fraction: f64,
    /// The admitted fraction, smoothed like the rates.
    smoothed_fraction: f64,
}

impl TeamFlow {
    /// Returns the work per second that would arrive if nothing were shed.
    fn demand(&self) -> f64 {
        self.rate / self.smoothed_fraction.max(MIN_FRACTION)
    }

    /// Adds the arrivals of the last `span_ms` to the smoothed rates. The time constant is at least
    /// `smoothing_ms` and longer for a flow with few arrivals.
    fn fold(&mut self, span_ms: f64, smoothing_ms: f64) {
        let window_ms = SMOOTHING_ARRIVALS * 1_000.0 / self.arrival_rate.max(f64::MIN_POSITIVE);
        let smoothing_ms = window_ms.clamp(smoothing_ms, smoothing_ms * MAX_SMOOTHING_FACTOR);
        let gain = 1.0 - (-span_ms / smoothing_ms).exp();
        let per_second = 1_000.0 / span_ms;
        self.arrival_rate += gain * (self.arrivals * per_second - self.arrival_rate);
        self.rate += gain * (self.work_ms * per_second - self.rate);
        self.smoothed_fraction += gain * (self.fraction - self.smoothed_fraction);
        self.arrivals = 0.0;
        self.work_ms = 0.0;
    }
}

/// The demand of each team in each class, extrapolated from what is admitted.
///
/// Ranks are distributed evenly, so demand is the admitted work divided by the admitted fraction.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    flows: BTreeMap<(ShedClass, Option<TeamName>), TeamFlow>,
    credits: TeamCredits,
}

impl DemandTable {
    /// Counts an arrival that the thresholds admitted, with the work that it brings.
    pub(crate) fn count(&mut self, ticket: &QueueTicket) {
        let flow = self
            .flows
            .entry((ticket.order.class(), ticket.team.clone()))
            .or_insert(TeamFlow {
                weight: 1.0,
                arrivals: 0.0,
                work_ms: 0.0,
                arrival_rate: 0.0,
                rate: 0.0,
                fraction: 1.0,
                smoothed_fraction: 1.0,
            });
        flow.weight = f64::from(ticket.team_weight.max(1));
        flow.arrivals += 1.0;
        flow.work_ms += ticket.work_ms();
    }

    /// Charges a team for an admitted request.
    pub(crate) fn charge(&mut self, ticket: &QueueTicket) {
        self.credits.charge(ticket.team.as_ref(), ticket.work_ms());
    }

    /// Adds the arrivals of the last `span_ms` to the smoothed rates.
    pub(crate) fn fold(&mut self, span_ms: f64, smoothing_ms: f64) {
        for flow in self.flows.values_mut() {
            flow.fold(span_ms, smoothing_ms);
        }
        self.flows.retain(|_, flow| flow.rate > MIN_TRACKED_RATE);
    }

    /// Returns the total demand in work per second.
    pub(crate) fn total(&self) -> f64 {
        self.flows.values().map(TeamFlow::demand).sum()
    }

    /// Admits everything.
    pub(crate) fn open(&mut self) {
        self.credits = TeamCredits::default();
        for flow in self.flows.values_mut() {
            flow.fraction = 1.0;
        }
    }

    /// Divides what each class and those above it may use, in work per second, and returns the
    /// thresholds that enforce the division.
    ///
    /// Critical calls are served first, whichever team sends them. The rest is divided among the
    /// teams by max-min fairness, weighted and over each team's demand in all classes, and within a
    /// team among its classes from the most important down. The capacity needed to drain a backlog
    /// is taken from the teams over their share of `capacity`, as far as their shares allow.
    ///
    /// With many teams, most of them can be over their share at once. Only the `listed` teams
    /// furthest over their share get a threshold of their own, as many as an answer can carry; the
    /// others share one.
    pub(crate) fn divide_by_team(
        &mut self,
        capacities: ClassCapacities,
        capacity: f64,
        listed: usize,
    ) -> ShedThresholds {
        let critical = self.critical_demand();
        if critical >= capacities[FIRST_CRITICAL.index()] {
            return self.divide_by_class(capacities);
        }
        let teams = self.team_totals();
        let level = share_level(&teams, capacity.max(capacities[0]));
        let over_level = over_level(&teams, level, capacities[0]);
        let over: BTreeMap<Option<TeamName>, f64> = teams
            .iter()
            .filter(|(_, total)| total.demand > level * total.weight)
            .map(|(team, total)| (team.clone(), total.share(over_level)))
            .collect();
        self.credits.settle(&over);
        let mut ordered_teams: Vec<_> = teams.iter().collect();
        ordered_teams.sort_by(|a, b| b.1.demand.total_cmp(&a.1.demand));
        let share_of = |credits: &TeamCredits, team: &Option<TeamName>, total: &TeamTotal| {
            let over_share = over.get(team);
            over_share.map_or_else(
                || total.share(level),
                |share| (share + credits.rate(team.as_ref())).max(total.critical),
            )
        };
        let mut thresholds = ShedThresholds::default();
        if over.len() > listed {
            ordered_teams.sort_by(|a, b| b.1.use_by_weight().total_cmp(&a.1.use_by_weight()));
            let rest = ordered_teams.split_off(listed);
            let share = |(team, total): &(&Option<TeamName>, &TeamTotal)| {
                share_of(&self.credits, team, total)
            };
            let capacity: f64 = rest.iter().map(share).sum();
            let names: BTreeSet<Option<&TeamName>> =
                rest.iter().map(|(team, _)| team.as_ref()).collect();
            let is_rest = |team: Option<&TeamName>| names.contains(&team);
            thresholds.threshold = self.shed_flows([capacity; ShedClass::COUNT], is_rest);
        }
        for (team, total) in ordered_teams {
            let share = share_of(&self.credits, team, total);
            let threshold = self.shed_team(team.as_ref(), share);
            if threshold > ShedOrder::FIRST {
                thresholds.over_share.push(TeamThreshold {
                    team: team.clone(),
                    threshold,
                });
            }
        }
        thresholds
    }

    /// Divides capacity by class alone, the same for every team.
    pub(crate) fn divide_by_class(&mut self, capacities: ClassCapacities) -> ShedThresholds {
        let threshold = self.shed_flows(capacities, |_| true);
        ShedThresholds {
            threshold,
            over_share: Vec::new(),
        }
    }

    fn shed_team(&mut self, team: Option<&TeamName>, capacity: f64) -> ShedOrder {
        self.shed_flows([capacity; ShedClass::COUNT], |other| other == team)
    }

    /// Assigns capacity to the classes of the chosen flows, the most important first, and returns
    /// the threshold at which it is used up.
    fn shed_flows(
        &mut self,
        capacities: ClassCapacities,
        is_chosen: impl Fn(Option<&TeamName>) -> bool,
    ) -> ShedOrder {
        let mut used = 0.0;
        let mut threshold = ShedOrder::FIRST;
        for class in ShedClass::all().rev() {
            let mut flows: Vec<&mut TeamFlow> = self
                .flows
                .iter_mut()
                .filter(|((other, team), _)| *other == class && is_chosen(team.as_ref()))
                .map(|(_, flow)| flow)
                .collect();
            let demand: f64 = flows.iter().map(|flow| flow.demand()).sum();
            let left = (capacities[class.index()] - used).max(0.0);
            let fraction = if demand <= left * ROUNDING_TOLERANCE {
                1.0
            } else {
                left / demand
            };
            used += demand;
            for flow in &mut flows {
                flow.fraction = fraction;
            }
            if fraction < 1.0 {
                threshold = threshold.max(shed_order(class, fraction));
            }
        }
        threshold
    }

    fn critical_demand(&self) -> f64 {
        self.flows
            .iter()
            .filter(|((class, _), _)| class.importance() == CallImportance::Critical)
            .map(|(_, flow)| flow.demand())
            .sum()
    }

    fn team_totals(&self) -> TeamTotals {
        let mut totals = TeamTotals::new();
        for ((class, team), flow) in &self.flows {
            let total = totals.entry(team.clone()).or_default();
            total.weight = flow.weight;
            total.demand += flow.demand();
            if class.importance() == CallImportance::Critical {
                total.critical += flow.demand();
            }
        }
        totals
    }
}

/// The total demand of each team.
type TeamTotals = BTreeMap<Option<TeamName>, TeamTotal>;

/// The total demand of one team, in work per second.
#[derive(Clone, Copy, Debug, Default)]
struct TeamTotal {
    weight: f64,
    demand: f64,
    critical: f64,
}

impl TeamTotal {
    /// Returns the demand of the team per unit of its weight.
    fn use_by_weight(&self) -> f64 {
        self.demand / self.weight
    }

    /// Returns the team's share when each unit of weight gets `level`.
    fn share(&self, level: f64) -> f64 {
        (level * self.weight).min(self.demand).max(self.critical)
    }
}

/// Returns the level per unit of weight at which the shares use up the capacity.
fn share_level(teams: &TeamTotals, capacity: f64) -> f64 {
    let high = teams
        .values()
        .map(|total| total.demand / total.weight)
        .fold(0.0, f64::max);
    highest_level(0.0, high, |level| {
        let used: f64 = teams.values().map(|total| total.share(level)).sum();
        used <= capacity
    })
}

/// Returns the reduced level for the teams over their share at which all shares together use up the
/// capacity.
fn over_level(teams: &TeamTotals, level: f64, capacity: f64) -> f64 {
    let used = |over_level: f64| -> f64 {
        teams
            .values()
            .map(|total| {
                let is_over = total.demand > level * total.weight;
                total.share(if is_over { over_level } else { level })
            })
            .sum()
    };
    highest_level(MIN_OVER_SHARE_FRACTION * level, level, |over_level| {
        used(over_level) <= capacity
    })
}

/// Returns the highest level that fits, or `low` when none does.
fn highest_level(mut low: f64, mut high: f64, fits: impl Fn(f64) -> bool) -> f64 {
    if fits(high) {
        return high;
    }
    for _ in 0..SHARE_LEVEL_STEPS {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float-to-integer casts saturate"
)]
fn shed_order(class: ShedClass, fraction: f64) -> ShedOrder {
    ShedOrder::from_parts(class, ((1.0 - fraction) * RANKS) as u16)
}
