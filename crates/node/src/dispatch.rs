use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use model::{RefusalReason, RunVerdict, VmName};
use quarantine::RequestFingerprint;
use retry::{AllowanceShare, FailedCall, RetryAllowance, RetryDecision, RetryPolicy};
use route::RouteCall;
use wire::{AnswerHead, CallHead};

use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::call_headers::{charged_team, idempotency_key};
use crate::ingress::run_call;
use crate::link_call::send_over_link;
use crate::node_core::NodeCore;
use crate::replay_body::ReplayBody;
use crate::route_guard::RouteGuard;

/// The delay before a retry of a call that failed at the VM it was redirected to, in milliseconds.
/// By then a redirect names another VM if that one is down.
const REDIRECT_RETRY_MS: u64 = 250;
/// The maximum number of redirects of a call to the VM that has to run it.
const MAX_REDIRECTS: u32 = 2;
/// The maximum number of reroutes of a call whose attempts didn't reach a backend server.
const MAX_REROUTES: u32 = 4;
/// How long after the deadline the answer to an attempt is waited for, in milliseconds. The VM that
/// has the call answers at the deadline, and only it knows whether the call has run.
const ANSWER_MARGIN_MS: u64 = 20;
/// The maximum number of VMs that refuse a call as moved before one queues it.
const MAX_MOVES: u32 = 2;
/// The usual length of a call's or an answer's head, in bytes.
const HEAD_BYTES: u64 = 300;
/// The most figures of other VMs that an answer is asked for.
const MAX_NEWS: usize = 16;
/// The retry delay for callers when no backend server of the service is known, in milliseconds.
const NO_BACKEND_RETRY_AFTER_MS: u64 = 1_000;

/// Sends a call to a VM of its service, and retries it until its deadline where that is safe.
///
/// Retries are charged to the allowance in the head; the answer reports the retries left.
pub(crate) async fn dispatch_call(
    core: &Rc<NodeCore>,
    head: CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> CallAnswer {
    core.metrics.sent.inc();
    let allowance = RetryAllowance::new(AllowanceShare::new(head.allowance));
    let dispatch = CallDispatch {
        core,
        body: ReplayBody::new(body),
        deadline,
        allowance,
        tried: Vec::new(),
        retries: 0,
        redirect_to: None,
        was_redirected: false,
        redirects: 0,
        reroutes: 0,
        moves: 0,
        earlier_verdict: RunVerdict::NotRun,
        fingerprint: keyed_fingerprint(&head),
        head,
    };
    dispatch.run().await
}

/// The state of one call across its attempts.
struct CallDispatch<'c> {
    core: &'c Rc<NodeCore>,
    head: CallHead,
    body: ReplayBody,
    deadline: ClockTime,
    allowance: RetryAllowance,
    tried: Vec<VmName>,
    retries: u32,
    /// The VM that the next attempt has to be sent to.
    redirect_to: Option<VmName>,
    /// Whether the last attempt was sent to such a VM.
    was_redirected: bool,
    redirects: u32,
    /// The number of times the call was rerouted before it reached a backend server.
    reroutes: u32,
    /// The number of VMs that have refused the call as moved.
    moves: u32,
    /// Whether an attempt before the current one may have run.
    earlier_verdict: RunVerdict,
    /// The fingerprint by which all copies of a call with an idempotency key are routed to one VM.
    fingerprint: Option<RequestFingerprint>,
}

