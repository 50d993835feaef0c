use model::RunVerdict;
use retry::{FailedCall, RetryDecision, RetryPolicy};

use crate::call::CallResult;
use crate::event::TrialEvent;
use crate::policy::NodeKind;
use crate::world::TrialWorld;

impl TrialWorld {
    /// Plans another try of a call, if it may be tried again.
    pub(crate) fn plans_retry(&mut self, call: usize, result: CallResult) -> bool {
        let wait_ms = match self.policy.kind {
            NodeKind::Policy => self.retry_wait_ms(call, result),
            _ => self.next_hop_retry(call),
        };
        let Some(wait_ms) = wait_ms else {
            return false;
        };
        let entry = &mut self.calls[call];
        entry.tried.push(entry.vm);
        if wait_ms == 0 {
            self.send_call(call);
        } else {
            let at_us = self.now_us + wait_ms * 1_000;
            self.events.push(at_us, TrialEvent::CallRetried(call));
        }
        true
    }

    /// Returns the wait before the next try of a baseline, which is none, if it has one left.
    fn next_hop_retry(&mut self, call: usize) -> Option<u64> {
        let left = &mut self.calls[call].hop_retries_left;
        *left = left.checked_sub(1)?;
        Some(0)
    }

    /// Returns the wait before the next try by the policy, if there is one.
    fn retry_wait_ms(&mut self, call: usize, result: CallResult) -> Option<u64> {
        let (verdict, is_service_shedding) = match result {
            CallResult::Failed => (RunVerdict::MayHaveRun, false),
            CallResult::Refused(is_shed) => (RunVerdict::NotRun, is_shed),
            CallResult::Done | CallResult::ChildFailed => return None,
        };
        let entry = &mut self.calls[call];
        let tried = &self.tries[entry.client_try];
        if tried.is_over {
            return None;
        }
        let service = self.firm.calls[entry.plan].service;
        let question = FailedCall {
            verdict,
            is_idempotent: true,
            is_service_shedding,
            is_suspect: false,
            retries: entry.retries,
            retry_after_ms: None,
            left_ms: tried.deadline_us.saturating_sub(self.now_us) / 1_000,
            expected_ms: 0,
        };
        let ratio = &mut self.vms[entry.caller_vm].ratios[service];
        let policy = RetryPolicy::default();
        match policy.decide(&question, &mut entry.allowance, ratio, &mut self.random) {
            RetryDecision::Retry { wait_ms } => {
                entry.retries += 1;
                Some(wait_ms)
            }
            RetryDecision::Stop(_) => None,
        }
    }

    /// Sends a call again, unless its caller has left.
    pub(crate) fn retry_call(&mut self, call: usize) {
        let entry = &self.calls[call];
        if !self.tries[entry.client_try].is_over && self.vms[entry.caller_vm].is_alive {
            self.send_call(call);
        }
    }
}
