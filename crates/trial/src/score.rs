#![expect(
    clippy::cast_precision_loss,
    reason = "counts and durations are far below 2^52"
)]

use model::CallImportance;

use crate::call::ClientRequest;
use crate::simulation::Simulation;
use crate::simulation_disturbance::{SLOW_SPEED, THRASH_SLOT_SHARE};
use crate::workload::{GREEDY_TEAM, OBSERVE_AFTER_MS, WARM_UP_MS, Workload};

/// The fraction of arrivals served from which the system counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// The window of arrivals in which recovery is measured, in microseconds.
const RECOVERY_WINDOW_US: u64 = 500_000;
/// The step between the starts of recovery windows, in microseconds.
const RECOVERY_STEP_US: u64 = 100_000;

/// The measurements of one simulation run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrialScore {
    /// The work of requests served during the disturbance, as a fraction of the demand or of the
    /// capacity of the bottleneck service, whichever is smaller.
    pub goodput: f64,
    /// The fraction served of requests that don't need the bottleneck service.
    pub unrelated_served: f64,
    /// The time from the end of the disturbance until 95 % of arrivals are served, in milliseconds;
    /// `None` when the disturbance doesn't end. If that is never reached, this is the length of the
    /// observation.
    pub recovery_ms: Option<u64>,
    /// The smallest fraction of its fair share that a team within its rate was served.
    pub worst_team_share: f64,
    /// Refusals while every service of the request had free capacity, as a fraction of all attempts.
    pub unnecessary_refusals: f64,
    /// The refusals of critical requests.
    pub critical_refused: u64,
    /// The refusals of critical requests by a service that had just started a request of lower
    /// importance; when the refusal names no service, the bottleneck service counts.
    pub priority_inversions: u64,
    /// The work spent on failed attempts, as a fraction of capacity, at the service where it is
    /// greatest.
    pub wasted_share: f64,
    /// The fraction served of attempts sent after the end of the disturbance by callers that waited
    /// for their retry delay; `None` without such attempts.
    pub retry_after_served: Option<f64>,
    /// The mean retry delay given to refused callers, in seconds.
    pub mean_retry_after_s: f64,
    /// The attempts made by callers.
    pub attempts: u64,
}

impl TrialScore {
    pub(crate) fn of(simulation: &Simulation) -> Self {
        let window = ScoreWindow::of(simulation);
        let critical: Vec<_> = simulation
            .refusals
            .iter()
            .filter(|refusal| refusal.importance == CallImportance::Critical)
            .collect();
        let unnecessary = simulation
            .refusals
            .iter()
            .filter(|refusal| refusal.had_capacity && refusal.at_us > RECOVERY_WINDOW_US)
            .count();
        Self {
            goodput: window.goodput(simulation),
            unrelated_served: window.unrelated_served(simulation),
            recovery_ms: simulation
                .workload
                .is_temporary()
                .then(|| window.recovery_ms(simulation)),
            worst_team_share: window.worst_team_share(simulation),
            unnecessary_refusals: ratio(unnecessary as f64, simulation.attempts.len() as f64),
            critical_refused: critical.len() as u64,
            priority_inversions: critical
                .iter()
                .filter(|refusal| refusal.is_priority_inversion)
                .count() as u64,
            wasted_share: window.wasted_share(simulation),
            retry_after_served: window.retry_after_served(simulation),
            mean_retry_after_s: mean_retry_after_s(simulation),
            attempts: simulation.attempts.len() as u64,
        }
    }
}

/// The time of the disturbance and the capacity of the bottleneck service during it.
struct ScoreWindow {
    start_us: u64,
    end_us: u64,
    /// The slot time that each request kind takes at the bottleneck service, in milliseconds.
    work_ms: Vec<f64>,
    capacity_ms: f64,
}

impl ScoreWindow {
    fn of(simulation: &Simulation) -> Self {
        let mut speeds = vec![1.0; simulation.firm.services.len()];
        if simulation.workload == Workload::SlowService {
            speeds[simulation.bottleneck] = SLOW_SPEED;
        }
        let work_ms = simulation
            .firm
            .kinds
            .iter()
            .map(|kind| {
                simulation
                    .firm
                    .slot_ms(kind.root, simulation.bottleneck, &speeds)
            })
            .collect();
        let slots: u32 = simulation
            .vms
            .iter()
            .filter(|vm| vm.service == simulation.bottleneck && vm.is_alive)
            .map(|vm| vm.slots)
            .sum();
        let disturbance_ms = simulation.workload.disturbance_ms();
        let slot_share = match simulation.workload {
            Workload::Thrashing => THRASH_SLOT_SHARE,
            _ => 1.0,
        };
        Self {
            start_us: WARM_UP_MS * 1_000,
            end_us: (WARM_UP_MS + disturbance_ms) * 1_000,
            work_ms,
            capacity_ms: f64::from(slots) * slot_share * disturbance_ms as f64,
        }
    }

    fn contains(&self, at_us: u64) -> bool {
        (self.start_us..self.end_us).contains(&at_us)
    }

