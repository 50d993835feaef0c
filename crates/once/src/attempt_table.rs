use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use clock::ClockTime;
use model::AttemptId;

use crate::StoredAnswer;

/// Settings of an [`AttemptTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptSettings {
    /// How long an attempt is retained after it ended or was refused, in milliseconds.
    pub retention_ms: u64,
    /// The maximum number of retained attempts.
    pub max_attempts: usize,
    /// The maximum memory for answers, in bytes.
    pub answer_bytes: usize,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            retention_ms: 30_000,
            max_attempts: 20_000,
            answer_bytes: 4 * 1024 * 1024,
        }
    }
}

/// A time on the clock of one node since one start, sent by the node to its peers on every link.
///
/// A sender attaches the receiver's latest known mark to every attempt. The attempt can't have
/// arrived before the time of its mark, so the receiver can tell whether it would still have a
/// record of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableMark {
    /// A random number, new for every start of the node.
    pub incarnation: u64,
    /// The time on the clock of that node.
    pub time: ClockTime,
}

/// Whether an arriving attempt may proceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptArrival {
    /// The attempt is new.
    Accept,
    /// The attempt arrived before.
    Repeated,
    /// Its sender was informed that the attempt hasn't arrived.
    ReportedNotSeen,
    /// Its mark is too old to tell whether its sender was informed that the attempt hasn't arrived.
    Stale,
    /// The table is full of running attempts.
    Full,
}

/// What a node knows about an attempt, in answer to its sender's query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// The attempt hasn't arrived and will be refused if it does: it is not run.
    NotSeen,
    /// The attempt arrived and hasn't ended.
    Running,
    /// The attempt ended; holds the answer if it is still stored.
    Done(Option<StoredAnswer>),
    /// The attempt was refused before any byte was sent to the backend server.
    NotRun,
    /// The node may have removed its record of the attempt.
    Unknown,
}

#[derive(Clone, Debug)]
enum SeenAttempt {
    Running,
    Done(Option<StoredAnswer>),
    NotRun,
    ReportedNotSeen,
}

/// The attempts that a node received recently, for queries by senders that got no answer.
///
/// Removing an attempt raises a low-water mark in time. For attempts with an older mark, the table
/// returns [`Unknown`](AttemptState::Unknown) and accepts nothing.
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

    /// Returns the mark to send to peers.
    #[must_use]
    pub const fn mark(&self, now: ClockTime) -> TableMark {
        TableMark {
            incarnation: self.incarnation,
            time: now,
        }
    }

    /// Returns the number of retained attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns whether no attempt is retained.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Records an arriving attempt, and returns whether it may proceed.
    pub fn on_arrival(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        mark: TableMark,
    ) -> AttemptArrival {
        self.remove_expired(now);
        match self.seen.get(&attempt) {
            Some(SeenAttempt::ReportedNotSeen) => return AttemptArrival::ReportedNotSeen,
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

    /// Records the end of an attempt, with its answer if there is one to store.
    pub fn finish(&mut self, now: ClockTime, attempt: AttemptId, answer: Option<StoredAnswer>) {
        let room = self.settings.answer_bytes.saturating_sub(self.answer_bytes);
        let answer = answer.filter(|answer| answer.len() <= room);
        self.answer_bytes += answer.as_ref().map_or(0, StoredAnswer::len);
        self.end(now, attempt, SeenAttempt::Done(answer));
    }

    /// Records that an attempt was refused before any byte was sent to the backend server.
    pub fn refuse(&mut self, now: ClockTime, attempt: AttemptId) {
        self.end(now, attempt, SeenAttempt::NotRun);
    }

    /// Answers a sender's query; `mark` is the one attached to the attempt.
    pub fn query(&mut self, now: ClockTime, attempt: AttemptId, mark: TableMark) -> AttemptState {
        self.remove_expired(now);
        match self.seen.get(&attempt) {
            Some(SeenAttempt::Running) => AttemptState::Running,
            Some(SeenAttempt::Done(answer)) => AttemptState::Done(answer.clone()),
            Some(SeenAttempt::NotRun) => AttemptState::NotRun,
            Some(SeenAttempt::ReportedNotSeen) => AttemptState::NotSeen,
            None => self.report_not_seen(now, attempt, mark),
        }
    }

    fn report_not_seen(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        mark: TableMark,
    ) -> AttemptState {
        if !self.make_room() || !self.covers(mark) {
            return AttemptState::Unknown;
        }
        self.seen.insert(attempt, SeenAttempt::ReportedNotSeen);
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

    fn remove_expired(&mut self, now: ClockTime) {
        let retention_ms = self.settings.retention_ms;
        let is_old = |time: ClockTime| now.since_ms(time) >= retention_ms;
        while self.by_age.first().is_some_and(|(time, _)| is_old(*time)) {
            self.remove_oldest();
        }
    }

    /// Returns whether there is room for one more attempt, removing the oldest ended one if
    /// necessary.
    fn make_room(&mut self) -> bool {
        if self.seen.len() < self.settings.max_attempts {
            return true;
        }
        self.remove_oldest();
        self.seen.len() < self.settings.max_attempts
    }

    fn remove_oldest(&mut self) {
        let Some((time, attempt)) = self.by_age.pop_first() else {
            return;
        };
        self.complete_since = self.complete_since.max(time.plus_ms(1));
        if let Some(SeenAttempt::Done(Some(answer))) = self.seen.remove(&attempt) {
            self.answer_bytes -= answer.len();
        }
    }
}
