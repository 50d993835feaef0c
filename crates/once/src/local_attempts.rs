use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clock::ClockTime;
use model::AttemptId;

use crate::{KeyDigest, OnceRequest};

/// The state of an attempt at this node that hasn't ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LocalState {
    /// Not compared with the owner of its key yet.
    New,
    /// Its claim is waiting to be appended or read back.
    Pending,
    /// Waits for the outcome of another attempt at this node.
    Joined,
    /// Waits for the reply of the given owner's holder, which is queried again at the given time.
    QueryingHolder(AttemptId, ClockTime),
    /// Owns the key and waits in the queue.
    Won,
    /// Bytes may have been sent to the backend server.
    Running,
}

/// The outcome of an ended attempt at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndState {
    /// The backend server answered it.
    Ran,
    /// It may have run.
    MayHaveRun,
    /// It hasn't run and never will.
    NotRun,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalAttempt {
    pub(crate) request: OnceRequest,
    pub(crate) state: LocalState,
}

/// The attempts at this node: those that haven't ended, and a bounded history of those that have.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalAttempts {
    live: BTreeMap<AttemptId, LocalAttempt>,
    by_key: BTreeMap<KeyDigest, Vec<AttemptId>>,
    deadlines: BTreeSet<(ClockTime, AttemptId)>,
    ended: BTreeMap<AttemptId, EndState>,
    ended_order: VecDeque<AttemptId>,
    max_ended: usize,
}

impl LocalAttempts {
    pub(crate) fn new(max_ended: usize) -> Self {
        Self {
            max_ended,
            ..Self::default()
        }
    }

    pub(crate) fn live_len(&self) -> usize {
        self.live.len()
    }

    pub(crate) fn insert(&mut self, request: OnceRequest) {
        let state = LocalState::New;
        let attempt = request.attempt;
        self.live.insert(attempt, LocalAttempt { request, state });
        self.by_key.entry(request.key).or_default().push(attempt);
        self.deadlines.insert((request.deadline, attempt));
    }

    pub(crate) fn get(&self, attempt: AttemptId) -> Option<&LocalAttempt> {
        self.live.get(&attempt)
    }

    pub(crate) fn is_known(&self, attempt: AttemptId) -> bool {
        self.live.contains_key(&attempt) || self.ended.contains_key(&attempt)
    }

    pub(crate) fn ended(&self, attempt: AttemptId) -> Option<EndState> {
        self.ended.get(&attempt).copied()
    }

    pub(crate) fn set_state(&mut self, attempt: AttemptId, state: LocalState) {
        let Some(local) = self.live.get_mut(&attempt) else {
            return;
        };
        local.state = state;
        if state == LocalState::Running {
            self.deadlines.remove(&(local.request.deadline, attempt));
        }
    }

    pub(crate) fn of_key(&self, key: KeyDigest) -> Vec<AttemptId> {
        self.by_key.get(&key).cloned().unwrap_or_default()
    }

    pub(crate) fn in_state(&self, matches: impl Fn(LocalState) -> bool) -> Vec<AttemptId> {
        self.live
            .iter()
            .filter(|(_, local)| matches(local.state))
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Moves an attempt to the ended ones.
    pub(crate) fn end(&mut self, attempt: AttemptId, state: EndState) -> Option<LocalAttempt> {
        let local = self.live.remove(&attempt)?;
        self.deadlines.remove(&(local.request.deadline, attempt));
        if let Some(attempts) = self.by_key.get_mut(&local.request.key) {
            attempts.retain(|other| *other != attempt);
            if attempts.is_empty() {
                self.by_key.remove(&local.request.key);
            }
        }
        self.ended.insert(attempt, state);
        self.ended_order.push_back(attempt);
        if self.ended_order.len() > self.max_ended
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        Some(local)
    }

    pub(crate) fn first_overdue(&self, now: ClockTime) -> Option<AttemptId> {
        self.deadlines
            .first()
            .filter(|(deadline, _)| *deadline <= now)
            .map(|(_, attempt)| *attempt)
    }

    pub(crate) fn next_deadline(&self) -> Option<ClockTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    pub(crate) fn next_query(&self) -> Option<ClockTime> {
        let query_time = |local: &LocalAttempt| match local.state {
            LocalState::QueryingHolder(_, time) => Some(time),
            _ => None,
        };
        self.live.values().filter_map(query_time).min()
    }
}
