#![expect(
    clippy::cast_precision_loss,
    reason = "counts and spans are far below 2^52"
)]

use model::CallImportance;

use crate::call::ClientRequest;
use crate::workload::{AFTER_MS, GREEDY_TEAM, WARM_MS, Workload};
use crate::world::TrialWorld;
use crate::world_script::{SLOW_SPEED, THRASH_SLOTS};

/// The part of normal goodput that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// The span of arrivals over which recovery is judged, in microseconds.
const RECOVERY_SPAN_US: u64 = 500_000;
/// The steps in which recovery is sought, in microseconds.
const RECOVERY_STEP_US: u64 = 100_000;

/// What the callers got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrialScore {
    /// Work of whole requests answered during the strain, as a share of what the scarcest
    /// service could serve of the demand.
    pub goodput: f64,
    /// Whole requests answered of those that don't need the scarcest service.
    pub spared: f64,
    /// The time from the end of the cause to 0.95 of normal goodput, in milliseconds; `None`
    /// when the cause doesn't end. What isn't reached while observed counts as the time observed.
    pub recovery_ms: Option<u64>,
    /// The worst share of its fair share that a team within its rate got.
    pub worst_team: f64,
    /// Refusals with capacity free, as a share of all tries.
    pub wrongful: f64,
    /// Critical requests refused.
    pub critical_refused: u64,
    /// Critical requests refused by a service while it started a lesser one, or while the
    /// scarcest service did when the refusal names none.
    pub inverted: u64,
    /// Work on tries that failed, as a share of capacity, at the service where it is greatest.
    pub wasted: f64,
    /// The share served of tries that came when their caller had been told to, once the cause
    /// had ended; `None` without such tries.
    pub told_served: Option<f64>,
    /// The mean time after which refused callers were told to come back, in seconds.
    pub told_s: f64,
    /// The tries that callers made.
    pub tries: u64,
}

impl TrialScore {
    pub(crate) fn of(world: &TrialWorld) -> Self {
        let window = ScoreWindow::of(world);
        let critical: Vec<_> = world
            .notes
            .iter()
            .filter(|note| note.importance == CallImportance::Critical)
            .collect();
        let free = world
            .notes
            .iter()
            .filter(|note| note.was_free && note.at_us > RECOVERY_SPAN_US)
            .count();
        Self {
            goodput: window.goodput(world),
            spared: window.spared(world),
            recovery_ms: world.workload.ends().then(|| window.recovery_ms(world)),
            worst_team: window.worst_team(world),
            wrongful: ratio(free as f64, world.tries.len() as f64),
            critical_refused: critical.len() as u64,
            inverted: critical.iter().filter(|note| note.was_inverted).count() as u64,
            wasted: window.wasted(world),
            told_served: window.told_served(world),
            told_s: told_s(world),
            tries: world.tries.len() as u64,
        }
    }
}

/// The time of strain, with what the scarcest service can do in it.
struct ScoreWindow {
    start_us: u64,
    end_us: u64,
    /// The work of each kind of request at the scarcest service, in milliseconds.
    work_ms: Vec<f64>,
    capacity_ms: f64,
}

impl ScoreWindow {
    fn of(world: &TrialWorld) -> Self {
        let mut speeds = vec![1.0; world.firm.services.len()];
        if world.workload == Workload::SlowService {
            speeds[world.scarcest] = SLOW_SPEED;
        }
        let work_ms = world
            .firm
            .kinds
            .iter()
            .map(|kind| world.firm.slot_ms(kind.root, world.scarcest, &speeds))
            .collect();
        let slots: u32 = world
            .vms
            .iter()
            .filter(|vm| vm.service == world.scarcest && vm.is_alive)
            .map(|vm| vm.slots)
            .sum();
        let strain_ms = world.workload.strain_ms();
        let slot_share = match world.workload {
            Workload::Thrashing => THRASH_SLOTS,
            _ => 1.0,
        };
        Self {
            start_us: WARM_MS * 1_000,
            end_us: (WARM_MS + strain_ms) * 1_000,
            work_ms,
            capacity_ms: f64::from(slots) * slot_share * strain_ms as f64,
        }
    }

    fn holds(&self, at_us: u64) -> bool {
        (self.start_us..self.end_us).contains(&at_us)
    }

    /// Returns whether a request was answered soon enough to count.
    fn is_answered(&self, request: &ClientRequest) -> bool {
        let last_us = self.end_us + AFTER_MS * 1_000;
        request.answered_us.is_some_and(|at_us| at_us <= last_us)
    }

    fn arrived<'a>(&'a self, world: &'a TrialWorld) -> impl Iterator<Item = &'a ClientRequest> {
        world
            .requests
            .iter()
            .filter(|request| self.holds(request.arrived_us))
    }

