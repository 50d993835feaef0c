use std::collections::{BTreeMap, BTreeSet};

use model::{CallImportance, ShedClass, ShedOrder, TeamName};

use crate::team_credits::TeamCredits;
use crate::{QueueTicket, ShedThresholds, TeamThreshold};

/// The number of ranks within a class: [`ShedOrder::rank`] is the hash of a request to 16 bits.
const RANKS_PER_CLASS: f64 = 65_536.0;
/// The smallest admitted fraction that demand is extrapolated from, which bounds the estimate while
/// nearly all requests are shed.
const MIN_EXTRAPOLATED_FRACTION: f64 = 0.004;
/// Flows with less admitted work than this are removed, in milliseconds of work per second.
const MIN_WORK_MS_PER_S: f64 = 0.01;
/// Rates are smoothed over the time in which this many requests arrive.
const SMOOTHING_ARRIVALS: f64 = 20.0;
/// The longest time constant of the smoothing, as a multiple of the configured one.
const MAX_SMOOTHING_FACTOR: f64 = 8.0;
/// The smallest fraction to which the shares of teams over their share are reduced while a backlog
/// is drained.
const MIN_REDUCED_SHARE: f64 = 0.2;
/// The steps of the binary search for a share level.
const SHARE_LEVEL_STEPS: u32 = 40;
/// Demand of up to this multiple of the capacity counts as within it, so that rounding errors shed
/// nothing.
const ROUNDING_TOLERANCE: f64 = 1.000_001;

/// The lowest class of critical requests.
const FIRST_CRITICAL: ShedClass =
    ShedClass::new(CallImportance::Critical, CallImportance::Background);

/// The work per second that each class and all more important ones may use together, indexed by
/// class from the least important. The first entry is thus the capacity for all requests.
pub(crate) type ClassCapacities = [f64; ShedClass::COUNT];

/// The demand of one team in one class.
#[derive(Clone, Debug)]
struct TeamFlow {
    /// The team's weight in the division of capacity.
    weight: f64,
    /// The admitted requests since the last update of the rates.
    arrivals: f64,
    /// The admitted work since the last update of the rates.
    work_ms: f64,
    /// The smoothed number of admitted requests per second.
    arrival_rate: f64,
    /// The smoothed admitted work, in milliseconds per second.
    work_rate: f64,
    /// The fraction of requests that the current thresholds admit.
    admitted_fraction: f64,
    /// The admitted fraction, smoothed like the rates.
    smoothed_fraction: f64,
}

impl TeamFlow {
    /// Returns the work per second that would arrive if nothing were shed.
    fn demand(&self) -> f64 {
        self.work_rate / self.smoothed_fraction.max(MIN_EXTRAPOLATED_FRACTION)
    }

    /// Updates the smoothed values with the arrivals of the last `span_ms`. The time constant is at
    /// least `smoothing_ms` and longer for a flow with few arrivals.
    fn update_rates(&mut self, span_ms: f64, smoothing_ms: f64) {
        let window_ms = SMOOTHING_ARRIVALS * 1_000.0 / self.arrival_rate.max(f64::MIN_POSITIVE);
        let smoothing_ms = window_ms.clamp(smoothing_ms, smoothing_ms * MAX_SMOOTHING_FACTOR);
        let gain = 1.0 - (-span_ms / smoothing_ms).exp();
        let per_second = 1_000.0 / span_ms;
        self.arrival_rate += gain * (self.arrivals * per_second - self.arrival_rate);
        self.work_rate += gain * (self.work_ms * per_second - self.work_rate);
        self.smoothed_fraction += gain * (self.admitted_fraction - self.smoothed_fraction);
        self.arrivals = 0.0;
        self.work_ms = 0.0;
    }
}

/// The demand of each team in each class, extrapolated from what is admitted.
///
/// A request's rank within its class is a hash that is distributed evenly, so demand is estimated as
/// the admitted work divided by the admitted fraction.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    flows: BTreeMap<(ShedClass, Option<TeamName>), TeamFlow>,
    credits: TeamCredits,
}

impl DemandTable {
    /// Counts the work of an arrival that passed the thresholds, from which demand is estimated.
    pub(crate) fn record_arrival(&mut self, ticket: &QueueTicket) {
        let flow = self
            .flows
            .entry((ticket.order.class(), ticket.team.clone()))
            .or_insert(TeamFlow {
                weight: 1.0,
                arrivals: 0.0,
                work_ms: 0.0,
                arrival_rate: 0.0,
                work_rate: 0.0,
                admitted_fraction: 1.0,
                smoothed_fraction: 1.0,
            });
        flow.weight = f64::from(ticket.team_weight.max(1));
        flow.arrivals += 1.0;
        flow.work_ms += ticket.work_ms();
    }

    /// Counts the work of an admitted request, including one exempt from the thresholds, against its
    /// team's share.
    pub(crate) fn charge(&mut self, ticket: &QueueTicket) {
        self.credits.charge(ticket.team.as_ref(), ticket.work_ms());
    }

    /// Updates the smoothed rates of all flows with the arrivals of the last `span_ms`, and removes
    /// flows with almost no admitted work.
    pub(crate) fn update_rates(&mut self, span_ms: f64, smoothing_ms: f64) {
        for flow in self.flows.values_mut() {
            flow.update_rates(span_ms, smoothing_ms);
        }
        self.flows
            .retain(|_, flow| flow.work_rate > MIN_WORK_MS_PER_S);
    }

    /// Returns the total demand in work per second.
    pub(crate) fn total_demand(&self) -> f64 {
        self.flows.values().map(TeamFlow::demand).sum()
    }

