use graph::RefusedRequest;
use model::{RefusalReason, RequestId, ServiceName, ShedOrder};
use rand::Rng;

use crate::call::{CallResult, ClientAttempt, ClientRequest, RefusalRecord};
use crate::event::SimulationEvent;
use crate::firm::FirmService;
use crate::placement_score::is_measured;
use crate::policy::NodeKind;
use crate::simulation::{CLIENT_DELAY_US, Simulation};

/// The resends of a caller per request.
const RESENDS: u32 = 3;
/// The shortest and the longest delay before a caller resends a request, in microseconds.
const RESEND_DELAY_US: (u64, u64) = (20_000, 120_000);
/// A refusal counts as a priority inversion when a request of lower importance started at most
/// this long before, in microseconds.
const INVERSION_WINDOW_US: u64 = 10_000;

impl Simulation {
    /// Sends a new request of a random team and kind, and schedules the next arrival.
    pub(crate) fn next_arrival(&mut self) {
        let weights: Vec<f64> = (0..self.firm.teams.len())
            .map(|team| self.team_rate(team))
            .collect();
        let total: f64 = weights.iter().sum();
        let team = pick_weighted(self.arrival_random.random::<f64>() * total, &weights);
        let shares: Vec<f64> = self.firm.kinds.iter().map(|kind| kind.share).collect();
        let kind = pick_weighted(self.arrival_random.random::<f64>(), &shares);
        self.requests.push(ClientRequest {
            kind,
            team,
            arrived_us: self.now_us,
            answered_us: None,
            resends_left: RESENDS,
            honours_retry_after: false,
        });
        self.send_attempt(self.requests.len() - 1);
        let gap = -(1.0 - self.arrival_random.random::<f64>()).ln() / total;
        self.events
            .push(self.now_us + to_us(gap), SimulationEvent::NextArrival);
    }

    /// Returns the demand of a team, in requests per second.
    fn team_rate(&self, team: usize) -> f64 {
        let weight_sum: u32 = self.firm.teams.iter().sum();
        let share = f64::from(self.firm.teams[team]) / f64::from(weight_sum);
        let demand = if self.is_disturbed {
            self.workload.disturbed_demand() * self.workload.team_factor(team)
        } else {
            self.workload.base_demand()
        };
        self.capacity_per_s * demand * share
    }

    /// Sends a request to a node chosen at random.
    pub(crate) fn send_attempt(&mut self, request: usize) {
        let kind = &self.firm.kinds[self.requests[request].kind];
        let id = RequestId::from_random(self.random.random());
        let order = ShedOrder::new(kind.importance, id);
        let timeout_us = kind.timeout_ms * 1_000;
        let entry_vm = if self.has_uneven_hosts() {
            self.swinging_entry()
        } else {
            let known: Vec<usize> = (0..self.vms.len())
                .filter(|vm| self.vms[*vm].is_known)
                .collect();
            known[self.random.random_range(0..known.len())]
        };
        self.attempts.push(ClientAttempt {
            request,
            entry_vm,
            order,
            sent_us: self.now_us,
            deadline_us: self.now_us + timeout_us - CLIENT_DELAY_US,
            root: None,
            is_finished: false,
            is_served: false,
            refused_by: None,
            retry_after_ms: 0,
            honours_retry_after: self.requests[request].honours_retry_after,
        });
        let client_attempt = self.attempts.len() - 1;
        self.events.push(
            self.now_us + CLIENT_DELAY_US,
            SimulationEvent::AttemptArrives(client_attempt),
        );
        self.events.push(
            self.now_us + timeout_us,
            SimulationEvent::ClientTimeout(client_attempt),
        );
    }

    /// Handles an attempt at its entry node.
    pub(crate) fn handle_at_entry(&mut self, client_attempt: usize) {
        let entry_vm = self.attempts[client_attempt].entry_vm;
        if !self.vms[entry_vm].is_alive {
            self.answer_client(client_attempt, CallResult::Failed);
            return;
        }
        if self.attempts[client_attempt].is_finished {
            return;
        }
        let root = self.firm.kinds[self.request_kind(client_attempt)].root;
        if self.policy.kind == NodeKind::Policy
            && self.policy.checks_chain
            && !self.chain_admits(client_attempt, root)
        {
            self.answer_client(client_attempt, CallResult::Refused(true));
            return;
        }
        let call = self.new_call(client_attempt, root, None, entry_vm);
        self.attempts[client_attempt].root = Some(call);
        self.send_call(call);
    }

    fn chain_admits(&mut self, client_attempt: usize, root: usize) -> bool {
        let attempt = &self.attempts[client_attempt];
        let team = &self.team_names[self.requests[attempt.request].team];
        let admission = &self.vms[attempt.entry_vm].admission;
        let (now, target) = (self.now(), &self.targets[root]);
        let left_ms = attempt.deadline_us.saturating_sub(self.now_us) / 1_000;
        let admitted = admission.admit(now, target, attempt.order, Some(team), left_ms);
        let Err(refusal) = admitted else {
            return true;
        };
        self.attempts[client_attempt].retry_after_ms = refusal.retry_after_ms;
        if refusal.reason == RefusalReason::Overloaded {
            let services = &self.firm.services;
            let is_refusing = |service: &FirmService| service.name == refusal.service.as_str();
            self.attempts[client_attempt].refused_by = services.iter().position(is_refusing);
        }
        false
    }