    fn goodput(&self, world: &TrialWorld) -> f64 {
        let demand: f64 = self
            .arrived(world)
            .map(|request| self.work_ms[request.kind])
            .sum();
        let good: f64 = world
            .requests
            .iter()
            .filter(|request| request.answered_us.is_some_and(|at_us| self.holds(at_us)))
            .map(|request| self.work_ms[request.kind])
            .sum();
        ratio(good, demand.min(self.capacity_ms))
    }

    fn spared(&self, world: &TrialWorld) -> f64 {
        let others: Vec<_> = self
            .arrived(world)
            .filter(|request| self.work_ms[request.kind] == 0.0)
            .collect();
        let good = others
            .iter()
            .filter(|request| self.is_answered(request))
            .count();
        ratio(good as f64, others.len() as f64)
    }

    fn recovery_ms(&self, world: &TrialWorld) -> u64 {
        let last_us = self.end_us + AFTER_MS * 1_000 - 4_000_000;
        let mut from_us = self.end_us;
        while from_us < last_us {
            let span = from_us..from_us + RECOVERY_SPAN_US;
            let arrived = world
                .requests
                .iter()
                .filter(|request| span.contains(&request.arrived_us));
            let total = arrived.clone().count();
            let good = arrived.filter(|request| self.is_answered(request)).count();
            if good as f64 >= RECOVERED_SHARE * total as f64 {
                break;
            }
            from_us += RECOVERY_STEP_US;
        }
        (from_us - self.end_us) / 1_000
    }

    fn worst_team(&self, world: &TrialWorld) -> f64 {
        let count = world.firm.teams.len();
        let mut demand = vec![0.0; count];
        let mut good = vec![0.0; count];
        for request in self.arrived(world) {
            let work_ms = self.work_ms[request.kind];
            demand[request.team] += work_ms;
            if self.is_answered(request) {
                good[request.team] += work_ms;
            }
        }
        let fair = fair_shares(&demand, &world.firm.teams, self.capacity_ms);
        (0..count)
            .filter(|team| world.workload != Workload::GreedyTeam || *team != GREEDY_TEAM)
            .map(|team| ratio(good[team], fair[team]))
            .fold(f64::MAX, f64::min)
    }

    fn told_served(&self, world: &TrialWorld) -> Option<f64> {
        let came = world
            .tries
            .iter()
            .filter(|tried| tried.comes_as_told && tried.is_over && tried.sent_us > self.end_us);
        let total = came.clone().count();
        let good = came.filter(|tried| tried.is_good).count();
        (total > 0).then(|| ratio(good as f64, total as f64))
    }

    fn wasted(&self, world: &TrialWorld) -> f64 {
        let mut wasted_ms = vec![0.0; world.firm.services.len()];
        for call in &world.calls {
            let tried = &world.tries[call.client_try];
            if tried.is_over && !tried.is_good && self.holds(tried.sent_us) {
                wasted_ms[world.firm.calls[call.plan].service] += call.work_ms;
            }
        }
        let window_ms = (self.end_us - self.start_us) as f64 / 1_000.0;
        let slots = slots_of(world);
        (0..wasted_ms.len())
            .map(|service| wasted_ms[service] / (slots[service] * window_ms))
            .fold(0.0, f64::max)
    }
}

/// Returns the mean time after which callers were told to come back, in seconds.
fn told_s(world: &TrialWorld) -> f64 {
    let told = world.tries.iter().map(|tried| tried.told_ms);
    let told: Vec<u64> = told.filter(|told_ms| *told_ms > 0).collect();
    let sum_ms: u64 = told.iter().sum();
    sum_ms as f64 / 1_000.0 / told.len().max(1) as f64
}

/// Returns the slots of each service, those of VMs that are gone included.
fn slots_of(world: &TrialWorld) -> Vec<f64> {
    let mut slots = vec![0.0; world.firm.services.len()];
    for vm in &world.vms {
        slots[vm.service] += f64::from(vm.slots);
    }
    slots
}

/// Returns max-min shares of a capacity by weight.
fn fair_shares(demand: &[f64], weights: &[u32], capacity: f64) -> Vec<f64> {
    let share = |level: f64| -> Vec<f64> {
        demand
            .iter()
            .zip(weights)
            .map(|(demand, weight)| demand.min(level * f64::from(*weight)))
            .collect()
    };
    let (mut low, mut high) = (0.0, capacity);
    for _ in 0..60 {
        let middle = f64::midpoint(low, high);
        if share(middle).iter().sum::<f64>() > capacity {
            high = middle;
        } else {
            low = middle;
        }
    }
    share(low)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole == 0.0 { 1.0 } else { part / whole }
}
