use std::collections::{BTreeMap, BTreeSet};

use model::{CallImportance, ShedClass, ShedOrder, TeamName};

use crate::team_credits::TeamCredits;
use crate::{QueueTicket, ShedThresholds, TeamThreshold};

/// The ranks within a class.
const RANKS: f64 = 65_536.0;
/// The smallest admitted part from which demand is worked out.
const MIN_FRACTION: f64 = 0.004;
/// Demand below this rate, in milliseconds of work a second, is forgotten.
const FORGET_RATE: f64 = 0.01;
/// Rates are smoothed over the time in which this many requests arrive.
const ENOUGH_ARRIVALS: f64 = 20.0;
/// The longest smoothing, as a multiple of the shortest.
const MAX_STRETCH: f64 = 8.0;
/// A backlog takes at most the rest of the share of a team over it.
const MIN_OVER_SHARE: f64 = 0.2;
/// The steps in which a share level is searched.
const LEVEL_STEPS: u32 = 40;
/// Shares are compared with this factor, so that rounding cuts nothing.
const ROUNDING: f64 = 1.000_001;

/// The lowest class of critical requests.
const FIRST_CRITICAL: ShedClass =
    ShedClass::new(CallImportance::Critical, CallImportance::Background);

/// The work a second that each class and those above it may use, the least important first.
pub(crate) type ClassCapacities = [f64; ShedClass::COUNT];

/// The demand of one team in one class.
#[derive(Clone, Debug)]
struct TeamFlow {
    weight: f64,
    arrivals: f64,
    work_ms: f64,
    arrival_rate: f64,
    rate: f64,
    fraction: f64,
    smooth_fraction: f64,
}

impl TeamFlow {
    /// Returns the work a second that would come if none were cut.
    fn demand(&self) -> f64 {
        self.rate / self.smooth_fraction.max(MIN_FRACTION)
    }

    /// Folds the arrivals of the last `span_ms` into the rates, over at least `smooth_ms` and
    /// longer for a flow of few arrivals.
    fn fold(&mut self, span_ms: f64, smooth_ms: f64) {
        let enough_ms = ENOUGH_ARRIVALS * 1_000.0 / self.arrival_rate.max(f64::MIN_POSITIVE);
        let smooth_ms = enough_ms.clamp(smooth_ms, smooth_ms * MAX_STRETCH);
        let gain = 1.0 - (-span_ms / smooth_ms).exp();
        let part = 1_000.0 / span_ms;
        self.arrival_rate += gain * (self.arrivals * part - self.arrival_rate);
        self.rate += gain * (self.work_ms * part - self.rate);
        self.smooth_fraction += gain * (self.fraction - self.smooth_fraction);
        self.arrivals = 0.0;
        self.work_ms = 0.0;
    }
}

/// The demand of each team in each class, worked out from what is let in.
///
/// Ranks are spread evenly, so the whole demand is what is admitted over the admitted fraction.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    flows: BTreeMap<(ShedClass, Option<TeamName>), TeamFlow>,
    credits: TeamCredits,
}

