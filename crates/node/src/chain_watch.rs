use std::collections::BTreeSet;

use clock::ClockTime;
use graph::{CallTarget, RefusedRequest, ThresholdReport};
use model::{RefusalReason, RequestId, RunVerdict, ServiceName, ShedOrder, TeamName, VmName};
use wire::{AnswerHead, CallHead};

use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::node_core::NodeCore;
use crate::problem_body::problem_body;

/// Refuses a call that a service on its way would shed, or that can't be finished in time.
///
/// Only a call that enters the fleet is refused: work already begun goes on.
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
    let target = target_of(head);
    let team = head.team.as_ref();
    let left_ms = now.until_ms(deadline);
    let admitted = admission.admit(now, &target, order, team, left_ms);
    drop(admission);
    admitted.map_err(|refusal| {
        let after_ms = return_after_ms(core, head, &refusal.service);
        CallRefusal::not_run(refusal.reason)
            .after_ms(after_ms)
            .by(&refusal.service)
    })
}

/// Returns when the caller of a request should come back that a service has no room for, in
/// milliseconds.
pub(crate) fn return_after_ms(core: &NodeCore, head: &CallHead, service: &ServiceName) -> u64 {
    let refused = RefusedRequest {
        service,
        target: &target_of(head),
        team: head.team.as_ref(),
        order: head.shed_order(),
    };
    let mut admission = core.chain.borrow_mut();
    admission.retry_after_ms(core.now(), refused)
}

/// A request that entered here, as its answer is judged.
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
            target: target_of(head),
            order: head.shed_order(),
            team: head.team.clone(),
        }
    }

    /// Learns from the answer, and tells a caller that was refused when to come back.
    pub(crate) fn note_answer(&self, core: &NodeCore, answer: &mut CallAnswer) {
        let now = core.now();
        let (target, team) = (&self.target, self.team.as_ref());
        let mut admission = core.chain.borrow_mut();
        let head = &mut answer.head;
        let Some(reason) = head.refusal else {
            let run_ms = now.since_ms(self.started);
            admission.observe_served(now, target, team, run_ms);
            return;
        };
        let Some(service) = head.refused_by.as_ref().filter(|_| is_shed(reason)) else {
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
        answer.body = CallBody::Whole(body).into();
    }
}

/// Returns whether a reason is that a service has no room.
const fn is_shed(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded | RefusalReason::OverShare | RefusalReason::TooLate
    )
}

/// Learns from an answer that another node or the local ingress gave.
pub(crate) fn note_answer(
    core: &NodeCore,
    target: &CallTarget,
    vm: &VmName,
    answer: &AnswerHead,
    span_ms: u64,
) {
    let now = core.now();
    let mut admission = core.chain.borrow_mut();
    if answer.refusal.is_none() || answer.load.limit > 0 {
        let own = ThresholdReport {
            service: target.service.clone(),
            vm: vm.clone(),
            thresholds: answer.load.thresholds.clone(),
            age_ms: 0,
        };
        let lower = answer.threshold_reports.iter().cloned();
        admission.observe_thresholds(now, target, lower.chain([own]));
    }
    match answer.verdict {
        RunVerdict::Ran => admission.observe_duration(now, target, span_ms),
        RunVerdict::MayHaveRun => admission.observe_unfinished(now, target, span_ms),
        RunVerdict::NotRun => {}
    }
}

/// Learns which lower calls a complete run made.
pub(crate) fn note_uses(core: &NodeCore, head: &CallHead, used: &BTreeSet<CallTarget>) {
    core.chain
        .borrow_mut()
        .observe_downstream_calls(&target_of(head), used);
}

/// Returns what the services below refuse, to go with an answer of the local backend server.
pub(crate) fn cut_reports_for(core: &NodeCore, head: &CallHead) -> Vec<ThresholdReport> {
    let now = core.now();
    core.chain.borrow().threshold_reports(now, &target_of(head))
}

/// Returns what a call calls.
pub(crate) fn target_of(head: &CallHead) -> CallTarget {
    CallTarget::new(head.service.clone(), head.call.clone())
}
