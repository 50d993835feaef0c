use graph::RefusedRequest;
use model::{RefusalReason, RequestId, ServiceName, ShedOrder};
use rand::Rng;

use crate::call::{CallResult, ClientRequest, ClientTry, RefusalNote};
use crate::event::TrialEvent;
use crate::firm::FirmService;
use crate::policy::NodeKind;
use crate::world::{CLIENT_US, TrialWorld};

/// The times that a caller sends a request again.
const RESENDS: u32 = 3;
/// Bounds of the wait before a caller sends again, in microseconds.
const RESEND_US: (u64, u64) = (20_000, 120_000);
/// A lesser start this short before a refusal counts as served at the same time, in
/// microseconds.
const INVERSION_US: u64 = 10_000;

impl TrialWorld {
    /// Lets a caller send a new request, and plans the next one.
    pub(crate) fn next_arrival(&mut self) {
        let weights: Vec<f64> = (0..self.firm.teams.len())
            .map(|team| self.team_rate(team))
            .collect();
        let total: f64 = weights.iter().sum();
        let team = pick(self.arrivals.random::<f64>() * total, &weights);
        let shares: Vec<f64> = self.firm.kinds.iter().map(|kind| kind.share).collect();
        let kind = pick(self.arrivals.random::<f64>(), &shares);
        self.requests.push(ClientRequest {
            kind,
            team,
            arrived_us: self.now_us,
            answered_us: None,
            resends_left: RESENDS,
            comes_as_told: false,
        });
        self.send_try(self.requests.len() - 1);
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / total;
        self.events
            .push(self.now_us + to_us(gap), TrialEvent::NextArrival);
    }

    /// Returns a team's demand in requests a second.
    fn team_rate(&self, team: usize) -> f64 {
        let weight_sum: u32 = self.firm.teams.iter().sum();
        let share = f64::from(self.firm.teams[team]) / f64::from(weight_sum);
        let demand = if self.is_strained {
            self.workload.strain_demand() * self.workload.team_factor(team)
        } else {
            self.workload.base_demand()
        };
        self.base_rate * demand * share
    }

