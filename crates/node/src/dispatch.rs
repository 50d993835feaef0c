use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use model::{RefusalReason, RunVerdict, VmName};
use quarantine::RequestFingerprint;
use retry::{AllowanceShare, FailedCall, RetryAllowance, RetryDecision, RetryPolicy};
use wire::{AnswerHead, CallHead};

use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::call_headers::{idempotency_key, payer};
use crate::ingress::run_call;
use crate::link_call::send_over_link;
use crate::node_core::NodeCore;
use crate::replay_body::ReplayBody;
use crate::route_guard::RouteGuard;

/// The wait before a call is tried again that failed at the VM that it was sent on to, in
/// milliseconds: by then another VM is named when that one is down.
const RUNNER_DOWN_MS: u64 = 250;
/// The times that a call may be sent on to the VM that must run it.
const MAX_REDIRECTS: u32 = 2;
/// The times that a call may move on from nodes that didn't let it reach a backend server.
const MAX_MOVES: u32 = 4;
/// The time after which callers come back when no backend server is known, in milliseconds.
const NO_BACKEND_MS: u64 = 1_000;

/// Sends a call to a VM of its service, again where that is safe, until its deadline.
///
/// The retries come out of the head's allowance; what is left is told in the answer.
pub(crate) async fn dispatch_call(
    core: &Rc<NodeCore>,
    head: CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> CallAnswer {
    core.metrics.sent.inc();
    let allowance = RetryAllowance::new(AllowanceShare::new(head.allowance));
    let sending = CallSending {
        core,
        body: ReplayBody::new(body),
        deadline,
        allowance,
        tried: Vec::new(),
        retries: 0,
        send_to: None,
        is_sent_on: false,
        redirects: 0,
        moves: 0,
        earlier: RunVerdict::NotRun,
        copies: copies_of(&head),
        head,
    };
    sending.run().await
}

/// One call on its way, over all its attempts.
struct CallSending<'c> {
    core: &'c Rc<NodeCore>,
    head: CallHead,
    body: ReplayBody,
    deadline: ClockTime,
    allowance: RetryAllowance,
    tried: Vec<VmName>,
    retries: u32,
    /// The VM that the next attempt must go to.
    send_to: Option<VmName>,
    /// Whether the last attempt went to such a VM.
    is_sent_on: bool,
    redirects: u32,
    /// How often a node turned the call away that never reached a backend server.
    moves: u32,
    /// Whether an attempt before the present one may have run.
    earlier: RunVerdict,
    /// What copies of the call have in common, where they should meet at one VM.
    copies: Option<RequestFingerprint>,
}