    pub(crate) fn request_kind(&self, client_attempt: usize) -> usize {
        self.requests[self.attempts[client_attempt].request].kind
    }

    /// Sends the answer of the entry node to the caller.
    pub(crate) fn answer_client(&mut self, client_attempt: usize, result: CallResult) {
        if result != CallResult::Done && is_measured(self.workload, self.now_us) {
            self.placement.refused += 1;
        }
        let is_refused = matches!(result, CallResult::Refused(_) | CallResult::ChildFailed);
        if is_refused && !self.attempts[client_attempt].is_finished {
            self.record_refusal(client_attempt);
        }
        if self.policy.kind == NodeKind::Policy && self.policy.checks_chain {
            self.update_entry_admission(client_attempt, result, is_refused);
        }
        let event =
            SimulationEvent::ClientAnswered(client_attempt, result == CallResult::Done, is_refused);
        self.events.push(self.now_us + CLIENT_DELAY_US, event);
    }

    /// Records a served request at the entry node, or sets the retry delay of a refused one.
    fn update_entry_admission(
        &mut self,
        client_attempt: usize,
        result: CallResult,
        is_refused: bool,
    ) {
        let now = self.now();
        let attempt = &mut self.attempts[client_attempt];
        let request = &self.requests[attempt.request];
        let team = Some(&self.team_names[request.team]);
        let root = self.firm.kinds[request.kind].root;
        let target = &self.targets[root];
        let admission = &mut self.vms[attempt.entry_vm].admission;
        if result == CallResult::Done {
            admission.observe_served(now, target, team, (self.now_us - attempt.sent_us) / 1_000);
        }
        if is_refused && attempt.retry_after_ms > 0 {
            let refused_by = attempt.refused_by.unwrap_or(self.firm.calls[root].service);
            let service = ServiceName::new(self.firm.services[refused_by].name);
            let refused = RefusedRequest {
                service: &service,
                target,
                team,
                order: attempt.order,
            };
            attempt.retry_after_ms = admission.retry_after_ms(now, refused);
        }
    }

    fn record_refusal(&mut self, client_attempt: usize) {
        let kind = &self.firm.kinds[self.request_kind(client_attempt)];
        let (root, importance) = (kind.root, kind.importance);
        let refused_by = self.attempts[client_attempt].refused_by;
        let refusing_service = refused_by.unwrap_or(self.bottleneck);
        let starts = &self.last_start_us[refusing_service];
        let started_lower = starts[..importance as usize]
            .iter()
            .any(|start| *start > 0 && start + INVERSION_WINDOW_US > self.now_us);
        let uses_service = self.plan_services[root].contains(&refusing_service);
        self.refusals.push(RefusalRecord {
            at_us: self.now_us,
            importance,
            had_capacity: self.has_capacity(root),
            is_priority_inversion: uses_service && started_lower,
        });
    }

    /// Handles an answer at the caller.
    pub(crate) fn client_answered(
        &mut self,
        client_attempt: usize,
        is_served: bool,
        is_refused: bool,
    ) {
        let attempt = &mut self.attempts[client_attempt];
        if attempt.is_finished {
            return;
        }
        attempt.is_finished = true;
        attempt.is_served = is_served;
        let request = attempt.request;
        if is_served {
            self.requests[request].answered_us = Some(self.now_us);
        } else {
            let retry_after_ms = if is_refused {
                attempt.retry_after_ms
            } else {
                0
            };
            self.resend(request, retry_after_ms);
        }
    }

    /// Handles the timeout of an attempt at the caller.
    pub(crate) fn client_timeout(&mut self, client_attempt: usize) {
        let attempt = &mut self.attempts[client_attempt];
        if attempt.is_finished {
            return;
        }
        attempt.is_finished = true;
        let (request, root) = (attempt.request, attempt.root);
        self.resend(request, 0);
        if self.policy.kind == NodeKind::Policy
            && self.policy.cancels
            && let Some(call) = root
        {
            self.events.push(
                self.now_us + CLIENT_DELAY_US,
                SimulationEvent::CancelArrives(call),
            );
        }
    }

    fn resend(&mut self, request: usize, retry_after_ms: u64) {
        let (low, high) = RESEND_DELAY_US;
        let default_wait_us = self.random.random_range(low..high);
        let record = &mut self.requests[request];
        if record.resends_left == 0 {
            return;
        }
        record.resends_left -= 1;
        record.honours_retry_after = self.policy.callers_back_off && retry_after_ms > 0;
        let wait_us = if record.honours_retry_after {
            retry_after_ms * 1_000
        } else {
            default_wait_us
        };
        self.events
            .push(self.now_us + wait_us, SimulationEvent::Resend(request));
    }
}

/// Returns the index at which the running sum of the weights exceeds a point.
fn pick_weighted(point: f64, weights: &[f64]) -> usize {
    let mut left = point;
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return index;
        }
        left -= weight;
    }
    weights.len() - 1
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "gaps are small and positive"
)]
fn to_us(seconds: f64) -> u64 {
    (seconds * 1_000_000.0).ceil() as u64
}
