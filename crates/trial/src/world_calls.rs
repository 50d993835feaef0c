use std::collections::BTreeSet;

use clock::ClockTime;
use graph::{CallTarget, ThresholdReport};
use limit::{QueueTicket, ShedThresholds};
use model::RefusalReason;
use retry::{AllowanceShare, RetryAllowance};
use route::RouteOutcome;

use crate::call::{Call, CallAnswer, CallResult, CallState};
use crate::event::TrialEvent;
use crate::ingress::{IngressAction, attempt_id};
use crate::policy::NodeKind;
use crate::world::TrialWorld;

impl TrialWorld {
    pub(crate) fn new_call(
        &mut self,
        client_try: usize,
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
            client_try,
            plan,
            depth: parent.map_or(0, |parent| self.calls[parent].depth + 1),
            parent,
            caller_vm,
            vm: caller_vm,
            tried: Vec::new(),
            sent_us: self.now_us,
            started_us: self.now_us,
            state: CallState::Sent,
            next_child: 0,
            child: None,
            child_wait_us: 0,
            child_sent_us: 0,
            work_ms: 0.0,
            hop_retries_left: self.policy.hop_retries(),
            retries: 0,
            allowance: RetryAllowance::new(share),
            run_allowance: RetryAllowance::default(),
        });
        self.calls.len() - 1
    }

    /// Chooses a VM for a call and sends it there.
    pub(crate) fn send_call(&mut self, call: usize) {
        let Some(vm) = self.choose_vm(call) else {
            self.settle(call, CallResult::Refused(false));
            return;
        };
        let service = self.vms[vm].service;
        let caller_vm = self.calls[call].caller_vm;
        let name = self.vms[vm].name.clone();
        self.vms[caller_vm].routers[service].begin(&name);
        let entry = &mut self.calls[call];
        entry.vm = vm;
        entry.state = CallState::Sent;
        entry.sent_us = self.now_us;
        let share = entry.allowance.delegate(attempt_id(call), 1);
        entry.run_allowance = RetryAllowance::new(share);
        let at_us = self.now_us + self.link_us(caller_vm, vm);
        self.events.push(at_us, TrialEvent::CallArrives(call));
    }

    fn choose_vm(&mut self, call: usize) -> Option<usize> {
        let entry = &self.calls[call];
        let service = self.firm.calls[entry.plan].service;
        let caller_vm = entry.caller_vm;
        if self.policy.kind != NodeKind::Policy {
            return self.next_in_turn(caller_vm, service);
        }
        let tried: Vec<_> = entry
            .tried
            .iter()
            .map(|vm| self.vms[*vm].name.clone())
            .collect();
        let now = self.now();
        let router = &mut self.vms[caller_vm].routers[service];
        let name = router.choose(now, &mut self.random, &tried)?;
        self.indices.get(&name).copied()
    }

    fn next_in_turn(&mut self, caller_vm: usize, service: usize) -> Option<usize> {
        let known: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].service == service && self.vms[*vm].is_known)
            .collect();
        let turn = &mut self.vms[caller_vm].turns[service];
        *turn += 1;
        known.get(*turn % known.len().max(1)).copied()
    }

    /// Handles a call at the node beside its backend server.
    pub(crate) fn call_arrives(&mut self, call: usize) {
        let entry = &self.calls[call];
        if entry.state != CallState::Sent {
            return;
        }
        let vm = entry.vm;
        if !self.vms[vm].is_alive {
            self.answer(call, CallResult::Failed);
            return;
        }
        let ticket = self.ticket(call);
        self.calls[call].state = CallState::Waiting;
        let now = self.now();
        let action = self.vms[vm].ingress.offer(now, call, ticket);
        self.perform(vm, vec![action]);
    }

    fn ticket(&self, call: usize) -> QueueTicket {
        let entry = &self.calls[call];
        let tried = &self.tries[entry.client_try];
        let team = self.requests[tried.request].team;
        QueueTicket {
            id: attempt_id(call),
            order: tried.order,
            team: Some(self.team_names[team].clone()),
            team_weight: self.firm.teams[team],
            deadline: ClockTime::from_ms(tried.deadline_us / 1_000),
            depth: entry.depth,
            call: Some(self.targets[entry.plan].call.clone()),
            expected_ms: 1,
        }
    }

    pub(crate) fn perform(&mut self, vm: usize, actions: Vec<IngressAction>) {
        for action in actions {
            match action {
                IngressAction::Start(call) => self.start_call(vm, call),
                IngressAction::Wait => {}
                IngressAction::Refuse(call, refusal) => {
                    let is_shed = refusal.reason != RefusalReason::NoBackend;
                    let is_late = refusal.reason == RefusalReason::TooLate;
                    let tried = &mut self.tries[self.calls[call].client_try];
                    tried.refused_by = (!is_late).then_some(self.vms[vm].service);
                    tried.told_ms = refusal.retry_after_ms;
                    self.answer(call, CallResult::Refused(is_shed));
                }
            }
        }
    }

    fn start_call(&mut self, vm: usize, call: usize) {
        let importance = self.tries[self.calls[call].client_try]
            .order
            .class()
            .importance();
        let service = self.vms[vm].service;
        self.last_starts[service][importance as usize] = self.now_us;
        self.calls[call].state = CallState::Running;
        self.calls[call].started_us = self.now_us;
        self.vms[vm].backend.hold(self.now_us);
        self.begin_phase(call);
    }

    fn begin_phase(&mut self, call: usize) {
        let entry = &self.calls[call];
        let (vm, plan) = (entry.vm, &self.firm.calls[entry.plan]);
        let phases = u32::try_from(plan.children.len() + 1).unwrap_or(1);
        let mean_ms = plan.own_ms / f64::from(phases);
        let work_ms = self.sample_ms(mean_ms);
        self.vms[vm].backend.begin(self.now_us, call, work_ms);
        self.plan_work_end(vm);
    }

    /// Plans the next end of own work on a backend server, in place of the one planned before.
    pub(crate) fn plan_work_end(&mut self, vm: usize) {
        let backend = &mut self.vms[vm].backend;
        backend.generation += 1;
        if let Some(span_us) = backend.next_end_us() {
            let event = TrialEvent::WorkEnds(vm, backend.generation);
            self.events.push(self.now_us + span_us, event);
        }
    }

    pub(crate) fn work_ends(&mut self, vm: usize, generation: u64) {
        if self.vms[vm].backend.generation != generation || !self.vms[vm].is_alive {
            return;
        }
        while let Some((call, work_ms)) = self.vms[vm].backend.pop_ended(self.now_us) {
            self.calls[call].work_ms += work_ms;
            self.phase_ended(call);
        }
        self.plan_work_end(vm);
    }

    fn phase_ended(&mut self, call: usize) {
        let entry = &self.calls[call];
        let vm = entry.vm;
        let children = &self.firm.calls[entry.plan].children;
        if let Some(plan) = children.get(entry.next_child).copied() {
            let child = self.new_call(entry.client_try, plan, Some(call), vm);
            let entry = &mut self.calls[call];
            entry.child = Some(child);
            entry.child_sent_us = self.now_us;
            self.send_call(child);
            return;
        }
        let own_us = (self.now_us - entry.started_us).saturating_sub(entry.child_wait_us);
        let used: BTreeSet<CallTarget> = children
            .iter()
            .map(|child| self.targets[*child].clone())
            .collect();
        let target = &self.targets[entry.plan];
        self.vms[vm]
            .admission
            .observe_downstream_calls(target, &used);
        self.end_run(call, Some(own_us / 1_000));
        self.answer(call, CallResult::Done);
    }

    fn end_run(&mut self, call: usize, own_ms: Option<u64>) {
        let vm = self.calls[call].vm;
        self.calls[call].state = CallState::Over;
        self.vms[vm].backend.release(self.now_us);
        let now = self.now();
        let actions = self.vms[vm].ingress.finish(now, call, own_ms);
        self.perform(vm, actions);
        self.plan_work_end(vm);
    }

    /// Sends an answer back to the node that made a call.
    pub(crate) fn answer(&mut self, call: usize, result: CallResult) {
        self.calls[call].state = CallState::Over;
        let entry = &self.calls[call];
        let (vm, caller_vm, plan) = (entry.vm, entry.caller_vm, entry.plan);
        let report = if self.vms[vm].is_alive {
            self.report(vm)
        } else {
            None
        };
        let mut reports = Vec::new();
        let sample = report.map(|(sample, cuts)| {
            if self.policy.checks_chain {
                reports = self.cut_reports(vm, plan, cuts);
            }
            sample
        });
        let answer = CallAnswer {
            result,
            sample,
            reports,
        };
        let at_us = self.now_us + self.wire_us(vm, caller_vm);
        self.events
            .push(at_us, TrialEvent::AnswerArrives(call, answer));
    }

    /// Returns the cuts of a VM and of the services below that go with an answer.
    fn cut_reports(&self, vm: usize, plan: usize, cuts: ShedThresholds) -> Vec<ThresholdReport> {
        let target = &self.targets[plan];
        let mut reports = self.vms[vm].admission.threshold_reports(self.now(), target);
        reports.push(ThresholdReport {
            service: target.service.clone(),
            vm: self.vms[vm].name.clone(),
            thresholds: cuts,
            age_ms: 0,
        });
        reports
    }

    /// Handles an answer at the node that made the call.
    pub(crate) fn answer_arrives(&mut self, call: usize, answer: &CallAnswer) {
        let entry = &self.calls[call];
        let (vm, caller_vm) = (entry.vm, entry.caller_vm);
        if !self.vms[caller_vm].is_alive {
            return;
        }
        let outcome = match answer.result {
            CallResult::Done => RouteOutcome::Succeeded {
                latency_ms: (self.now_us - entry.sent_us) / 1_000,
            },
            CallResult::Refused(_) => RouteOutcome::Refused,
            CallResult::Failed => RouteOutcome::Failed,
            CallResult::ChildFailed => RouteOutcome::Abandoned,
        };
        self.learn(call, answer);
        if answer.result != CallResult::Failed {
            let entry = &mut self.calls[call];
            let unspent = std::mem::take(&mut entry.run_allowance).close();
            entry.allowance.reclaim(attempt_id(call), unspent);
        }
        let (now, name) = (self.now(), self.vms[vm].name.clone());
        let service = self.vms[vm].service;
        self.vms[caller_vm].routers[service].finish(now, &name, outcome, answer.sample);
        self.settle(call, answer.result);
    }

    /// Learns what an answer tells of the services that it passed.
    fn learn(&mut self, call: usize, answer: &CallAnswer) {
        if answer.sample.is_none() {
            return;
        }
        let entry = &self.calls[call];
        let now = self.now();
        let target = &self.targets[entry.plan];
        let admission = &mut self.vms[entry.caller_vm].admission;
        if self.policy.checks_chain {
            admission.observe_thresholds(now, target, answer.reports.iter().cloned());
        }
        if answer.result == CallResult::Done {
            let span_ms = (self.now_us - entry.sent_us) / 1_000;
            admission.observe_duration(now, target, span_ms);
            let service = self.firm.calls[entry.plan].service;
            self.vms[entry.caller_vm].ratios[service].record_success();
        }
    }

    /// Acts on the result of a call: goes on, tries again or gives up.
    fn settle(&mut self, call: usize, result: CallResult) {
        if result != CallResult::Done && self.plans_retry(call, result) {
            return;
        }
        let Some(parent) = self.calls[call].parent else {
            let client_try = self.calls[call].client_try;
            self.answer_client(client_try, result);
            return;
        };
        let unspent = std::mem::take(&mut self.calls[call].allowance).close();
        let allowance = &mut self.calls[parent].run_allowance;
        allowance.reclaim(attempt_id(call), unspent);
        if self.calls[parent].state != CallState::Running {
            return;
        }
        let entry = &mut self.calls[parent];
        entry.child = None;
        entry.child_wait_us += self.now_us - entry.child_sent_us;
        if result == CallResult::Done {
            entry.next_child += 1;
            self.begin_phase(parent);
        } else {
            self.end_run(parent, None);
            self.answer(parent, CallResult::ChildFailed);
        }
    }

    /// Stops a call whose caller has left, and the one that it is waiting for.
    pub(crate) fn cancel_call(&mut self, call: usize) {
        let entry = &self.calls[call];
        let (vm, state, child) = (entry.vm, entry.state, entry.child);
        if state == CallState::Over {
            return;
        }
        self.calls[call].state = CallState::Over;
        self.abandon(call);
        if state == CallState::Sent || !self.vms[vm].is_alive {
            return;
        }
        if state == CallState::Running {
            let work_ms = self.vms[vm].backend.stop(self.now_us, call);
            self.calls[call].work_ms += work_ms;
            self.vms[vm].backend.release(self.now_us);
        }
        let now = self.now();
        let actions = self.vms[vm].ingress.cancel(now, call);
        self.perform(vm, actions);
        self.plan_work_end(vm);
        if let Some(child) = child {
            let at_us = self.now_us + self.wire_us(vm, self.calls[child].vm);
            self.events.push(at_us, TrialEvent::CancelArrives(child));
        }
    }

    fn abandon(&mut self, call: usize) {
        let entry = &self.calls[call];
        let (vm, caller_vm) = (entry.vm, entry.caller_vm);
        let (now, name) = (self.now(), self.vms[vm].name.clone());
        let service = self.vms[vm].service;
        self.vms[caller_vm].routers[service].finish(now, &name, RouteOutcome::Abandoned, None);
    }
}