impl CallSending<'_> {
    async fn run(mut self) -> CallAnswer {
        let now = self.core.now();
        let service = &self.head.service;
        self.core
            .with_retry_budget(service, |budget| budget.note_call(now));
        loop {
            let mut answer = self.try_once().await;
            if self.is_redirected(&mut answer.head) || self.moves_on(&answer.head) {
                continue;
            }
            let wait_ms = match self.decide(&answer.head) {
                RetryDecision::Retry { wait_ms } => wait_ms,
                RetryDecision::Stop(stop) => {
                    log::trace!(
                        "event=call-ends request={} stop={stop:?}",
                        self.head.request
                    );
                    return self.end_with(answer);
                }
            };
            self.retries += 1;
            if answer.head.verdict != RunVerdict::NotRun {
                self.earlier = RunVerdict::MayHaveRun;
            }
            self.core.metrics.count_retry();
            sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Returns the answer for the sender: "not run" only when that holds of every attempt.
    fn end_with(&self, mut answer: CallAnswer) -> CallAnswer {
        let left = self.allowance.left();
        answer.head.allowance_left = left;
        let reason = answer.head.refusal;
        match (answer.head.verdict, self.earlier, reason) {
            (RunVerdict::NotRun, RunVerdict::MayHaveRun, Some(reason)) => {
                let refusal = CallRefusal {
                    service: answer.head.refused_by,
                    ..CallRefusal::may_have_run(reason)
                };
                let retry_after_ms = u64::from(answer.head.retry_after_ms);
                CallAnswer::refused(&self.head, &refusal.after_ms(retry_after_ms), left)
            }
            _ => answer,
        }
    }

    /// Makes one attempt, and hands down a share of the allowance with it.
    async fn try_once(&mut self) -> CallAnswer {
        self.head.attempt = self.core.new_attempt_id();
        let left_ms = self.core.now().until_ms(self.deadline);
        self.head.deadline_left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        let Some(vm) = self.choose_vm() else {
            let refusal = CallRefusal::not_run(RefusalReason::NoBackend).after_ms(NO_BACKEND_MS);
            return CallAnswer::refused(&self.head, &refusal.by(&self.head.service), 0);
        };
        let share = self.allowance.delegate(self.head.attempt, 1);
        self.head.allowance = share.retries();
        self.head.mark = None;
        let body = self.body.take();
        let sending = send_to(self.core, &vm, &mut self.head, body, self.deadline);
        let in_time = Box::pin(timeout(Duration::from_millis(left_ms), sending)).await;
        let answer = in_time.unwrap_or_else(|_| {
            let refusal = CallRefusal::may_have_run(RefusalReason::DeadlinePassed);
            CallAnswer::refused(&self.head, &refusal, 0)
        });
        let unspent = AllowanceShare::new(answer.head.allowance_left);
        self.allowance.reclaim(self.head.attempt, unspent);
        answer
    }

    /// Returns whether the call wasn't run because it must go to another VM, and may.
    fn is_redirected(&mut self, answer: &mut AnswerHead) -> bool {
        self.send_to = answer.send_to.take();
        let may_go = self.redirects < MAX_REDIRECTS && self.body.is_whole();
        if self.send_to.is_none() || !may_go {
            return false;
        }
        self.redirects += 1;
        true
    }

    /// Returns whether the call goes on to another VM, as a node turned it away before it reached a
    /// backend server.
    ///
    /// This costs no backend server anything, so it is no retry. A call whose VM has just left
    /// or can't be reached is served so within its time.
    fn moves_on(&mut self, answer: &AnswerHead) -> bool {
        let is_unreached = matches!(
            answer.refusal,
            Some(RefusalReason::NotReady | RefusalReason::LinkBroken | RefusalReason::NoBackend)
        );
        let has_time = self.core.now() < self.deadline;
        let is_movable = answer.verdict == RunVerdict::NotRun && is_unreached;
        if !is_movable || !has_time || !self.body.is_whole() || self.moves >= MAX_MOVES {
            return false;
        }
        if !self.has_untried() {
            return false;
        }
        self.moves += 1;
        true
    }

    /// Returns whether a VM is left that the call hasn't been sent to.
    fn has_untried(&self) -> bool {
        let fresh = self.core.choose_vm(&self.head.service, &self.tried);
        fresh.is_some()
    }

    /// Chooses a VM that wasn't tried, or any when all were.
    fn choose_vm(&mut self) -> Option<VmName> {
        self.is_sent_on = self.send_to.is_some();
        if let Some(vm) = self.send_to.take() {
            return Some(vm);
        }
        let service = &self.head.service;
        let home = self
            .copies
            .and_then(|copies| self.core.designated_vm_of(service, copies, &self.tried));
        let fresh = home.or_else(|| self.core.choose_vm(service, &self.tried));
        let vm = fresh.or_else(|| self.core.choose_vm(service, &[]))?;
        self.tried.push(vm.clone());
        Some(vm)
    }

    fn decide(&mut self, answer: &AnswerHead) -> RetryDecision {
        let is_answered = answer.verdict == RunVerdict::Ran && answer.refusal.is_none();
        let verdict = match answer.verdict {
            RunVerdict::Ran if !is_answered => RunVerdict::MayHaveRun,
            verdict => verdict,
        };
        let question = FailedCall {
            verdict,
            is_idempotent: self.head.idempotent && !self.head.once,
            is_service_shedding: is_shedding(answer) || !self.body.is_whole(),
            is_suspect: answer.is_suspect || answer.refusal == Some(RefusalReason::Quarantined),
            retries: self.retries,
            retry_after_ms: self.is_sent_on.then_some(RUNNER_DOWN_MS),
            left_ms: self.core.now().until_ms(self.deadline),
            expected_ms: u64::from(answer.run_ms),
        };
        let (core, allowance) = (self.core, &mut self.allowance);
        let is_begun = self.head.depth > 0;
        core.with_retry_budget(&self.head.service, |budget| {
            let mut budget = budget.view(core.now(), is_begun);
            let policy = RetryPolicy::default();
            core.with_random(|random| policy.decide(&question, allowance, &mut budget, random))
        })
    }
}

/// Returns what copies of a call have in common, for a call with an idempotency key.
///
/// Calls without one stay where the load is least: equal bodies are no sign of a copy.
fn copies_of(head: &CallHead) -> Option<RequestFingerprint> {
    let key = idempotency_key(head)?;
    Some(RequestFingerprint::new(&payer(head), &head.call, &key))
}

/// Returns whether a refusal would be the same at every VM of the service.
fn is_shedding(answer: &AnswerHead) -> bool {
    !matches!(
        answer.refusal,
        Some(
            RefusalReason::NoBackend
                | RefusalReason::LinkBroken
                | RefusalReason::BackendBusy
                | RefusalReason::BackendFailed
                | RefusalReason::NotReady
        )
    )
}

async fn send_to(
    core: &Rc<NodeCore>,
    vm: &VmName,
    head: &mut CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> CallAnswer {
    let mut route = RouteGuard::begin(core, head, vm);
    let answer = if *vm == core.settings.vm {
        run_call(core, head.clone(), body).await
    } else {
        send_over_link(core, vm, head, body, deadline).await
    };
    route.finish(&answer.head);
    answer
}
