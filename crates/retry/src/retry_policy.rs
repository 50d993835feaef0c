use rand::Rng;

use model::RunVerdict;

use crate::{RetryAllowance, RetrySource};

/// A call that has failed, and what the decision on a retry depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// Whether the call may have run.
    pub verdict: RunVerdict,
    /// Whether the call may safely run again; never true for a call that must run once.
    pub is_idempotent: bool,
    /// Whether the refusal says that the service as a whole is shedding.
    pub is_service_shedding: bool,
    /// Whether the call is suspected of crashing backend servers.
    pub is_suspect: bool,
    /// The retries made for this call so far.
    pub retries: u32,
    /// The wait that the refusal requests, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// The time that the call is expected to take, in milliseconds.
    pub expected_ms: u64,
}

/// Why a call isn't retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStop {
    /// The call has run.
    Ran,
    /// The call may have run and isn't idempotent.
    MayHaveRun,
    /// The service as a whole is shedding.
    ServiceShedding,
    /// The call is suspected of crashing backend servers.
    Suspect,
    /// Too little time is left until the deadline.
    NoTime,
    /// The request has no retry left.
    AllowanceSpent,
    /// The [`RetrySource`] of the route has no retry left.
    RatioSpent,
}

/// Whether a call is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call is sent again, to another VM.
    Retry {
        /// The wait before it, in milliseconds.
        wait_ms: u64,
    },
    /// The failure is returned to the caller.
    Stop(RetryStop),
}

/// Decides whether a failed call is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The longest wait before the first retry, in milliseconds; doubled for each further one.
    pub base_wait_ms: u64,
    /// The longest random wait before any retry, in milliseconds.
    pub max_wait_ms: u64,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            base_wait_ms: 4,
            max_wait_ms: 250,
        }
    }
}

impl RetryPolicy {
    /// Decides on one retry and charges it to the allowance and to the source of the route.
    pub fn decide(
        &self,
        call: &FailedCall,
        allowance: &mut RetryAllowance,
        source: &mut impl RetrySource,
        random: &mut impl Rng,
    ) -> RetryDecision {
        if let Some(stop) = reason_to_stop(call) {
            return RetryDecision::Stop(stop);
        }
        let wait_ms = self.wait_ms(call, random);
        if wait_ms.saturating_add(call.expected_ms) >= call.left_ms {
            return RetryDecision::Stop(RetryStop::NoTime);
        }
        if !source.has_retry() {
            return RetryDecision::Stop(RetryStop::RatioSpent);
        }
        if !allowance.spend() {
            return RetryDecision::Stop(RetryStop::AllowanceSpent);
        }
        source.spend();
        RetryDecision::Retry { wait_ms }
    }

    /// Returns the wait that the refusal requests plus a random one, which is limited by the
    /// exponential backoff.
    fn wait_ms(&self, call: &FailedCall, random: &mut impl Rng) -> u64 {
        let factor = 1_u64 << call.retries.min(16);
        let most_ms = self.base_wait_ms.saturating_mul(factor);
        let jitter_ms = random.random_range(0..=most_ms.min(self.max_wait_ms));
        call.retry_after_ms.unwrap_or(0).saturating_add(jitter_ms)
    }
}

const fn reason_to_stop(call: &FailedCall) -> Option<RetryStop> {
    match call.verdict {
        RunVerdict::Ran => Some(RetryStop::Ran),
        RunVerdict::MayHaveRun if !call.is_idempotent => Some(RetryStop::MayHaveRun),
        _ if call.is_service_shedding => Some(RetryStop::ServiceShedding),
        _ if call.is_suspect => Some(RetryStop::Suspect),
        _ => None,
    }
}
