use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::timeout;
use model::{RefusalReason, RunVerdict, ServiceName, VmName};
use route::{LoadSample, RouteOutcome};
use wire::{AnswerHead, CallHead};

use crate::answer_body::AnswerBody;
use crate::call_answer::{CallAnswer, CallRefusal};
use crate::call_body::CallBody;
use crate::ingress::run_call;
use crate::node_core::NodeCore;
use crate::replay_body::ReplayBody;

/// The time after which callers come back when no backend server is known, in milliseconds.
const NO_BACKEND_MS: u64 = 1_000;

/// Sends a call to a VM of its service, again where that is safe, until its deadline.
pub(crate) async fn dispatch_call(
    core: &Rc<NodeCore>,
    mut head: CallHead,
    body: CallBody,
    deadline: ClockTime,
) -> CallAnswer {
    let mut body = ReplayBody::new(body);
    let mut tried = Vec::new();
    loop {
        head.attempt = core.new_attempt_id();
        let left_ms = core.now().until_ms(deadline);
        head.deadline_left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        let Some(vm) = core.choose_vm(&head.service, &tried) else {
            let refusal = CallRefusal::not_run(RefusalReason::NoBackend).after_ms(NO_BACKEND_MS);
            return CallAnswer::refused(&head, &refusal.by(&head.service), head.allowance);
        };
        tried.push(vm.clone());
        let sending = send_to(core, &vm, &head, body.take());
        let in_time = timeout(Duration::from_millis(left_ms), sending).await;
        let answer = in_time.unwrap_or_else(|_| {
            let refusal = CallRefusal::may_have_run(RefusalReason::DeadlinePassed);
            CallAnswer::refused(&head, &refusal, 0)
        });
        head.allowance = answer.head.allowance_left;
        if !may_retry(&head, &answer.head) || !body.is_whole() {
            return answer;
        }
        head.allowance -= 1;
        core.metrics.count_retry();
    }
}

/// Returns whether a call may be sent to another VM.
fn may_retry(call: &CallHead, answer: &AnswerHead) -> bool {
    let is_safe = match answer.verdict {
        RunVerdict::NotRun => true,
        RunVerdict::MayHaveRun => call.idempotent && !call.once,
        RunVerdict::Ran => false,
    };
    let is_local_fault = matches!(
        answer.refusal,
        Some(
            RefusalReason::NoBackend
                | RefusalReason::LinkBroken
                | RefusalReason::BackendFailed
                | RefusalReason::NotReady
        )
    );
    is_safe && is_local_fault && call.allowance > 0
}

async fn send_to(core: &Rc<NodeCore>, vm: &VmName, head: &CallHead, body: CallBody) -> CallAnswer {
    let mut route = RouteGuard::begin(core, &head.service, vm);
    let answer = if *vm == core.settings.vm {
        run_call(core, head.clone(), body).await
    } else {
        send_over_link(core, vm, head, body).await
    };
    route.finish(&answer.head);
    answer
}

async fn send_over_link(
    core: &Rc<NodeCore>,
    vm: &VmName,
    head: &CallHead,
    body: CallBody,
) -> CallAnswer {
    let link = core.links.get(&core.settings, vm).await;
    let result = match link {
        Ok(link) => link.call(head, body).await,
        Err(error) => Err(error),
    };
    match result {
        Ok((answer, body)) => {
            let told = answer.body_bytes;
            let body = AnswerBody::new(CallBody::Link(body), told);
            CallAnswer { head: answer, body }
        }
        Err(error) => {
            log::warn!(
                "event=link-failed request={} attempt={} vm={} verdict={} error={:?}",
                head.request,
                head.attempt,
                vm,
                error.verdict().as_str(),
                error.to_string(),
            );
            let refusal = CallRefusal {
                verdict: error.verdict(),
                ..CallRefusal::not_run(RefusalReason::LinkBroken)
            };
            let allowance_left = match error.verdict() {
                RunVerdict::NotRun => head.allowance,
                _ => 0,
            };
            CallAnswer::refused(head, &refusal, allowance_left)
        }
    }
}

/// Tells the router of a service how a call that was sent ended.
struct RouteGuard<'c> {
    core: &'c NodeCore,
    service: &'c ServiceName,
    vm: &'c VmName,
    started: ClockTime,
    is_done: bool,
}

impl<'c> RouteGuard<'c> {
    fn begin(core: &'c NodeCore, service: &'c ServiceName, vm: &'c VmName) -> Self {
        core.with_router(service, |router| router.begin(vm));
        Self {
            core,
            service,
            vm,
            started: core.now(),
            is_done: false,
        }
    }

    fn finish(&mut self, answer: &AnswerHead) {
        let latency_ms = self.core.now().since_ms(self.started);
        let outcome = match (answer.verdict, answer.refusal) {
            (RunVerdict::Ran, _) => RouteOutcome::Succeeded { latency_ms },
            (_, Some(RefusalReason::LinkBroken | RefusalReason::BackendFailed)) => {
                RouteOutcome::Failed
            }
            (RunVerdict::NotRun, Some(RefusalReason::NoBackend)) => RouteOutcome::Failed,
            (RunVerdict::NotRun, _) => RouteOutcome::Refused,
            _ => RouteOutcome::Abandoned,
        };
        let sample = LoadSample {
            in_flight: answer.load.in_flight,
            limit: answer.load.limit,
            queued: answer.load.queued,
        };
        let sample = (sample.limit > 0).then_some(sample);
        self.tell(outcome, sample);
    }

    fn tell(&mut self, outcome: RouteOutcome, sample: Option<LoadSample>) {
        self.is_done = true;
        let now = self.core.now();
        self.core.with_router(self.service, |router| {
            router.finish(now, self.vm, outcome, sample);
        });
    }
}

impl Drop for RouteGuard<'_> {
    fn drop(&mut self) {
        if !self.is_done {
            self.tell(RouteOutcome::Abandoned, None);
        }
    }
}
