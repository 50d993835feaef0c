use model::RunVerdict;
use retry::{FailedCall, RetryDecision, RetryPolicy};

use crate::call::CallResult;
use crate::event::SimulationEvent;
use crate::policy::NodeKind;
use crate::simulation::Simulation;

impl Simulation {
    /// Schedules a retry of a call if one is allowed, and returns whether it did.
    pub(crate) fn schedule_retry(&mut self, call: usize, result: CallResult) -> bool {
        let wait_ms = match self.policy.kind {
            NodeKind::Policy => self.retry_wait_ms(call, result),
            _ => self.next_hop_retry(call),
        };
        let Some(wait_ms) = wait_ms else {
            return false;
        };
        let record = &mut self.calls[call];
        record.tried_vms.push(record.vm);
        if wait_ms == 0 {
            self.send_call(call);
        } else {
            let at_us = self.now_us + wait_ms * 1_000;
            self.events.push(at_us, SimulationEvent::CallRetried(call));
        }
        true
    }

    /// Returns the delay before a retry by a baseline node, which is 0, if a retry is left.
    fn next_hop_retry(&mut self, call: usize) -> Option<u64> {
        let left = &mut self.calls[call].hop_retries_left;
        *left = left.checked_sub(1)?;
        Some(0)
    }

    /// Returns the delay before a retry by the policy, if it allows one.
    fn retry_wait_ms(&mut self, call: usize, result: CallResult) -> Option<u64> {
        let (verdict, is_service_shedding) = match result {
            CallResult::Failed => (RunVerdict::MayHaveRun, false),
            CallResult::Refused(is_shed) => (RunVerdict::NotRun, is_shed),
            CallResult::Done | CallResult::ChildFailed | CallResult::Moved => return None,
        };
        let record = &mut self.calls[call];
        let attempt = &self.attempts[record.client_attempt];
        if attempt.is_finished {
            return None;
        }
        let service = self.firm.calls[record.plan].service;
        let failed_call = FailedCall {
            verdict,
            is_idempotent: true,
            is_service_shedding,
            is_suspect: false,
            retries: record.retries,
            retry_after_ms: None,
            left_ms: attempt.deadline_us.saturating_sub(self.now_us) / 1_000,
            expected_ms: 0,
        };
        let ratio = &mut self.vms[record.caller_vm].retry_ratios[service];
        let policy = RetryPolicy::default();
        match policy.decide(&failed_call, &mut record.allowance, ratio, &mut self.random) {
            RetryDecision::Retry { wait_ms } => {
                record.retries += 1;
                Some(wait_ms)
            }
            RetryDecision::Stop(_) => None,
        }
    }

    /// Sends a call again, unless its caller has abandoned it.
    pub(crate) fn retry_call(&mut self, call: usize) {
        let record = &self.calls[call];
        if !self.attempts[record.client_attempt].is_finished && self.vms[record.caller_vm].is_alive
        {
            self.send_call(call);
        }
    }
}
