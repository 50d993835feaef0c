use rand::Rng;

use model::RunVerdict;

use crate::{RetryAllowance, RetrySource};

/// What is known when a call has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryQuestion {
    /// Whether the call may have run.
    pub verdict: RunVerdict,
    /// Whether running the call again does no harm; never so for a call that must run once.
    pub is_idempotent: bool,
    /// Whether the refusal says that the service as a whole is shedding.
    pub is_service_shedding: bool,
    /// Whether the call is suspected of crashing backend servers.
    pub is_suspect: bool,
    /// The retries made for this call so far.
    pub retries: u32,
    /// What the refusal asks to wait, in milliseconds.
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
    /// The call may have run, and running it again may do harm.
    MayHaveRun,
    /// The service as a whole is shedding.
    ServiceShedding,
    /// The call is suspected of crashing backend servers.
    Suspect,
    /// The deadline leaves no time.
    NoTime,
    /// The request has no retry left.
    AllowanceSpent,
    /// The route has had too few successes.
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
    /// The failure goes to the caller.
    Stop(RetryStop),
}

/// Decides whether a failed call is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The most to wait before the first retry, in milliseconds; doubled for each further one.
    pub base_wait_ms: u64,
    /// The most to wait before any retry, in milliseconds.
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
    /// Decides on one retry, and spends it from the allowance and from what pays for the route.
    pub fn may_retry(
        &self,
        question: &RetryQuestion,
        allowance: &mut RetryAllowance,
        source: &mut impl RetrySource,
        random: &mut impl Rng,
    ) -> RetryDecision {
        if let Some(stop) = reason_to_stop(question) {
            return RetryDecision::Stop(stop);
        }
        let wait_ms = self.wait_ms(question, random);
        if wait_ms.saturating_add(question.expected_ms) >= question.left_ms {
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

    /// Returns a random wait up to the doubled base, and no less than the refusal asks for.
    fn wait_ms(&self, question: &RetryQuestion, random: &mut impl Rng) -> u64 {
        let factor = 1_u64 << question.retries.min(16);
        let most_ms = self.base_wait_ms.saturating_mul(factor);
        let jitter_ms = random.random_range(0..=most_ms.min(self.max_wait_ms));
        question
            .retry_after_ms
            .unwrap_or(0)
            .saturating_add(jitter_ms)
    }
}

const fn reason_to_stop(question: &RetryQuestion) -> Option<RetryStop> {
    match question.verdict {
        RunVerdict::Ran => Some(RetryStop::Ran),
        RunVerdict::MayHaveRun if !question.is_idempotent => Some(RetryStop::MayHaveRun),
        _ if question.is_service_shedding => Some(RetryStop::ServiceShedding),
        _ if question.is_suspect => Some(RetryStop::Suspect),
        _ => None,
    }
}
