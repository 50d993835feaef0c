use std::collections::BTreeSet;

use clock::ClockTime;
use graph::{CallTarget, ThresholdReport};
use limit::{QueueTicket, ShedThresholds};
use model::{RefusalReason, VmName};
use retry::{AllowanceShare, RetryAllowance};
use route::{RouteCall, RouteOutcome};

use crate::call::{Call, CallAnswer, CallResult, CallState};
use crate::event::SimulationEvent;
use crate::ingress::{IngressAction, attempt_id};
use crate::placement_score::is_measured;
use crate::policy::{NodeKind, VmPlacement};
use crate::simulation::Simulation;

/// The most times that a call moves on before it waits.
const MAX_MOVES: u32 = 2;

impl Simulation {
    pub(crate) fn new_call(
        &mut self,
        client_attempt: usize,
        plan: usize,
        parent: Option<usize>,
        caller_vm: usize,
    ) -> usize {
        let share = match parent {
            Some(parent) => {
                let id = attempt_id(self.calls.len());
                self.calls[parent].run_allowance.delegate(id, 1)
            }
            None => AllowanceShare::new(self.policy.chain_retries),
        };
        self.calls.push(Call {
            client_attempt,
            plan,
            depth: parent.map_or(0, |parent| self.calls[parent].depth + 1),
            parent,
            caller_vm,
            vm: caller_vm,
            tried_vms: Vec::new(),
            first_sent_us: self.now_us,
            may_move: false,
            moves: 0,
            sent_us: self.now_us,
            started_us: self.now_us,
            state: CallState::Sent,
            next_child: 0,
            child: None,
            child_wait_us: 0,
            child_sent_us: 0,
            run_us: 0,
            work_ms: 0.0,
            hop_retries_left: self.policy.hop_retries(),
            retries: 0,
            allowance: RetryAllowance::new(share),
            run_allowance: RetryAllowance::default(),
        });
        self.calls.len() - 1
    }

    /// Chooses a VM for a call and sends the call to it.
    pub(crate) fn send_call(&mut self, call: usize) {
        let Some(vm) = self.choose_vm(call) else {
            self.handle_result(call, CallResult::Refused(false));
            return;
        };
        let service = self.vms[vm].service;
        let caller_vm = self.calls[call].caller_vm;
        let name = self.vms[vm].name.clone();
        let now = self.now();
        let tried_vms = self.tried_names(call);
        let router = &mut self.vms[caller_vm].routers[service];
        let has_room_beside = router.has_room_beside(now, &name, &tried_vms, RouteCall::default());
        self.calls[call].may_move = has_room_beside && self.calls[call].moves < MAX_MOVES;
        router.begin(now, &name);
        if is_measured(self.workload, self.now_us) {
            let is_crossing = self.vms[caller_vm].centre != self.vms[vm].centre;
            self.placement.sent += 1;
            self.placement.sent_to_other_centre += u64::from(is_crossing);
        }
        self.pass_news(caller_vm, vm, vm);
        let record = &mut self.calls[call];
        record.vm = vm;
        record.state = CallState::Sent;
        record.sent_us = self.now_us;
        let share = record.allowance.delegate(attempt_id(call), 1);
        record.run_allowance = RetryAllowance::new(share);
        let at_us = self.now_us + self.send_delay_us(caller_vm, vm);
        self.events.push(at_us, SimulationEvent::CallArrives(call));
    }

    fn choose_vm(&mut self, call: usize) -> Option<usize> {
        let record = &self.calls[call];
        let service = self.firm.calls[record.plan].service;
        let caller_vm = record.caller_vm;
        if self.policy.kind != NodeKind::Policy {
            return self.next_round_robin(caller_vm, service);
        }
        match self.policy.placement {
            VmPlacement::Router => {}
            VmPlacement::RoundRobin => return self.next_of_router(caller_vm, service),
            VmPlacement::LeastRequests => return self.least_requests(caller_vm, service),
        }
        let tried_vms = self.tried_names(call);
        let now = self.now();
        let router = &mut self.vms[caller_vm].routers[service];
        let name = router
            .choose(now, &mut self.random, &tried_vms)
            .or_else(|| router.choose(now, &mut self.random, &[]))?;
        self.vm_indices.get(&name).copied()
    }

    fn tried_names(&self, call: usize) -> Vec<VmName> {
        let tried_vms = self.calls[call].tried_vms.iter();
        tried_vms.map(|vm| self.vms[*vm].name.clone()).collect()
    }

