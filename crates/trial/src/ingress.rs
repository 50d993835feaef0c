use clock::ClockTime;
use limit::{
    AdmissionQueue, QueueAction, QueueDecision, QueueRefusal, QueueTicket, RunOutcome,
    ShedThresholds,
};
use model::{AttemptId, RefusalReason};

use crate::baseline::{BaselineDecision, BaselineQueue};
use crate::policy::{NodeKind, NodePolicy};

/// The refusal of a baseline, which gives no retry delay.
const BASELINE_REFUSAL: QueueRefusal = QueueRefusal {
    reason: RefusalReason::Overloaded,
    retry_after_ms: 0,
};

/// The action of an ingress for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IngressAction {
    Start(usize),
    Wait,
    Refuse(usize, QueueRefusal),
}

/// The queue in front of one backend server, for any kind of node.
#[derive(Clone, Debug)]
pub(crate) enum Ingress {
    Baseline(BaselineQueue),
    Policy(Box<AdmissionQueue>),
}

impl Ingress {
    pub(crate) fn new(policy: &NodePolicy, slots: u32, seed: u64) -> Self {
        match policy.kind {
            NodeKind::Naive => Self::Baseline(BaselineQueue::naive(slots)),
            NodeKind::Independent => Self::Baseline(BaselineQueue::independent(slots, seed)),
            NodeKind::Policy => {
                let mut queue = AdmissionQueue::new(policy.queue, seed);
                queue.set_slots(slots);
                Self::Policy(Box::new(queue))
            }
        }
    }

    pub(crate) fn offer(
        &mut self,
        now: ClockTime,
        call: usize,
        ticket: QueueTicket,
    ) -> IngressAction {
        match self {
            Self::Baseline(queue) => match queue.offer(call) {
                BaselineDecision::Start => IngressAction::Start(call),
                BaselineDecision::Wait => IngressAction::Wait,
                BaselineDecision::Refuse => IngressAction::Refuse(call, BASELINE_REFUSAL),
            },
            Self::Policy(queue) => match queue.offer(now, ticket) {
                QueueDecision::Start => IngressAction::Start(call),
                QueueDecision::Wait => IngressAction::Wait,
                QueueDecision::Refuse(refusal) => IngressAction::Refuse(call, refusal),
            },
        }
    }

    pub(crate) fn finish(
        &mut self,
        now: ClockTime,
        call: usize,
        own_ms: Option<u64>,
    ) -> Vec<IngressAction> {
        match self {
            Self::Baseline(queue) => {
                let mut starts = Vec::new();
                queue.finish(call, own_ms, &mut starts);
                starts.into_iter().map(IngressAction::Start).collect()
            }
            Self::Policy(queue) => {
                let mut actions = Vec::new();
                let outcome = own_ms.map_or(RunOutcome::Failed, |own_ms| RunOutcome::Completed {
                    own_ms,
                });
                queue.finish(now, attempt_id(call), outcome, &mut actions);
                actions.into_iter().map(action_of).collect()
            }
        }
    }

    pub(crate) fn cancel(&mut self, now: ClockTime, call: usize) -> Vec<IngressAction> {
        match self {
            Self::Baseline(_) => Vec::new(),
            Self::Policy(queue) => {
                let mut actions = Vec::new();
                queue.cancel(now, attempt_id(call), &mut actions);
                actions.into_iter().map(action_of).collect()
            }
        }
    }

    pub(crate) fn tick(&mut self, now: ClockTime) -> Vec<IngressAction> {
        match self {
            Self::Baseline(_) => Vec::new(),
            Self::Policy(queue) => {
                let mut actions = Vec::new();
                queue.tick(now, &mut actions);
                actions.into_iter().map(action_of).collect()
            }
        }
    }

    pub(crate) fn reset(&mut self) {
        match self {
            Self::Baseline(queue) => queue.reset(),
            Self::Policy(queue) => queue.reset(),
        }
    }

    pub(crate) fn queued(&self, now: ClockTime) -> usize {
        match self {
            Self::Baseline(queue) => queue.len(),
            Self::Policy(queue) => queue.load(now).queued as usize,
        }
    }

    /// Returns whether a call that arrives now waits.
    pub(crate) fn is_full(&self) -> bool {
        match self {
            Self::Baseline(queue) => queue.len() > 0,
            Self::Policy(queue) => queue.is_full(),
        }
    }

    /// Returns the load and the shed thresholds that the node reports; baselines report nothing.
    pub(crate) fn report(&self, now: ClockTime) -> Option<(route::LoadSample, ShedThresholds)> {
        match self {
            Self::Baseline(_) => None,
            Self::Policy(queue) => {
                let load = queue.load(now);
                let sample = route::LoadSample {
                    in_flight: load.in_flight,
                    limit: load.limit,
                    queued: load.queued,
                    slowness: load.slowness,
                };
                Some((sample, load.thresholds))
            }
        }
    }
}

pub(crate) const fn attempt_id(call: usize) -> AttemptId {
    AttemptId::from_random(call as u128)
}

const fn call_of(id: AttemptId) -> usize {
    (id.as_u128() & 0xFFFF_FFFF_FFFF) as usize
}

fn action_of(action: QueueAction) -> IngressAction {
    match action {
        QueueAction::Start(id) => IngressAction::Start(call_of(id)),
        QueueAction::Refuse(id, refusal) => IngressAction::Refuse(call_of(id), refusal),
    }
}
