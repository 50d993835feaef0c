use std::collections::BTreeSet;

use clock::ClockTime;
use graph::{CallTarget, RefusedRequest, ThresholdReport};
use model::{RefusalReason, RequestId, RunVerdict, ServiceName, ShedOrder, TeamName, VmName};
use wire::{AnswerHead, CallHead};

use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::node_core::NodeCore;
use crate::problem_body::problem_body;

/// Refuses a call that a service of its chain would shed, or that can't be completed in time.
///
/// Only calls that enter the fleet are refused. Nested calls pass, so that the work done for their
/// request isn't wasted.
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
        let after_ms = chain_retry_after_ms(core, head, &refusal.service);
        CallRefusal::not_run(refusal.reason)
            .with_retry_after_ms(after_ms)
            .with_service(&refusal.service)
    })
}

/// Returns the retry delay for the caller of a request that a service has no capacity for, in
/// milliseconds.
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

    /// Records an answer, and sets the retry delay of a refusal due to overload.
    pub(crate) fn record_answer(&self, core: &NodeCore, answer: &mut CallAnswer) {
        let now = core.now();
        let (target, team) = (&self.target, self.team.as_ref());
        let mut admission = core.chain.borrow_mut();
        let head = &mut answer.head;
        let Some(reason) = head.refusal else {
            let run_ms = now.since_ms(self.started);
            admission.observe_served(now, target, team, run_ms);
            return;
        };
        let Some(service) = head.refused_by.as_ref().filter(|_| is_shedding(reason)) else {
            return;
        };
        let refused = RefusedRequest {
            service,
            target,
            team,
            order: self.order,
        };
        let after_ms = admission.retry_after_ms(now, refused);
        let refusal = CallRefusal {
            reason,
            verdict: head.verdict,
            retry_after_ms: after_ms,
            service: Some(service.clone()),
        };
        let body = problem_body(self.request, &refusal);
        head.retry_after_ms = u32::try_from(after_ms).unwrap_or(u32::MAX);
        head.body_bytes = Some(body.len() as u64);
        answer.body = CallBody::Buffered(body).into();
    }
}

/// Returns whether a refusal was caused by a lack of capacity or time.
const fn is_shedding(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded | RefusalReason::OverShare | RefusalReason::TooLate
    )
}

/// Records the thresholds and the duration that an answer of another node or of the local ingress
/// reports.
pub(crate) fn record_answer(
    core: &NodeCore,
    target: &CallTarget,
    vm: &VmName,
    answer: &AnswerHead,
    duration_ms: u64,
) {
    let now = core.now();
    let mut admission = core.chain.borrow_mut();
    if answer.refusal.is_none() || answer.load.limit > 0 {
        let local_report = ThresholdReport {
            service: target.service.clone(),
            vm: vm.clone(),
            thresholds: answer.load.thresholds.clone(),
            age_ms: 0,
        };
        let downstream_reports = answer.threshold_reports.iter().cloned();
        admission.observe_thresholds(now, target, downstream_reports.chain([local_report]));
    }
    match answer.verdict {
        RunVerdict::Ran => admission.observe_duration(now, target, duration_ms),
        RunVerdict::MayHaveRun => admission.observe_unfinished(now, target, duration_ms),
        RunVerdict::NotRun => {}
    }
}

/// Records which downstream calls a completed run made.
pub(crate) fn record_downstream_calls(
    core: &NodeCore,
    head: &CallHead,
    called: &BTreeSet<CallTarget>,
) {
    core.chain
        .borrow_mut()
        .observe_downstream_calls(&call_target(head), called);
}

/// Returns the shed thresholds of the downstream services, to send with an answer of the local
/// backend server.
pub(crate) fn threshold_reports_for(core: &NodeCore, head: &CallHead) -> Vec<ThresholdReport> {
    let now = core.now();
    core.chain
        .borrow()
        .threshold_reports(now, &call_target(head))
}

/// Returns the service and the kind of call that a head names.
pub(crate) fn call_target(head: &CallHead) -> CallTarget {
    CallTarget::new(head.service.clone(), head.call.clone())
}