impl DemandTable {
    /// Counts an arrival that the cuts let in, with the work that it brings.
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
                smooth_fraction: 1.0,
            });
        flow.weight = f64::from(ticket.team_weight.max(1));
        flow.arrivals += 1.0;
        flow.work_ms += ticket.work_ms();
    }

    /// Charges a team for a request that was let in.
    pub(crate) fn charge(&mut self, ticket: &QueueTicket) {
        self.credits.charge(ticket.team.as_ref(), ticket.work_ms());
    }

    /// Folds the arrivals of the last `span_ms` into the rates.
    pub(crate) fn fold(&mut self, span_ms: f64, smooth_ms: f64) {
        for flow in self.flows.values_mut() {
            flow.fold(span_ms, smooth_ms);
        }
        self.flows.retain(|_, flow| flow.rate > FORGET_RATE);
    }

    /// Returns the whole demand in work a second.
    pub(crate) fn total(&self) -> f64 {
        self.flows.values().map(TeamFlow::demand).sum()
    }

    /// Lets everything in.
    pub(crate) fn open(&mut self) {
        self.credits = TeamCredits::default();
        for flow in self.flows.values_mut() {
            flow.fraction = 1.0;
        }
    }

    /// Divides what each class and those above it may use, in work a second, and returns the cuts
    /// that enforce it.
    ///
    /// Critical calls come first, whoever sends them. What is left goes to the teams in max-min
    /// shares by weight of all that they send, and within a team to its classes from the top.
    /// A backlog is charged to the teams over their share of `capacity`, as far as that goes.
    ///
    /// Load pattern: most of many teams are over their share at once. Only the `listed` furthest
    /// over theirs have cuts of their own, as many as an answer can carry; the others share one.
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
        let mut users: Vec<_> = teams.iter().collect();
        users.sort_by(|a, b| b.1.demand.total_cmp(&a.1.demand));
        let share_of = |credits: &TeamCredits, team: &Option<TeamName>, total: &TeamTotal| {
            let over_share = over.get(team);
            over_share.map_or_else(
                || total.share(level),
                |share| (share + credits.rate(team.as_ref())).max(total.critical),
            )
        };
        let mut cuts = ShedThresholds::default();
        if over.len() > listed {
            users.sort_by(|a, b| b.1.use_by_weight().total_cmp(&a.1.use_by_weight()));
            let rest = users.split_off(listed);
            let share = |(team, total): &(&Option<TeamName>, &TeamTotal)| {
                share_of(&self.credits, team, total)
            };
            let capacity: f64 = rest.iter().map(share).sum();
            let names: BTreeSet<Option<&TeamName>> =
                rest.iter().map(|(team, _)| team.as_ref()).collect();
            let is_rest = |team: Option<&TeamName>| names.contains(&team);
            cuts.threshold = self.cut_flows([capacity; ShedClass::COUNT], is_rest);
        }
        for (team, total) in users {
            let share = share_of(&self.credits, team, total);
            let threshold = self.cut_team(team.as_ref(), share);
            if threshold > ShedOrder::FIRST {
                cuts.over_share.push(TeamThreshold {
                    team: team.clone(),
                    threshold,
                });
            }
        }
        cuts
    }

    /// Divides capacity by class alone, the same for every team.
    pub(crate) fn divide_by_class(&mut self, capacities: ClassCapacities) -> ShedThresholds {
        let threshold = self.cut_flows(capacities, |_| true);
        ShedThresholds {
            threshold,
            over_share: Vec::new(),
        }
    }

    fn cut_team(&mut self, team: Option<&TeamName>, capacity: f64) -> ShedOrder {
        self.cut_flows([capacity; ShedClass::COUNT], |other| other == team)
    }

    /// Serves the classes of the flows chosen from the top, and returns where capacity ends.
    fn cut_flows(
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
            let fraction = if demand <= left * ROUNDING {
                1.0
            } else {
                left / demand
            };
            used += demand;
            for flow in &mut flows {
                flow.fraction = fraction;
            }
            if fraction < 1.0 {
                threshold = threshold.max(place(class, fraction));
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

/// All that each team sends.
type TeamTotals = BTreeMap<Option<TeamName>, TeamTotal>;

/// All that one team sends, in work a second.
#[derive(Clone, Copy, Debug, Default)]
struct TeamTotal {
    weight: f64,
    demand: f64,
    critical: f64,
}

impl TeamTotal {
    /// Returns what the team sends for each unit of its weight.
    fn use_by_weight(&self) -> f64 {
        self.demand / self.weight
    }

    /// Returns the team's share when each unit of weight is given `level`.
    fn share(&self, level: f64) -> f64 {
        (level * self.weight).min(self.demand).max(self.critical)
    }
}

/// Returns the level for each unit of weight at which the shares use up a capacity.
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

/// Returns the lower level for the teams over their share at which all use up a capacity.
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
    highest_level(MIN_OVER_SHARE * level, level, |over_level| {
        used(over_level) <= capacity
    })
}

/// Returns the highest level that fits, or `low` when none does.
fn highest_level(mut low: f64, mut high: f64, fits: impl Fn(f64) -> bool) -> f64 {
    if fits(high) {
        return high;
    }
    for _ in 0..LEVEL_STEPS {
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
fn place(class: ShedClass, fraction: f64) -> ShedOrder {
    ShedOrder::from_parts(class, ((1.0 - fraction) * RANKS) as u16)
}
