use clock::ClockTime;
use graph::CallTarget;
use model::{RefusalReason, RunVerdict, VmName};
use route::{LoadSample, RouteOutcome};
use wire::{AnswerHead, CallHead};

use crate::chain_admission::{call_target, observe_answer};
use crate::node_core::NodeCore;

/// Reports to the router of a service how a sent call ended. A call that is dropped counts as
/// abandoned.
pub(crate) struct RouteGuard<'c> {
    core: &'c NodeCore,
    target: CallTarget,
    vm: &'c VmName,
    started: ClockTime,
    is_reported: bool,
}

impl<'c> RouteGuard<'c> {
    pub(crate) fn begin(core: &'c NodeCore, head: &CallHead, vm: &'c VmName) -> Self {
        core.with_router(&head.service, |router| router.begin(core.now(), vm));
        Self {
            core,
            target: call_target(head),
            vm,
            started: core.now(),
            is_reported: false,
        }
    }

    pub(crate) fn finish(&mut self, answer: &AnswerHead) {
        let latency_ms = self.core.now().since_ms(self.started);
        observe_answer(self.core, &self.target, self.vm, answer, latency_ms);
        let outcome = match (answer.verdict, answer.refusal) {
            (RunVerdict::Ran, _) => RouteOutcome::Succeeded { latency_ms },
            (_, Some(RefusalReason::LinkBroken | RefusalReason::BackendFailed))
            | (RunVerdict::NotRun, Some(RefusalReason::NoBackend)) => RouteOutcome::Failed,
            (RunVerdict::NotRun, Some(RefusalReason::BackendLimited)) => RouteOutcome::Limited,
            (RunVerdict::NotRun, _) => RouteOutcome::Refused,
            _ => RouteOutcome::Abandoned,
        };
        // The call itself still holds its slot when its answer is sent.
        let ended = u32::from(answer.load.slowness > 0 && answer.verdict == RunVerdict::Ran);
        let sample = LoadSample {
            in_flight: answer.load.in_flight.saturating_sub(ended),
            limit: answer.load.limit,
            queued: answer.load.queued,
            slowness: answer.load.slowness,
        };
        self.record_news(answer);
        self.report(outcome, (sample.limit > 0).then_some(sample));
    }

    /// Records what an answer says of other VMs, and how long the call ran.
    fn record_news(&self, answer: &AnswerHead) {
        let now = self.core.now();
        let CallTarget { service, call } = &self.target;
        let has_run = answer.refusal.is_none() && (200..300).contains(&answer.status);
        self.core.with_router(service, |router| {
            router.record_news(now, &answer.load.news);
            if has_run && answer.verdict == RunVerdict::Ran {
                let answer_bytes = answer.body_bytes.unwrap_or(0);
                router.record_run(self.vm, call, answer.run_ms, answer_bytes);
            }
        });
    }

    fn report(&mut self, outcome: RouteOutcome, sample: Option<LoadSample>) {
        self.is_reported = true;
        let now = self.core.now();
        self.core.with_router(&self.target.service, |router| {
            router.finish(now, self.vm, outcome, sample);
        });
    }
}

impl Drop for RouteGuard<'_> {
    fn drop(&mut self) {
        if !self.is_reported {
            self.report(RouteOutcome::Abandoned, None);
        }
    }
}
