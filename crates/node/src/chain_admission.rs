use std::collections::BTreeSet;

use clock::ClockTime;
use graph::{CallTarget, RefusedRequest, ThresholdReport};
use model::{RefusalReason, RequestId, RunVerdict, ServiceName, ShedOrder, TeamName, VmName};
use wire::{AnswerHead, CallHead};

use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::node_core::NodeCore;
use crate::problem_body::problem_body;

/// Refuses a call that would be shed by its service or one further down its chain, or that has less
/// time left than the minimum time of its call.
///
/// Only calls that enter the fleet are checked. Nested calls always pass, so that the work already
/// done for their request isn't wasted.
pub(crate) fn check_chain(
    core: &NodeCore,
    head: &CallHead,
    deadline: ClockTime,
) -> Result<(), CallRefusal> {
    if head.depth > 0 {
        return Ok(());
    }
    let now = core.now();
    let order = head.shed_order();
    let admission = core.chain.borrow();
    let target = call_target(head);
    let team = head.team.as_ref();
    let left_ms = now.until_ms(deadline);
    let admitted = admission.admit(now, &target, order, team, left_ms);
    drop(admission);
    admitted.map_err(|refusal| {
        let retry_after_ms = chain_retry_after_ms(core, head, &refusal.service);
        CallRefusal::not_run(refusal.reason)
            .with_retry_after_ms(retry_after_ms)
            .with_service(&refusal.service)
    })
}

/// Returns the retry delay to send to the caller of a request that `service` has no capacity for,
/// in milliseconds.
pub(crate) fn chain_retry_after_ms(core: &NodeCore, head: &CallHead, service: &ServiceName) -> u64 {
    let refused = RefusedRequest {
        service,
        target: &call_target(head),
        team: head.team.as_ref(),
        order: head.shed_order(),
    };
    let mut admission = core.chain.borrow_mut();
    admission.retry_after_ms(core.now(), refused)
}

/// A request that entered at this node, with the data needed to record its answer.
pub(crate) struct EntryRequest {
    started: ClockTime,
    request: RequestId,
    target: CallTarget,
    order: ShedOrder,
    team: Option<TeamName>,
}

impl EntryRequest {
    pub(crate) fn new(started: ClockTime, head: &CallHead) -> Self {
        Self {
            started,
            request: head.request,
            target: call_target(head),
            order: head.shed_order(),
            team: head.team.clone(),
        }
    }

    /// Records the answer to the request, and updates it if it is a refusal for lack of capacity or
    /// time.
    ///
    /// Such a refusal gets a new retry delay, in its head and its body, so that the callers refused by
    /// this node retry at different times.
    pub(crate) fn finish(&self, core: &NodeCore, answer: &mut CallAnswer) {
        let now = core.now();
        let (target, team) = (&self.target, self.team.as_ref());
        let mut admission = core.chain.borrow_mut();
        let head = &mut answer.head;
        let Some(reason) = head.refusal else {
            let run_ms = now.since_ms(self.started);
            admission.observe_served(now, target, team, run_ms);
            return;
        };
        let Some(service) = head
            .refused_by
            .as_ref()
            .filter(|_| is_capacity_refusal(reason))
        else {
            return;
        };
        let refused = RefusedRequest {
            service,
            target,
            team,
            order: self.order,
        };
        let retry_after_ms = admission.retry_after_ms(now, refused);
        let refusal = CallRefusal {
            reason,
            verdict: head.verdict,
            retry_after_ms,
            service: Some(service.clone()),
        };
        let body = problem_body(self.request, &refusal);
        head.retry_after_ms = u32::try_from(retry_after_ms).unwrap_or(u32::MAX);
        head.body_bytes = Some(body.len() as u64);
        answer.body = CallBody::Buffered(body).into();
    }
}

/// Returns whether a request was refused because a service lacks capacity or time for it.
const fn is_capacity_refusal(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded
            | RefusalReason::OverShare
            | RefusalReason::TooLate
            | RefusalReason::BackendLimited
    )
}

/// Records the shed thresholds that come with an answer of `vm`, which may be the local VM, and the
/// duration of the call.
///
/// A refusal with a concurrency limit of 0 wasn't made by the ingress of `vm` and carries no
/// thresholds.
pub(crate) fn observe_answer(
    core: &NodeCore,
    target: &CallTarget,
    vm: &VmName,
    answer: &AnswerHead,
    duration_ms: u64,
) {
    let now = core.now();
    let mut admission = core.chain.borrow_mut();
    if answer.refusal.is_none() || answer.load.limit > 0 {
        let vm_report = ThresholdReport {
            service: target.service.clone(),
            vm: vm.clone(),
            thresholds: answer.load.thresholds.clone(),
            age_ms: 0,
        };
        let downstream_reports = answer.threshold_reports.iter().cloned();
        admission.observe_thresholds(now, target, downstream_reports.chain([vm_report]));
    }
    match answer.verdict {
        RunVerdict::Ran => admission.observe_duration(now, target, duration_ms),
        RunVerdict::MayHaveRun => admission.observe_unfinished(now, target, duration_ms),
        RunVerdict::NotRun => {}
    }
}

/// Records which calls a successful run of the call of `head` made to other services.
pub(crate) fn record_downstream_calls(
    core: &NodeCore,
    head: &CallHead,
    called: &BTreeSet<CallTarget>,
) {
    core.chain
        .borrow_mut()
        .observe_downstream_calls(&call_target(head), called);
}

/// Returns the known shed thresholds of the services that the call of `head` leads to, to send with
/// its answer.
pub(crate) fn threshold_reports_for(core: &NodeCore, head: &CallHead) -> Vec<ThresholdReport> {
    let now = core.now();
    core.chain
        .borrow()
        .threshold_reports(now, &call_target(head))
}

/// Returns the service and the call named by a request head.
pub(crate) fn call_target(head: &CallHead) -> CallTarget {
    CallTarget::new(head.service.clone(), head.call.clone())
}
