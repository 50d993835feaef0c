use std::collections::BTreeSet;

use clock::ClockTime;
use graph::{CallTarget, CutReport};
use model::{RunVerdict, ShedOrder, VmName};
use wire::{AnswerHead, CallHead};

use crate::call_answer::CallRefusal;
use crate::node_core::NodeCore;

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
    let order = ShedOrder::new(head.importance, head.request);
    let admission = core.chain.borrow();
    let target = target_of(head);
    let left_ms = now.until_ms(deadline);
    let admitted = admission.admit(now, &target, order, head.team.as_ref(), left_ms);
    admitted.map_err(|refusal| {
        CallRefusal::not_run(refusal.reason)
            .after_ms(refusal.retry_after_ms)
            .by(&refusal.service)
    })
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
        let own = CutReport {
            service: target.service.clone(),
            vm: vm.clone(),
            cuts: answer.load.cuts.clone(),
            age_ms: 0,
        };
        let lower = answer.cut_reports.iter().cloned();
        admission.observe_cuts(now, target, lower.chain([own]));
    }
    match answer.verdict {
        RunVerdict::Ran => admission.observe_duration(now, target, span_ms),
        RunVerdict::MayHaveRun => admission.observe_unfinished(now, target, span_ms),
        RunVerdict::NotRun => {}
    }
}

/// Learns which lower calls a complete run made.
pub(crate) fn note_uses(core: &NodeCore, head: &CallHead, used: &BTreeSet<CallTarget>) {
    core.chain.borrow_mut().observe_uses(&target_of(head), used);
}

/// Returns what the services below refuse, to go with an answer of the local backend server.
pub(crate) fn cut_reports_for(core: &NodeCore, head: &CallHead) -> Vec<CutReport> {
    let now = core.now();
    core.chain.borrow().cut_reports(now, &target_of(head))
}

/// Returns what a call calls.
pub(crate) fn target_of(head: &CallHead) -> CallTarget {
    CallTarget::new(head.service.clone(), head.call.clone())
}