    /// Records that the thresholds admit everything, and clears the credits of all teams.
    pub(crate) fn reset_shedding(&mut self) {
        self.credits = TeamCredits::default();
        for flow in self.flows.values_mut() {
            flow.admitted_fraction = 1.0;
        }
    }

    /// Divides capacity among teams and classes, and returns the thresholds that enforce the
    /// division.
    ///
    /// `capacity` is the work per second that the backend server can do; `capacities` is what may be
    /// admitted now, which is less while a backlog is drained and more while the queue is short.
    ///
    /// Critical calls are served first, whichever team sends them. The rest is divided among the
    /// teams by weighted max-min fairness over each team's demand in all classes, and within a team
    /// among its classes, the most important first. The capacity needed to drain a backlog is taken
    /// from the teams over their share of `capacity`, down to [`MIN_REDUCED_SHARE`] of their shares.
    /// A team over its share also gets or loses [`TeamCredits`]. If critical calls alone use up their
    /// capacity, it is divided by class instead.
    ///
    /// With many teams, most of them can be over their share at once, but each answer carries the
    /// thresholds of only `max_listed` teams. If more are over their share, those with the highest
    /// demand per weight get a threshold of their own, and all other teams share one.
    pub(crate) fn divide_by_team(
        &mut self,
        capacities: ClassCapacities,
        capacity: f64,
        max_listed: usize,
    ) -> ShedThresholds {
        let critical = self.critical_demand();
        if critical >= capacities[FIRST_CRITICAL.index()] {
            return self.divide_by_class(capacities);
        }
        let teams = self.team_totals();
        let level = share_level(&teams, capacity.max(capacities[0]));
        let reduced_level = reduced_level(&teams, level, capacities[0]);
        let over_shares: BTreeMap<Option<TeamName>, f64> = teams
            .iter()
            .filter(|(_, total)| total.demand > level * total.weight)
            .map(|(team, total)| (team.clone(), total.share(reduced_level)))
            .collect();
        self.credits.settle(&over_shares);
        // The teams with the highest demand are listed first.
        let mut ordered_teams: Vec<_> = teams.iter().collect();
        ordered_teams.sort_by(|a, b| b.1.demand.total_cmp(&a.1.demand));
        let share_of = |credits: &TeamCredits, team: &Option<TeamName>, total: &TeamTotal| {
            let reduced_share = over_shares.get(team);
            reduced_share.map_or_else(
                || total.share(level),
                |share| (share + credits.rate(team.as_ref())).max(total.critical),
            )
        };
        let mut thresholds = ShedThresholds::default();
        if over_shares.len() > max_listed {
            ordered_teams
                .sort_by(|a, b| b.1.demand_per_weight().total_cmp(&a.1.demand_per_weight()));
            let unlisted = ordered_teams.split_off(max_listed);
            let share = |(team, total): &(&Option<TeamName>, &TeamTotal)| {
                share_of(&self.credits, team, total)
            };
            let unlisted_capacity: f64 = unlisted.iter().map(share).sum();
            let names: BTreeSet<Option<&TeamName>> =
                unlisted.iter().map(|(team, _)| team.as_ref()).collect();
            let is_unlisted = |team: Option<&TeamName>| names.contains(&team);
            thresholds.threshold =
                self.allocate_to_flows([unlisted_capacity; ShedClass::COUNT], is_unlisted);
        }
        for (team, total) in ordered_teams {
            let share = share_of(&self.credits, team, total);
            let threshold = self.allocate_to_team(team.as_ref(), share);
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
        let threshold = self.allocate_to_flows(capacities, |_| true);
        ShedThresholds {
            threshold,
            over_share: Vec::new(),
        }
    }

    fn allocate_to_team(&mut self, team: Option<&TeamName>, capacity: f64) -> ShedOrder {
        self.allocate_to_flows([capacity; ShedClass::COUNT], |other| other == team)
    }

    /// Allocates capacity to the classes of the chosen flows, the most important first, and sets the
    /// admitted fraction of each. Returns the threshold at which the capacity is used up.
    fn allocate_to_flows(
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
            let remaining = (capacities[class.index()] - used).max(0.0);
            let fraction = if demand <= remaining * ROUNDING_TOLERANCE {
                1.0
            } else {
                remaining / demand
            };
            used += demand;
            for flow in &mut flows {
                flow.admitted_fraction = fraction;
            }
            if fraction < 1.0 {
                threshold = threshold.max(threshold_for(class, fraction));
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
    fn demand_per_weight(&self) -> f64 {
        self.demand / self.weight
    }

    /// Returns the team's share when each unit of weight gets `level`: at most its demand, at least
    /// its critical demand.
    fn share(&self, level: f64) -> f64 {
        (level * self.weight).min(self.demand).max(self.critical)
    }
}

/// Returns the level, in work per second and unit of weight, at which the shares of all teams use up
/// the capacity.
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
fn reduced_level(teams: &TeamTotals, level: f64, capacity: f64) -> f64 {
    let used = |reduced_level: f64| -> f64 {
        teams
            .values()
            .map(|total| {
                let is_over = total.demand > level * total.weight;
                total.share(if is_over { reduced_level } else { level })
            })
            .sum()
    };
    highest_level(MIN_REDUCED_SHARE * level, level, |reduced_level| {
        used(reduced_level) <= capacity
    })
}

/// Searches for the highest level that fits between `low` and `high`; returns `low` when none does.
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

/// Returns the threshold that admits a fraction of a class and all requests of the classes above it.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float-to-integer casts saturate"
)]
fn threshold_for(class: ShedClass, fraction: f64) -> ShedOrder {
    ShedOrder::from_parts(class, ((1.0 - fraction) * RANKS_PER_CLASS) as u16)
}
