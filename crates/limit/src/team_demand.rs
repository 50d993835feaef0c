use std::collections::BTreeMap;

use model::{CallImportance, ShedOrder, TeamName};

use crate::{ShedCuts, TeamCut};

/// The ranks within a class.
const RANKS: f64 = 65_536.0;
/// The smallest admitted part from which demand is worked out.
const MIN_FRACTION: f64 = 0.004;
/// Demand below this rate a second is forgotten.
const FORGET_RATE: f64 = 0.01;

/// The demand of one team in one class.
#[derive(Clone, Debug)]
struct TeamFlow {
    weight: f64,
    arrivals: f64,
    rate: f64,
    fraction: f64,
    smooth_fraction: f64,
}

impl TeamFlow {
    /// Returns the requests a second that would come if none were cut.
    fn demand(&self) -> f64 {
        self.rate / self.smooth_fraction.max(MIN_FRACTION)
    }
}

/// The demand of each team in each class, worked out from what is let in.
///
/// Ranks are spread evenly, so the whole demand is what is admitted over the admitted fraction.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    flows: BTreeMap<(CallImportance, Option<TeamName>), TeamFlow>,
}

impl DemandTable {
    /// Counts an arrival that the cuts let in.
    pub(crate) fn count(&mut self, order: ShedOrder, team: Option<&TeamName>, weight: u32) {
        let flow = self
            .flows
            .entry((order.importance(), team.cloned()))
            .or_insert(TeamFlow {
                weight: 1.0,
                arrivals: 0.0,
                rate: 0.0,
                fraction: 1.0,
                smooth_fraction: 1.0,
            });
        flow.weight = f64::from(weight.max(1));
        flow.arrivals += 1.0;
    }

    /// Folds the arrivals of the last `span_ms` into the rates.
    pub(crate) fn fold(&mut self, span_ms: f64, smooth_ms: f64) {
        let gain = 1.0 - (-span_ms / smooth_ms).exp();
        for flow in self.flows.values_mut() {
            let rate = flow.arrivals * 1_000.0 / span_ms;
            flow.rate += gain * (rate - flow.rate);
            flow.smooth_fraction += gain * (flow.fraction - flow.smooth_fraction);
            flow.arrivals = 0.0;
        }
        self.flows.retain(|_, flow| flow.rate > FORGET_RATE);
    }

    /// Returns the whole demand in requests a second.
    pub(crate) fn total(&self) -> f64 {
        self.flows.values().map(TeamFlow::demand).sum()
    }

    /// Lets everything in.
    pub(crate) fn open(&mut self) {
        for flow in self.flows.values_mut() {
            flow.fraction = 1.0;
        }
    }

    /// Divides a capacity in requests a second, and returns the cuts that enforce it.
    ///
    /// Classes are served from the top. Within the class where capacity ends, teams get max-min
    /// shares by weight, or the same fraction each when `is_shared` is false.
    pub(crate) fn divide(&mut self, capacity: f64, is_shared: bool) -> ShedCuts {
        let mut left = capacity;
        let mut cuts = None;
        for class in CallImportance::ALL.into_iter().rev() {
            let demand = self.class_demand(class);
            if demand <= left {
                left -= demand;
                self.admit_class(class);
                continue;
            }
            if cuts.is_none() {
                cuts = Some(self.cut_class(class, left, is_shared));
                left = 0.0;
            } else {
                self.close_class(class);
            }
        }
        cuts.unwrap_or_default()
    }

    fn class_demand(&self, class: CallImportance) -> f64 {
        self.class_flows(class).map(|(_, flow)| flow.demand()).sum()
    }

    fn class_flows(
        &self,
        class: CallImportance,
    ) -> impl Iterator<Item = (&Option<TeamName>, &TeamFlow)> {
        self.flows
            .iter()
            .filter(move |((importance, _), _)| *importance == class)
            .map(|((_, team), flow)| (team, flow))
    }

    fn admit_class(&mut self, class: CallImportance) {
        self.set_fractions(class, |_| 1.0);
    }

    fn close_class(&mut self, class: CallImportance) {
        self.set_fractions(class, |_| 0.0);
    }

    fn set_fractions(&mut self, class: CallImportance, fraction: impl Fn(&TeamFlow) -> f64) {
        for ((importance, _), flow) in &mut self.flows {
            if *importance == class {
                flow.fraction = fraction(flow);
            }
        }
    }

    fn cut_class(&mut self, class: CallImportance, capacity: f64, is_shared: bool) -> ShedCuts {
        if !is_shared {
            let fraction = capacity / self.class_demand(class);
            self.set_fractions(class, |_| fraction);
            return ShedCuts {
                threshold: place(class, fraction),
                over_share: Vec::new(),
            };
        }
        let level = self.water_level(class, capacity);
        self.set_fractions(class, |flow| (level * flow.weight / flow.demand()).min(1.0));
        let over_share = self
            .class_flows(class)
            .filter(|(_, flow)| flow.fraction < 1.0)
            .map(|(team, flow)| TeamCut {
                team: team.clone(),
                threshold: place(class, flow.fraction),
            })
            .collect();
        ShedCuts {
            threshold: place(class, 1.0),
            over_share,
        }
    }

    /// Returns the rate for each unit of weight at which the teams' shares use up a capacity.
    fn water_level(&self, class: CallImportance, capacity: f64) -> f64 {
        let mut wants: Vec<(f64, f64)> = self
            .class_flows(class)
            .map(|(_, flow)| (flow.demand(), flow.weight))
            .collect();
        wants.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut weights: f64 = wants.iter().map(|(_, weight)| weight).sum();
        let mut left = capacity;
        for (demand, weight) in wants {
            let level = left / weights;
            if demand > level * weight {
                return level;
            }
            left -= demand;
            weights -= weight;
        }
        f64::MAX
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float-to-integer casts saturate"
)]
fn place(class: CallImportance, fraction: f64) -> ShedOrder {
    ShedOrder::from_parts(class, ((1.0 - fraction) * RANKS) as u16)
}