    /// Chooses the next of the VMs that a node's router has.
    fn next_of_router(&mut self, caller_vm: usize, service: usize) -> Option<usize> {
        let node = &mut self.vms[caller_vm];
        let names: Vec<&VmName> = node.routers[service].names().collect();
        let turn = &mut node.round_robin[service];
        *turn += 1;
        let name = names.get(*turn % names.len().max(1))?;
        self.vm_indices.get(*name).copied()
    }

    /// Chooses one of the VMs with the fewest requests of a node's own in progress.
    fn least_requests(&mut self, caller_vm: usize, service: usize) -> Option<usize> {
        let node = &mut self.vms[caller_vm];
        let router = &node.routers[service];
        let names: Vec<&VmName> = router.names().collect();
        let turn = &mut node.round_robin[service];
        *turn += 1;
        let count = names.len().max(1);
        let in_turn = (0..count).filter_map(|step| names.get((*turn + step) % count));
        let name = in_turn.min_by_key(|name| router.in_flight(name))?;
        self.vm_indices.get(*name).copied()
    }

    fn next_round_robin(&mut self, caller_vm: usize, service: usize) -> Option<usize> {
        let known: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].service == service && self.vms[*vm].is_known)
            .collect();
        let turn = &mut self.vms[caller_vm].round_robin[service];
        *turn += 1;
        known.get(*turn % known.len().max(1)).copied()
    }

    /// Handles a call at the node next to its backend server.
    pub(crate) fn call_arrives(&mut self, call: usize) {
        let record = &self.calls[call];
        if record.state != CallState::Sent {
            return;
        }
        let vm = record.vm;
        if !self.vms[vm].is_alive {
            self.send_answer(call, CallResult::Failed);
            return;
        }
        if self.moves_on(call) {
            self.send_answer(call, CallResult::Moved);
            return;
        }
        let queue_ticket = self.queue_ticket(call);
        self.calls[call].state = CallState::Waiting;
        let now = self.now();
        let action = self.vms[vm].ingress.offer(now, call, queue_ticket);
        self.apply_actions(vm, vec![action]);
    }

    fn queue_ticket(&self, call: usize) -> QueueTicket {
        let record = &self.calls[call];
        let attempt = &self.attempts[record.client_attempt];
        let team = self.requests[attempt.request].team;
        QueueTicket {
            id: attempt_id(call),
            order: attempt.order,
            team: Some(self.team_names[team].clone()),
            team_weight: self.firm.teams[team],
            deadline: ClockTime::from_ms(attempt.deadline_us / 1_000),
            depth: record.depth,
            call: Some(self.targets[record.plan].call.clone()),
            expected_ms: 1,
        }
    }

    pub(crate) fn apply_actions(&mut self, vm: usize, actions: Vec<IngressAction>) {
        for action in actions {
            match action {
                IngressAction::Start(call) => self.start_call(vm, call),
                IngressAction::Wait => {}
                IngressAction::Refuse(call, refusal) => {
                    let is_shed = refusal.reason != RefusalReason::NoBackend;
                    let is_late = refusal.reason == RefusalReason::TooLate;
                    let attempt = &mut self.attempts[self.calls[call].client_attempt];
                    attempt.refused_by = (!is_late).then_some(self.vms[vm].service);
                    attempt.retry_after_ms = refusal.retry_after_ms;
                    self.send_answer(call, CallResult::Refused(is_shed));
                }
            }
        }
    }

    fn start_call(&mut self, vm: usize, call: usize) {
        let importance = self.attempts[self.calls[call].client_attempt]
            .order
            .class()
            .importance();
        let service = self.vms[vm].service;
        self.last_start_us[service][importance as usize] = self.now_us;
        self.calls[call].state = CallState::Running;
        self.calls[call].started_us = self.now_us;
        let first_sent_us = self.calls[call].first_sent_us;
        if is_measured(self.workload, first_sent_us) {
            self.placement.waits_us.push(self.now_us - first_sent_us);
        }
        self.vms[vm].backend.acquire_slot(self.now_us);
        self.start_work_phase(call);
    }

    fn start_work_phase(&mut self, call: usize) {
        let record = &self.calls[call];
        let (vm, plan) = (record.vm, &self.firm.calls[record.plan]);
        let phases = u32::try_from(plan.children.len() + 1).unwrap_or(1);
        let mean_ms = plan.own_ms / f64::from(phases);
        let work_ms = self.sample_work_ms(mean_ms);
        self.vms[vm].backend.start_work(self.now_us, call, work_ms);
        self.schedule_work_end(vm);
    }

    /// Schedules the next end of work on a backend server; replaces the one scheduled before.
    pub(crate) fn schedule_work_end(&mut self, vm: usize) {
        let backend = &mut self.vms[vm].backend;
        backend.generation += 1;
        if let Some(span_us) = backend.next_end_us() {
            let event = SimulationEvent::WorkEnds(vm, backend.generation);
            self.events.push(self.now_us + span_us, event);
        }
    }

    pub(crate) fn work_ends(&mut self, vm: usize, generation: u64) {
        if self.vms[vm].backend.generation != generation || !self.vms[vm].is_alive {
            return;
        }
        while let Some((call, work_ms)) = self.vms[vm].backend.pop_finished(self.now_us) {
            self.calls[call].work_ms += work_ms;
            self.finish_work_phase(call);
        }
        self.schedule_work_end(vm);
    }

    fn finish_work_phase(&mut self, call: usize) {
        let record = &self.calls[call];
        let vm = record.vm;
        let children = &self.firm.calls[record.plan].children;
        if let Some(plan) = children.get(record.next_child).copied() {
            let child = self.new_call(record.client_attempt, plan, Some(call), vm);
            let record = &mut self.calls[call];
            record.child = Some(child);
            record.child_sent_us = self.now_us;
            self.send_call(child);
            return;
        }
        let own_us = (self.now_us - record.started_us).saturating_sub(record.child_wait_us);
        let used: BTreeSet<CallTarget> = children
            .iter()
            .map(|child| self.targets[*child].clone())
            .collect();
        let target = &self.targets[record.plan];
        self.vms[vm]
            .admission
            .observe_downstream_calls(target, &used);
        self.calls[call].run_us = own_us;
        self.finish_run(call, Some(own_us / 1_000));
        self.send_answer(call, CallResult::Done);
    }

    fn finish_run(&mut self, call: usize, own_ms: Option<u64>) {
        let vm = self.calls[call].vm;
        self.calls[call].state = CallState::Finished;
        self.vms[vm].backend.release_slot(self.now_us);
        let now = self.now();
        let actions = self.vms[vm].ingress.finish(now, call, own_ms);
        self.apply_actions(vm, actions);
        self.schedule_work_end(vm);
    }

    /// Sends the answer to a call back to the node that made it.
    pub(crate) fn send_answer(&mut self, call: usize, result: CallResult) {
        self.calls[call].state = CallState::Finished;
        let record = &self.calls[call];
        let (vm, caller_vm, plan) = (record.vm, record.caller_vm, record.plan);
        let report = if self.vms[vm].is_alive {
            self.report(vm)
        } else {
            None
        };
        let mut reports = Vec::new();
        let sample = report.map(|(sample, thresholds)| {
            if self.policy.checks_chain {
                reports = self.threshold_reports(vm, plan, thresholds);
            }
            sample
        });
        let answer = CallAnswer {
            result,
            sample,
            reports,
        };
        let at_us = self.now_us + self.network_delay_us(vm, caller_vm);
        self.events
            .push(at_us, SimulationEvent::AnswerArrives(call, answer));
    }

    /// Returns the shed thresholds that an answer carries: those of the VM and of the services that
    /// the call depends on.
    fn threshold_reports(
        &self,
        vm: usize,
        plan: usize,
        thresholds: ShedThresholds,
    ) -> Vec<ThresholdReport> {
        let target = &self.targets[plan];
        let mut reports = self.vms[vm].admission.threshold_reports(self.now(), target);
        reports.push(ThresholdReport {
            service: target.service.clone(),
            vm: self.vms[vm].name.clone(),
            thresholds,
            age_ms: 0,
        });
        reports
    }

    /// Handles an answer at the node that made the call.
    pub(crate) fn answer_arrives(&mut self, call: usize, answer: &CallAnswer) {
        let record = &self.calls[call];
        let (vm, caller_vm) = (record.vm, record.caller_vm);
        if !self.vms[caller_vm].is_alive {
            return;
        }
        let outcome = match answer.result {
            CallResult::Done => RouteOutcome::Succeeded {
                latency_ms: (self.now_us - record.sent_us) / 1_000,
            },
            CallResult::Refused(_) | CallResult::Moved => RouteOutcome::Refused,
            CallResult::Failed => RouteOutcome::Failed,
            CallResult::ChildFailed => RouteOutcome::Abandoned,
        };
        self.observe_answer(call, answer);
        if answer.result != CallResult::Failed {
            let record = &mut self.calls[call];
            let unspent = std::mem::take(&mut record.run_allowance).close();
            record.allowance.reclaim(attempt_id(call), unspent);
        }
        let (now, name) = (self.now(), self.vms[vm].name.clone());
        let service = self.vms[vm].service;
        self.vms[caller_vm].routers[service].finish(now, &name, outcome, answer.sample);
        self.pass_news(vm, caller_vm, vm);
        if answer.result == CallResult::Moved {
            self.send_moved(call);
            return;
        }
        if answer.result == CallResult::Done {
            self.record_done(call);
        }
        self.handle_result(call, answer.result);
    }

    fn record_done(&mut self, call: usize) {
        let record = &self.calls[call];
        let (vm, caller_vm) = (record.vm, record.caller_vm);
        let service = self.vms[vm].service;
        let name = self.vms[vm].name.clone();
        let target = &self.targets[record.plan];
        let run_ms = u32::try_from(record.run_us / 1_000).unwrap_or(u32::MAX);
        let body_bytes = self.firm.body_bytes;
        if is_measured(self.workload, record.first_sent_us) {
            let latency_us = self.now_us - record.first_sent_us;
            self.placement.latencies_us.push(latency_us);
        }
        let router = &mut self.vms[caller_vm].routers[service];
        router.record_run(&name, &target.call, run_ms, body_bytes);
    }

    /// Applies the thresholds and the duration of an answer to the admission check of the calling
    /// node.
    fn observe_answer(&mut self, call: usize, answer: &CallAnswer) {
        if answer.sample.is_none() {
            return;
        }
        let record = &self.calls[call];
        let now = self.now();
        let target = &self.targets[record.plan];
        let admission = &mut self.vms[record.caller_vm].admission;
        if self.policy.checks_chain {
            admission.observe_thresholds(now, target, answer.reports.iter().cloned());
        }
        if answer.result == CallResult::Done {
            let span_ms = (self.now_us - record.sent_us) / 1_000;
            admission.observe_duration(now, target, span_ms);
            let service = self.firm.calls[record.plan].service;
            self.vms[record.caller_vm].retry_ratios[service].record_success();
        }
    }

    /// Handles the result of a call: retries it, resumes the calling request or fails it.
    fn handle_result(&mut self, call: usize, result: CallResult) {
        if result != CallResult::Done && self.schedule_retry(call, result) {
            return;
        }
        let Some(parent) = self.calls[call].parent else {
            let client_attempt = self.calls[call].client_attempt;
            self.answer_client(client_attempt, result);
            return;
        };
        let unspent = std::mem::take(&mut self.calls[call].allowance).close();
        let allowance = &mut self.calls[parent].run_allowance;
        allowance.reclaim(attempt_id(call), unspent);
        if self.calls[parent].state != CallState::Running {
            return;
        }
        let record = &mut self.calls[parent];
        record.child = None;
        record.child_wait_us += self.now_us - record.child_sent_us;
        if result == CallResult::Done {
            record.next_child += 1;
            self.start_work_phase(parent);
        } else {
            self.finish_run(parent, None);
            self.send_answer(parent, CallResult::ChildFailed);
        }
    }

    /// Cancels a call that its caller has abandoned, and the nested call that it is waiting for.
    pub(crate) fn cancel_call(&mut self, call: usize) {
        let record = &self.calls[call];
        let (vm, state, child) = (record.vm, record.state, record.child);
        if state == CallState::Finished {
            return;
        }
        self.calls[call].state = CallState::Finished;
        self.abandon(call);
        if state == CallState::Sent || !self.vms[vm].is_alive {
            return;
        }
        if state == CallState::Running {
            let work_ms = self.vms[vm].backend.stop_work(self.now_us, call);
            self.calls[call].work_ms += work_ms;
            self.vms[vm].backend.release_slot(self.now_us);
        }
        let now = self.now();
        let actions = self.vms[vm].ingress.cancel(now, call);
        self.apply_actions(vm, actions);
        self.schedule_work_end(vm);
        if let Some(child) = child {
            let at_us = self.now_us + self.network_delay_us(vm, self.calls[child].vm);
            self.events
                .push(at_us, SimulationEvent::CancelArrives(child));
        }
    }

    fn abandon(&mut self, call: usize) {
        let record = &self.calls[call];
        let (vm, caller_vm) = (record.vm, record.caller_vm);
        let (now, name) = (self.now(), self.vms[vm].name.clone());
        let service = self.vms[vm].service;
        self.vms[caller_vm].routers[service].finish(now, &name, RouteOutcome::Abandoned, None);
    }
}