    /// Sends a request to a node picked at random.
    pub(crate) fn send_try(&mut self, request: usize) {
        let kind = &self.firm.kinds[self.requests[request].kind];
        let id = RequestId::from_random(self.random.random());
        let order = ShedOrder::new(kind.importance, id);
        let timeout_us = kind.timeout_ms * 1_000;
        let known: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].is_known)
            .collect();
        let entry = known[self.random.random_range(0..known.len())];
        self.tries.push(ClientTry {
            request,
            entry,
            order,
            sent_us: self.now_us,
            deadline_us: self.now_us + timeout_us - CLIENT_US,
            root: None,
            is_over: false,
            is_good: false,
            refused_by: None,
            told_ms: 0,
            comes_as_told: self.requests[request].comes_as_told,
        });
        let client_try = self.tries.len() - 1;
        self.events.push(
            self.now_us + CLIENT_US,
            TrialEvent::EntryArrives(client_try),
        );
        self.events.push(
            self.now_us + timeout_us,
            TrialEvent::ClientTimeout(client_try),
        );
    }

    /// Handles a try at its entry node.
    pub(crate) fn enter(&mut self, client_try: usize) {
        let entry = self.tries[client_try].entry;
        if !self.vms[entry].is_alive {
            self.answer_client(client_try, CallResult::Failed);
            return;
        }
        if self.tries[client_try].is_over {
            return;
        }
        let root = self.firm.kinds[self.kind_of(client_try)].root;
        if self.policy.kind == NodeKind::Policy
            && self.policy.checks_chain
            && !self.chain_admits(client_try, root)
        {
            self.answer_client(client_try, CallResult::Refused(true));
            return;
        }
        let call = self.new_call(client_try, root, None, entry);
        self.tries[client_try].root = Some(call);
        self.send_call(call);
    }

    fn chain_admits(&mut self, client_try: usize, root: usize) -> bool {
        let tried = &self.tries[client_try];
        let team = &self.team_names[self.requests[tried.request].team];
        let admission = &self.vms[tried.entry].admission;
        let (now, target) = (self.now(), &self.targets[root]);
        let left_ms = tried.deadline_us.saturating_sub(self.now_us) / 1_000;
        let admitted = admission.admit(now, target, tried.order, Some(team), left_ms);
        let Err(refusal) = admitted else {
            return true;
        };
        self.tries[client_try].told_ms = refusal.retry_after_ms;
        if refusal.reason == RefusalReason::Overloaded {
            let services = &self.firm.services;
            let is_named = |service: &FirmService| service.name == refusal.service.as_str();
            self.tries[client_try].refused_by = services.iter().position(is_named);
        }
        false
    }

    pub(crate) fn kind_of(&self, client_try: usize) -> usize {
        self.requests[self.tries[client_try].request].kind
    }

    /// Sends the answer of the entry node to the caller.
    pub(crate) fn answer_client(&mut self, client_try: usize, result: CallResult) {
        let is_refused = matches!(result, CallResult::Refused(_) | CallResult::ChildFailed);
        if is_refused && !self.tries[client_try].is_over {
            self.note_refusal(client_try);
        }
        if self.policy.kind == NodeKind::Policy && self.policy.checks_chain {
            self.teach_entry(client_try, result, is_refused);
        }
        let event = TrialEvent::ClientAnswered(client_try, result == CallResult::Done, is_refused);
        self.events.push(self.now_us + CLIENT_US, event);
    }

    /// Lets the entry learn what it served, and hand out the time at which a caller comes back.
    fn teach_entry(&mut self, client_try: usize, result: CallResult, is_refused: bool) {
        let now = self.now();
        let tried = &mut self.tries[client_try];
        let request = &self.requests[tried.request];
        let team = Some(&self.team_names[request.team]);
        let root = self.firm.kinds[request.kind].root;
        let target = &self.targets[root];
        let admission = &mut self.vms[tried.entry].admission;
        if result == CallResult::Done {
            admission.observe_served(now, target, team, (self.now_us - tried.sent_us) / 1_000);
        }
        if is_refused && tried.told_ms > 0 {
            let refused_by = tried.refused_by.unwrap_or(self.firm.calls[root].service);
            let service = ServiceName::new(self.firm.services[refused_by].name);
            let refused = RefusedRequest {
                service: &service,
                target,
                team,
                order: tried.order,
            };
            tried.told_ms = admission.retry_after_ms(now, refused);
        }
    }

    fn note_refusal(&mut self, client_try: usize) {
        let kind = &self.firm.kinds[self.kind_of(client_try)];
        let (root, importance) = (kind.root, kind.importance);
        let refused_by = self.tries[client_try].refused_by;
        let bottleneck = refused_by.unwrap_or(self.scarcest);
        let starts = &self.last_starts[bottleneck];
        let is_lesser_served = starts[..importance as usize]
            .iter()
            .any(|start| *start > 0 && start + INVERSION_US > self.now_us);
        let touches = self.tree_services[root].contains(&bottleneck);
        self.notes.push(RefusalNote {
            at_us: self.now_us,
            importance,
            was_free: self.has_room(root),
            was_inverted: touches && is_lesser_served,
        });
    }

    /// Handles an answer that reaches the caller.
    pub(crate) fn client_answered(&mut self, client_try: usize, is_good: bool, is_refused: bool) {
        let tried = &mut self.tries[client_try];
        if tried.is_over {
            return;
        }
        tried.is_over = true;
        tried.is_good = is_good;
        let request = tried.request;
        if is_good {
            self.requests[request].answered_us = Some(self.now_us);
        } else {
            let told_ms = if is_refused { tried.told_ms } else { 0 };
            self.resend(request, told_ms);
        }
    }

    /// Handles the end of a caller's patience.
    pub(crate) fn client_timeout(&mut self, client_try: usize) {
        let tried = &mut self.tries[client_try];
        if tried.is_over {
            return;
        }
        tried.is_over = true;
        let (request, root) = (tried.request, tried.root);
        self.resend(request, 0);
        if self.policy.kind == NodeKind::Policy
            && self.policy.cancels
            && let Some(call) = root
        {
            self.events
                .push(self.now_us + CLIENT_US, TrialEvent::CancelArrives(call));
        }
    }

    fn resend(&mut self, request: usize, told_ms: u64) {
        let (low, high) = RESEND_US;
        let soon_us = self.random.random_range(low..high);
        let entry = &mut self.requests[request];
        if entry.resends_left == 0 {
            return;
        }
        entry.resends_left -= 1;
        entry.comes_as_told = self.policy.callers_wait && told_ms > 0;
        let wait_us = if entry.comes_as_told {
            told_ms * 1_000
        } else {
            soon_us
        };
        self.events
            .push(self.now_us + wait_us, TrialEvent::Resend(request));
    }
}

/// Returns the index at which the running sum of weights passes a point.
fn pick(point: f64, weights: &[f64]) -> usize {
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