    /// Returns whether a request was served before the end of the observation.
    fn is_answered(&self, request: &ClientRequest) -> bool {
        let last_us = self.end_us + OBSERVE_AFTER_MS * 1_000;
        request.answered_us.is_some_and(|at_us| at_us <= last_us)
    }

    fn arrived<'a>(
        &'a self,
        simulation: &'a Simulation,
    ) -> impl Iterator<Item = &'a ClientRequest> {
        simulation
            .requests
            .iter()
            .filter(|request| self.contains(request.arrived_us))
    }

    fn goodput(&self, simulation: &Simulation) -> f64 {
        let demand: f64 = self
            .arrived(simulation)
            .map(|request| self.work_ms[request.kind])
            .sum();
        let served: f64 = simulation
            .requests
            .iter()
            .filter(|request| {
                request
                    .answered_us
                    .is_some_and(|at_us| self.contains(at_us))
            })
            .map(|request| self.work_ms[request.kind])
            .sum();
        ratio(served, demand.min(self.capacity_ms))
    }

    fn unrelated_served(&self, simulation: &Simulation) -> f64 {
        let unrelated: Vec<_> = self
            .arrived(simulation)
            .filter(|request| self.work_ms[request.kind] == 0.0)
            .collect();
        let served = unrelated
            .iter()
            .filter(|request| self.is_answered(request))
            .count();
        ratio(served as f64, unrelated.len() as f64)
    }

    fn recovery_ms(&self, simulation: &Simulation) -> u64 {
        let last_us = self.end_us + OBSERVE_AFTER_MS * 1_000 - 4_000_000;
        let mut from_us = self.end_us;
        while from_us < last_us {
            let window = from_us..from_us + RECOVERY_WINDOW_US;
            let arrived = simulation
                .requests
                .iter()
                .filter(|request| window.contains(&request.arrived_us));
            let total = arrived.clone().count();
            let served = arrived.filter(|request| self.is_answered(request)).count();
            if served as f64 >= RECOVERED_SHARE * total as f64 {
                break;
            }
            from_us += RECOVERY_STEP_US;
        }
        (from_us - self.end_us) / 1_000
    }

    fn worst_team_share(&self, simulation: &Simulation) -> f64 {
        let count = simulation.firm.teams.len();
        let mut demand = vec![0.0; count];
        let mut served = vec![0.0; count];
        for request in self.arrived(simulation) {
            let work_ms = self.work_ms[request.kind];
            demand[request.team] += work_ms;
            if self.is_answered(request) {
                served[request.team] += work_ms;
            }
        }
        let fair = fair_shares(&demand, &simulation.firm.teams, self.capacity_ms);
        (0..count)
            .filter(|team| simulation.workload != Workload::GreedyTeam || *team != GREEDY_TEAM)
            .map(|team| ratio(served[team], fair[team]))
            .fold(f64::MAX, f64::min)
    }

    fn retry_after_served(&self, simulation: &Simulation) -> Option<f64> {
        let resent = simulation.attempts.iter().filter(|attempt| {
            attempt.honours_retry_after && attempt.is_finished && attempt.sent_us > self.end_us
        });
        let total = resent.clone().count();
        let served = resent.filter(|attempt| attempt.is_served).count();
        (total > 0).then(|| ratio(served as f64, total as f64))
    }

    fn wasted_share(&self, simulation: &Simulation) -> f64 {
        let mut wasted_ms = vec![0.0; simulation.firm.services.len()];
        for call in &simulation.calls {
            let attempt = &simulation.attempts[call.client_attempt];
            if attempt.is_finished && !attempt.is_served && self.contains(attempt.sent_us) {
                wasted_ms[simulation.firm.calls[call.plan].service] += call.work_ms;
            }
        }
        let window_ms = (self.end_us - self.start_us) as f64 / 1_000.0;
        let slots = slots_of(simulation);
        (0..wasted_ms.len())
            .map(|service| wasted_ms[service] / (slots[service] * window_ms))
            .fold(0.0, f64::max)
    }
}

/// Returns the mean retry delay given to callers, in seconds.
fn mean_retry_after_s(simulation: &Simulation) -> f64 {
    let delays_ms = simulation
        .attempts
        .iter()
        .map(|attempt| attempt.retry_after_ms);
    let delays_ms: Vec<u64> = delays_ms
        .filter(|retry_after_ms| *retry_after_ms > 0)
        .collect();
    let sum_ms: u64 = delays_ms.iter().sum();
    sum_ms as f64 / 1_000.0 / delays_ms.len().max(1) as f64
}

/// Returns the slots of each service, including those of failed VMs.
fn slots_of(simulation: &Simulation) -> Vec<f64> {
    let mut slots = vec![0.0; simulation.firm.services.len()];
    for vm in &simulation.vms {
        slots[vm.service] += f64::from(vm.slots);
    }
    slots
}

/// Returns the weighted max-min fair shares of a capacity.
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

fn ratio(share: f64, whole: f64) -> f64 {
    if whole == 0.0 { 1.0 } else { share / whole }
}