impl CallDispatch<'_> {
    async fn run(mut self) -> CallAnswer {
        let now = self.core.now();
        let service = &self.head.service;
        self.core
            .with_retry_budget(service, |budget| budget.note_call(now));
        loop {
            let mut answer = self.make_attempt().await;
            if self.take_redirect(&mut answer.head) || self.try_reroute(&answer.head) {
                continue;
            }
            let wait_ms = match self.decide_retry(&answer.head) {
                RetryDecision::Retry { wait_ms } => wait_ms,
                RetryDecision::Stop(stop) => {
                    log::trace!(
                        "event=call-ends request={} stop={stop:?}",
                        self.head.request
                    );
                    return self.final_answer(answer);
                }
            };
            self.retries += 1;
            if answer.head.verdict != RunVerdict::NotRun {
                self.earlier_verdict = RunVerdict::MayHaveRun;
            }
            self.core.metrics.count_retry();
            sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Returns the answer for the sender. Its verdict is "not run" only if no attempt may have run.
    fn final_answer(&self, mut answer: CallAnswer) -> CallAnswer {
        let left = self.allowance.left();
        answer.head.allowance_left = left;
        let reason = answer.head.refusal;
        match (answer.head.verdict, self.earlier_verdict, reason) {
            (RunVerdict::NotRun, RunVerdict::MayHaveRun, Some(reason)) => {
                let refusal = CallRefusal {
                    service: answer.head.refused_by,
                    ..CallRefusal::may_have_run(reason)
                };
                let retry_after_ms = u64::from(answer.head.retry_after_ms);
                CallAnswer::refused(
                    &self.head,
                    &refusal.with_retry_after_ms(retry_after_ms),
                    left,
                )
            }
            _ => answer,
        }
    }

    /// Makes one attempt and delegates a share of the allowance to it.
    async fn make_attempt(&mut self) -> CallAnswer {
        self.head.attempt = self.core.new_attempt_id();
        let left_ms = self.core.now().until_ms(self.deadline);
        self.head.deadline_left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        let Some(vm) = self.choose_vm() else {
            let refusal = CallRefusal::not_run(RefusalReason::NoBackend)
                .with_retry_after_ms(NO_BACKEND_RETRY_AFTER_MS);
            return CallAnswer::refused(&self.head, &refusal.with_service(&self.head.service), 0);
        };
        self.set_load_news(&vm);
        let share = self.allowance.delegate(self.head.attempt, 1);
        self.head.allowance = share.retries();
        self.head.mark = None;
        let body = self.body.take();
        let attempt = send_attempt(self.core, &vm, &mut self.head, body, self.deadline);
        let wait = Duration::from_millis(left_ms.saturating_add(ANSWER_MARGIN_MS));
        let result = Box::pin(timeout(wait, attempt)).await;
        let answer = result.unwrap_or_else(|_| {
            let refusal = CallRefusal::may_have_run(RefusalReason::DeadlinePassed);
            CallAnswer::refused(&self.head, &refusal, 0)
        });
        let unspent = AllowanceShare::new(answer.head.allowance_left);
        self.allowance.reclaim(self.head.attempt, unspent);
        answer
    }

    /// Sets what the head tells a VM of the others, and whether the VM may send the call on.
    ///
    /// A call that is bound to a VM doesn't move, nor does one that can't be sent again.
    fn set_load_news(&mut self, vm: &VmName) {
        let is_movable = self.moves < MAX_MOVES
            && self.reroutes < MAX_REROUTES
            && !self.was_redirected
            && !self.head.once
            && self.fingerprint.is_none()
            && self.body.is_replayable();
        let (core, head, tried) = (self.core, &mut self.head, &self.tried);
        let now = core.now();
        let service = head.service.clone();
        core.with_router(&service, |router| {
            if !router.compares_room() {
                return;
            }
            let body_bytes = head.body_bytes.unwrap_or(0);
            let call = RouteCall {
                call: Some(&head.call),
                body_bytes,
            };
            head.may_move = is_movable && router.has_room_beside(now, vm, tried, call);
            let count = router.news_count(vm, HEAD_BYTES + body_bytes);
            head.news = router.news(now, vm, count);
            let answer_bytes = router.answer_bytes(&head.call);
            let wanted = router
                .news_count(vm, HEAD_BYTES + answer_bytes)
                .min(MAX_NEWS);
            head.news_count = u8::try_from(wanted).unwrap_or(u8::MAX);
        });
    }

    /// Stores the VM that the answer redirects the call to, if any, and returns whether the call is
    /// sent there at once.
    fn take_redirect(&mut self, answer: &mut AnswerHead) -> bool {
        self.redirect_to = answer.send_to.take();
        let may_redirect = self.redirects < MAX_REDIRECTS && self.body.is_replayable();
        if self.redirect_to.is_none() || !may_redirect {
            return false;
        }
        self.redirects += 1;
        true
    }

    /// Returns whether the call is sent to another VM because it didn't reach a backend server, and
    /// counts the reroute.
    ///
    /// A reroute costs no backend server any work, so it isn't charged as a retry. It lets a call
    /// be answered in time when its VM has just left or is unreachable.
    fn try_reroute(&mut self, answer: &AnswerHead) -> bool {
        let is_unreached = matches!(
            answer.refusal,
            Some(
                RefusalReason::NotReady
                    | RefusalReason::LinkBroken
                    | RefusalReason::NoBackend
                    | RefusalReason::BackendLimited
                    | RefusalReason::Moved
            )
        );
        let has_time = self.core.now() < self.deadline;
        let is_reroutable = answer.verdict == RunVerdict::NotRun && is_unreached;
        if !is_reroutable
            || !has_time
            || !self.body.is_replayable()
            || self.reroutes >= MAX_REROUTES
        {
            return false;
        }
        if answer.refusal == Some(RefusalReason::Moved) {
            self.core.metrics.load.moved.inc();
            self.moves += 1;
            self.reroutes += 1;
            return true;
        }
        let has_vm = if answer.refusal == Some(RefusalReason::BackendLimited) {
            let service = &self.head.service;
            self.core.has_unlimited_vm(service, &self.tried)
        } else {
            self.has_untried_vm()
        };
        if !has_vm {
            return false;
        }
        self.reroutes += 1;
        true
    }

    /// Returns whether there is a VM to which the call hasn't been sent yet.
    fn has_untried_vm(&self) -> bool {
        let untried = self.core.choose_vm(&self.head.service, &self.tried);
        untried.is_some()
    }

    /// Chooses the VM of a redirect, else one that hasn't been tried, else any VM.
    fn choose_vm(&mut self) -> Option<VmName> {
        self.was_redirected = self.redirect_to.is_some();
        if let Some(vm) = self.redirect_to.take() {
            return Some(vm);
        }
        let service = &self.head.service;
        let designated = self.fingerprint.and_then(|fingerprint| {
            self.core
                .designated_vm_of(service, fingerprint, &self.tried)
        });
        let call = RouteCall {
            call: Some(&self.head.call),
            body_bytes: self.head.body_bytes.unwrap_or(0),
        };
        let untried = designated.or_else(|| self.core.choose_vm_for(service, &self.tried, call));
        let vm = untried.or_else(|| self.core.choose_vm_for(service, &[], call))?;
        self.tried.push(vm.clone());
        Some(vm)
    }

    fn decide_retry(&mut self, answer: &AnswerHead) -> RetryDecision {
        let is_answered = answer.verdict == RunVerdict::Ran && answer.refusal.is_none();
        let verdict = match answer.verdict {
            RunVerdict::Ran if !is_answered => RunVerdict::MayHaveRun,
            verdict => verdict,
        };
        let failed_call = FailedCall {
            verdict,
            is_idempotent: self.head.idempotent && !self.head.once,
            is_service_shedding: is_service_shedding(answer) || !self.body.is_replayable(),
            is_suspect: answer.is_suspect || answer.refusal == Some(RefusalReason::Quarantined),
            retries: self.retries,
            retry_after_ms: self.was_redirected.then_some(REDIRECT_RETRY_MS),
            left_ms: self.core.now().until_ms(self.deadline),
            expected_ms: u64::from(answer.run_ms),
        };
        let (core, allowance) = (self.core, &mut self.allowance);
        let is_nested = self.head.depth > 0;
        core.with_retry_budget(&self.head.service, |budget| {
            let mut budget = budget.view(core.now(), is_nested);
            let policy = RetryPolicy::default();
            core.with_random(|random| policy.decide(&failed_call, allowance, &mut budget, random))
        })
    }
}

/// Returns the fingerprint that all copies of a call share, or `None` without an idempotency key.
///
/// Calls without a key are routed by load alone: equal bodies don't show that one is a copy of
/// the other.
fn keyed_fingerprint(head: &CallHead) -> Option<RequestFingerprint> {
    let key = idempotency_key(head)?;
    Some(RequestFingerprint::new(
        &charged_team(head),
        &head.call,
        &key,
    ))
}

/// Returns whether a refusal applies to the service as a whole, so that its other VMs would refuse
/// the call too.
fn is_service_shedding(answer: &AnswerHead) -> bool {
    !matches!(
        answer.refusal,
        Some(
            RefusalReason::NoBackend
                | RefusalReason::LinkBroken
                | RefusalReason::BackendBusy
                | RefusalReason::BackendFailed
                | RefusalReason::NotReady
                | RefusalReason::Moved
        )
    )
}

async fn send_attempt(
    core: &Rc<NodeCore>,
    vm: &VmName,
    head: &mut CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> CallAnswer {
    let mut route = RouteGuard::begin(core, head, vm);
    let answer = if *vm == core.settings.vm {
        Box::pin(run_call(core, head.clone(), body)).await
    } else {
        Box::pin(send_over_link(core, vm, head, body, deadline)).await
    };
    route.finish(&answer.head);
    answer
}
