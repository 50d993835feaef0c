use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use clock::ClockTime;
use model::AttemptId;

use crate::StoredAnswer;

/// Settings of an [`AttemptTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptSettings {
    /// How long an attempt is remembered after it ended or was refused, in milliseconds.
    pub remember_ms: u64,
    /// The most attempts remembered.
    pub max_attempts: usize,
    /// The most memory for answers, in bytes.
    pub answer_bytes: usize,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            remember_ms: 30_000,
            max_attempts: 20_000,
            answer_bytes: 4 * 1024 * 1024,
        }
    }
}

/// A moment of one start of one node, which the node tells its peers on every link.
///
/// A sender puts the latest mark that it has heard on every attempt. The attempt can't arrive
/// before the moment of its mark, so the receiver knows whether it would still remember it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableMark {
    /// A random number, new for every start of the node.
    pub incarnation: u64,
    /// The moment on the clock of that node.
    pub time: ClockTime,
}

/// Whether an attempt that arrives may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptArrival {
    /// It is new.
    Accept,
    /// It was here before.
    Repeated,
    /// Its sender was told that it isn't here.
    Disowned,
    /// Its mark is too old to tell whether its sender was told that it isn't here.
    Stale,
    /// The table is full of attempts under way.
    Full,
}

/// What a node knows of an attempt that a sender asks about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// It hasn't arrived, and is refused from now on: it is not run.
    NotSeen,
    /// It arrived and hasn't ended.
    Running,
    /// It ended, with the answer if it is still kept.
    Done(Option<StoredAnswer>),
    /// It was refused here before any byte went to the backend server.
    NotRun,
    /// The node may have forgotten it.
    Unknown,
}

#[derive(Clone, Debug)]
enum SeenAttempt {
    Running,
    Done(Option<StoredAnswer>),
    NotRun,
    Disowned,
}

/// The attempts that a node has seen lately, for senders in doubt.
///
/// What is forgotten raises a low-water mark. Below it the table answers
/// [`Unknown`](AttemptState::Unknown) and accepts nothing.
#[derive(Clone, Debug)]
pub struct AttemptTable {
    settings: AttemptSettings,
    incarnation: u64,
    seen: BTreeMap<AttemptId, SeenAttempt>,
    by_age: BTreeSet<(ClockTime, AttemptId)>,
    complete_since: ClockTime,
    answer_bytes: usize,
}

impl AttemptTable {
    /// Creates an empty table for one start of a node.
    #[must_use]
    pub const fn new(settings: AttemptSettings, now: ClockTime, incarnation: u64) -> Self {
        Self {
            settings,
            incarnation,
            seen: BTreeMap::new(),
            by_age: BTreeSet::new(),
            complete_since: now,
            answer_bytes: 0,
        }
    }

    /// Returns the mark to tell peers.
    #[must_use]
    pub const fn mark(&self, now: ClockTime) -> TableMark {
        TableMark {
            incarnation: self.incarnation,
            time: now,
        }
    }

    /// Returns the number of attempts remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns whether no attempt is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Notes an attempt that arrives, and returns whether it may go on.
    pub fn arrive(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        mark: TableMark,
    ) -> AttemptArrival {
        self.forget(now);
        match self.seen.get(&attempt) {
            Some(SeenAttempt::Disowned) => return AttemptArrival::Disowned,
            Some(_) => return AttemptArrival::Repeated,
            None => {}
        }
        if !self.make_room() {
            return AttemptArrival::Full;
        }
        if !self.covers(mark) {
            return AttemptArrival::Stale;
        }
        self.seen.insert(attempt, SeenAttempt::Running);
        AttemptArrival::Accept
    }

    /// Notes that an attempt ended, with its answer if it has one to keep.
    pub fn finish(&mut self, now: ClockTime, attempt: AttemptId, answer: Option<StoredAnswer>) {
        let room = self.settings.answer_bytes.saturating_sub(self.answer_bytes);
        let answer = answer.filter(|answer| answer.len() <= room);
        self.answer_bytes += answer.as_ref().map_or(0, StoredAnswer::len);
        self.end(now, attempt, SeenAttempt::Done(answer));
    }

    /// Notes that an attempt was refused before any byte went to the backend server.
    pub fn refuse(&mut self, now: ClockTime, attempt: AttemptId) {
        self.end(now, attempt, SeenAttempt::NotRun);
    }

    /// Answers a sender in doubt; `mark` is the one that the attempt carried.
    pub fn ask(&mut self, now: ClockTime, attempt: AttemptId, mark: TableMark) -> AttemptState {
        self.forget(now);
        match self.seen.get(&attempt) {
            Some(SeenAttempt::Running) => AttemptState::Running,
            Some(SeenAttempt::Done(answer)) => AttemptState::Done(answer.clone()),
            Some(SeenAttempt::NotRun) => AttemptState::NotRun,
            Some(SeenAttempt::Disowned) => AttemptState::NotSeen,
            None => self.disown(now, attempt, mark),
        }
    }

    fn disown(&mut self, now: ClockTime, attempt: AttemptId, mark: TableMark) -> AttemptState {
        if !self.make_room() || !self.covers(mark) {
            return AttemptState::Unknown;
        }
        self.seen.insert(attempt, SeenAttempt::Disowned);
        self.by_age.insert((now, attempt));
        AttemptState::NotSeen
    }

    fn covers(&self, mark: TableMark) -> bool {
        mark.incarnation == self.incarnation && mark.time >= self.complete_since
    }

    fn end(&mut self, now: ClockTime, attempt: AttemptId, state: SeenAttempt) {
        if let Some(seen @ SeenAttempt::Running) = self.seen.get_mut(&attempt) {
            *seen = state;
            self.by_age.insert((now, attempt));
        }
    }

    fn forget(&mut self, now: ClockTime) {
        let remember_ms = self.settings.remember_ms;
        let is_old = |time: ClockTime| now.since_ms(time) >= remember_ms;
        while self.by_age.first().is_some_and(|(time, _)| is_old(*time)) {
            self.forget_oldest();
        }
    }

    /// Returns whether there is room for one more attempt, forgetting the oldest if need be.
    fn make_room(&mut self) -> bool {
        if self.seen.len() < self.settings.max_attempts {
            return true;
        }
        self.forget_oldest();
        self.seen.len() < self.settings.max_attempts
    }

    fn forget_oldest(&mut self) {
        let Some((time, attempt)) = self.by_age.pop_first() else {
            return;
        };
        self.complete_since = self.complete_since.max(time.plus_ms(1));
        if let Some(SeenAttempt::Done(Some(answer))) = self.seen.remove(&attempt) {
            self.answer_bytes -= answer.len();
        }
    }
}
