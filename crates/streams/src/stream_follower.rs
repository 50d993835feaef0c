use clock::ClockTime;
use model::VmName;
use rand::Rng;

use crate::{
    LogOffset, LogRecord, LogStream, NewsTime, ReadBatch, ReadError, RelayBatch, RelayPlan,
    RelayPull, RelaySnapshot,
};

/// How often a loop without anything to do checks again, in milliseconds.
const IDLE_CHECK_MS: u64 = 100;

/// The shortest time between two questions to other nodes, in milliseconds.
const MIN_PULL_GAP_MS: u64 = 20;

/// How much fresher news must be to end another node's wait, in milliseconds: several times the
/// way between two data centres.
const MIN_FRESHER_MS: u64 = 150;

/// How a stream is followed.
#[derive(Clone, Copy, Debug)]
pub struct FollowSettings {
    /// How long a read of the log may wait for news, in milliseconds.
    pub read_wait_ms: u64,
    /// The shortest time between two reads of the log, in milliseconds; records that come close
    /// together are read at once.
    pub read_gap_ms: u64,
    /// The time after which another read is asked for beside one without an answer, in
    /// milliseconds.
    pub hedge_after_ms: u64,
    /// The most reads under way at once.
    pub max_reads: usize,
    /// How long a pull from another node may wait for news, in milliseconds.
    pub pull_wait_ms: u64,
    /// How long such a pull may wait when the node tries several in turn, in milliseconds.
    pub turn_wait_ms: u64,
    /// The age of news at which a node that reads the log asks others too, in milliseconds.
    pub pull_after_ms: u64,
    /// The shortest wait after a failure, in milliseconds.
    pub min_backoff_ms: u64,
    /// The longest wait after failures, in milliseconds.
    pub max_backoff_ms: u64,
    /// The age of news at which a node that pulls tries the log itself, in milliseconds.
    pub direct_after_ms: u64,
    /// The longest random wait before it does so, in milliseconds.
    pub direct_spread_ms: u64,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self {
            read_wait_ms: 300,
            read_gap_ms: 0,
            hedge_after_ms: 1_000,
            max_reads: 5,
            pull_wait_ms: 300,
            turn_wait_ms: 100,
            pull_after_ms: 1_200,
            min_backoff_ms: 100,
            max_backoff_ms: 1_000,
            direct_after_ms: 2_500,
            direct_spread_ms: 500,
        }
    }
}

/// What the driver of a follower does next; it tells the result before it asks again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowAction {
    /// Read the log, and tell [`StreamFollower::on_read`].
    Read {
        /// The offset to read from.
        from: LogOffset,
        /// How long the read may wait for news, in milliseconds.
        wait_ms: u64,
    },
    /// Ask another node, and tell [`StreamFollower::on_batch`] or
    /// [`StreamFollower::on_pull_failure`].
    Pull {
        /// The node.
        peer: VmName,
        /// The question.
        pull: RelayPull,
    },
    /// Ask again at this moment, or a little later.
    Wait(ClockTime),
}

/// What is wrong with a stream, kept until a good read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowFault {
    /// The log ends before what was read from it, so it isn't the log it was.
    WentBack {
        /// The offset to read from.
        next: LogOffset,
        /// The end of the log.
        end: LogOffset,
    },
}

/// What was learnt, to be handed to the stream's fold in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowNews {
    /// Records before this offset are gone and weren't read.
    pub lost_before: Option<LogOffset>,
    /// A state to take in.
    pub snapshot: Option<RelaySnapshot>,
    /// The records that follow.
    pub records: Vec<LogRecord>,
}

/// Follows one stream, by reading the log or by asking other nodes.
///
/// Freshness is a moment on the node's own clock: everything that was on the stream by then has
/// been handed over. It counts from when a question was *asked*, or for how long another node says
/// that it kept the question, so neither a slow log nor a
/// slow link can make old news look fresh.
///
/// The driver runs two loops, one for [`Self::next_read`] and one for [`Self::next_pull`], so
/// that a log which doesn't answer keeps nobody from asking the other nodes. It asks for another
/// read beside one that has no answer after `hedge_after_ms`, over another connection, so that
/// neither a silent connection nor a slow log makes the news much older than one answer takes.
#[derive(Clone, Debug)]
pub struct StreamFollower {
    stream: LogStream,
    settings: FollowSettings,
    plan: RelayPlan,
    next: LogOffset,
    first: LogOffset,
    fresh_at: Option<NewsTime>,
    advanced_at: ClockTime,
    started: Option<ClockTime>,
    needs_snapshot: bool,
    read_failures: u32,
    read_at: ClockTime,
    pull_turn: usize,
    asked_turn: usize,
    pull_failures: u32,
    pull_at: ClockTime,
    direct_at: Option<ClockTime>,
    fault: Option<FollowFault>,
}

impl StreamFollower {
    /// Creates a follower that starts at the stream's first record.
    #[must_use]
    pub fn new(stream: LogStream, settings: FollowSettings) -> Self {
        Self {
            stream,
            settings,
            plan: RelayPlan::default(),
            next: LogOffset::ZERO,
            first: LogOffset::ZERO,
            fresh_at: None,
            advanced_at: ClockTime::ZERO,
            started: None,
            needs_snapshot: false,
            read_failures: 0,
            read_at: ClockTime::ZERO,
            pull_turn: 0,
            asked_turn: 0,
            pull_failures: 0,
            pull_at: ClockTime::ZERO,
            direct_at: None,
            fault: None,
        }
    }

    /// Returns the stream.
    #[must_use]
    pub const fn stream(&self) -> LogStream {
        self.stream
    }

    /// Returns the offset of the first record not yet handed over.
    #[must_use]
    pub const fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the oldest offset that the log was seen to keep.
    #[must_use]
    pub const fn first(&self) -> LogOffset {
        self.first
    }

    /// Returns the moment up to which everything on the stream has been handed over.
    #[must_use]
    pub const fn fresh_at(&self) -> Option<NewsTime> {
        self.fresh_at
    }

    /// Returns what is wrong with the stream.
    #[must_use]
    pub const fn fault(&self) -> Option<FollowFault> {
        self.fault
    }

    /// Sets whom to ask.
    pub fn set_plan(&mut self, plan: RelayPlan) {
        if self.plan != plan {
            self.pull_turn = 0;
        }
        self.plan = plan;
    }

    /// Returns whether another node's question, kept for `held_ms`, can be answered with fresher
    /// news than the asker has.
    #[must_use]
    pub fn is_fresher(&self, now: ClockTime, pull: &RelayPull, held_ms: u64) -> bool {
        let asker_age = pull.age_ms.map(|age| age.saturating_add(held_ms));
        let own_age = self.fresh_at.map(|time| time.age_ms(now));
        match (own_age, asker_age) {
            (Some(own_age), Some(asker_age)) => own_age + MIN_FRESHER_MS <= asker_age,
            (own_age, None) => own_age.is_some(),
            (None, Some(_)) => false,
        }
    }

    /// Sets whether the stream's fold waits for a snapshot.
    pub const fn set_needs_snapshot(&mut self, needs_snapshot: bool) {
        self.needs_snapshot = needs_snapshot;
    }

    /// Returns what the loop that reads the log does next.
    pub fn next_read<R: Rng>(&mut self, now: ClockTime, rng: &mut R) -> FollowAction {
        if now < self.read_at {
            return FollowAction::Wait(self.read_at);
        }
        if !self.plan.is_reader() && !self.is_direct(now, rng) {
            return FollowAction::Wait(now.plus_ms(IDLE_CHECK_MS));
        }
        // A read that waits proves nothing until it ends, so one that is late asks for an answer
        // at once.
        let is_aged = self.age_ms(now) >= self.late_after_ms();
        let wait_ms = if is_aged {
            0
        } else {
            self.settings.read_wait_ms
        };
        FollowAction::Read {
            from: self.next,
            wait_ms,
        }
    }

    /// Returns what the loop that asks other nodes does next.
    pub fn next_pull(&mut self, now: ClockTime) -> FollowAction {
        if now < self.pull_at {
            return FollowAction::Wait(self.pull_at);
        }
        let is_late = self.is_late(now);
        let is_wanted = is_late || !self.plan.is_reader();
        let sources = self.plan.sources();
        let turn = self.pull_turn.checked_rem(sources.len()).unwrap_or(0);
        let Some(peer) = sources.get(turn).filter(|_| is_wanted).cloned() else {
            return FollowAction::Wait(now.plus_ms(IDLE_CHECK_MS));
        };
        self.asked_turn = turn;
        if is_late {
            self.pull_turn = turn + 1;
        }
        FollowAction::Pull {
            peer,
            pull: self.pull(now, is_late),
        }
    }

    /// Takes in the result of a read that was asked for at `asked`.
    pub fn on_read<R: Rng>(
        &mut self,
        now: ClockTime,
        asked: ClockTime,
        result: Result<ReadBatch, ReadError>,
        rng: &mut R,
    ) -> FollowNews {
        match result {
            Ok(batch) => self.on_log_batch(now, asked, batch, rng),
            Err(ReadError::Gone { first }) if first > self.next => self.skip_to(now, first),
            Err(_) => {
                self.fail_read(now, rng);
                FollowNews::default()
            }
        }
    }

    /// Takes in another node's answer to a question that was asked at `asked`.
    pub fn on_batch(&mut self, now: ClockTime, asked: ClockTime, batch: RelayBatch) -> FollowNews {
        self.pull_failures = 0;
        self.pull_at = now.plus_ms(MIN_PULL_GAP_MS);
        let mut news = FollowNews::default();
        let is_wanted = |state: &RelaySnapshot| self.needs_snapshot || state.covers > self.next;
        if let Some(snapshot) = batch.snapshot.filter(is_wanted) {
            self.next = self.next.max(snapshot.covers);
            self.advanced_at = now;
            news.snapshot = Some(snapshot);
        }
        news.records = self.take(now, batch.records);
        if let Some(age) = batch.fresh_ms.filter(|_| self.next >= batch.next) {
            let answered = asked.plus_ms(batch.held_ms).min(now);
            self.set_fresh(NewsTime::before(answered, age));
        }
        if !self.is_late(now) {
            self.pull_turn = self.asked_turn;
        }
        news
    }

    /// Takes in that a node gave no answer.
    pub fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, rng: &mut R) {
        self.pull_at = now.plus_ms(self.backoff_ms(self.pull_failures, rng));
        self.pull_failures = self.pull_failures.saturating_add(1);
        self.pull_turn = self.asked_turn.wrapping_add(1);
    }

    fn on_log_batch<R: Rng>(
        &mut self,
        now: ClockTime,
        asked: ClockTime,
        batch: ReadBatch,
        rng: &mut R,
    ) -> FollowNews {
        if batch.end < self.next && asked > self.advanced_at {
            let (next, end) = (self.next, batch.end);
            self.fault = Some(FollowFault::WentBack { next, end });
            self.fail_read(now, rng);
            return FollowNews::default();
        }
        self.read_failures = 0;
        self.fault = None;
        self.direct_at = None;
        self.read_at = asked.plus_ms(self.settings.read_gap_ms).max(now);
        if batch.first > self.next {
            return self.skip_to(now, batch.first);
        }
        self.first = batch.first;
        let records = self.take(now, batch.records);
        if self.next >= batch.end {
            self.set_fresh(NewsTime::at(asked));
        }
        FollowNews {
            records,
            ..FollowNews::default()
        }
    }

    fn skip_to(&mut self, now: ClockTime, first: LogOffset) -> FollowNews {
        self.advanced_at = now;
        self.next = first;
        self.first = first;
        FollowNews {
            lost_before: Some(first),
            ..FollowNews::default()
        }
    }

    fn take(&mut self, now: ClockTime, records: Vec<LogRecord>) -> Vec<LogRecord> {
        let mut taken = Vec::new();
        for record in records {
            if record.offset == self.next {
                self.next = record.offset.next();
                self.advanced_at = now;
                taken.push(record);
            }
        }
        taken
    }

    fn set_fresh(&mut self, time: NewsTime) {
        let latest = self.fresh_at.map_or(time, |known| known.latest(time));
        self.fresh_at = Some(latest);
    }

    fn pull(&self, now: ClockTime, is_late: bool) -> RelayPull {
        let wait_ms = if is_late {
            self.settings.turn_wait_ms
        } else {
            self.settings.pull_wait_ms
        };
        RelayPull {
            stream: self.stream,
            from: self.next,
            needs_snapshot: self.needs_snapshot,
            age_ms: self.fresh_at.map(|time| time.age_ms(now)),
            wait_ms,
        }
    }

    fn age_ms(&self, now: ClockTime) -> u64 {
        self.fresh_at.map_or(u64::MAX, |time| time.age_ms(now))
    }

    fn is_late(&self, now: ClockTime) -> bool {
        self.needs_snapshot || self.age_ms(now) >= self.late_after_ms()
    }

    const fn late_after_ms(&self) -> u64 {
        if self.plan.is_reader() {
            self.settings.pull_after_ms
        } else {
            self.settings.direct_after_ms
        }
    }

    fn is_direct<R: Rng>(&mut self, now: ClockTime, rng: &mut R) -> bool {
        let started = *self.started.get_or_insert(now);
        let silent_ms = self.age_ms(now).min(now.since_ms(started));
        if silent_ms < self.settings.direct_after_ms {
            self.direct_at = None;
            return false;
        }
        let spread = rng.random_range(0..=self.settings.direct_spread_ms);
        *self.direct_at.get_or_insert(now.plus_ms(spread)) <= now
    }

    fn fail_read<R: Rng>(&mut self, now: ClockTime, rng: &mut R) {
        self.read_at = now.plus_ms(self.backoff_ms(self.read_failures, rng));
        self.read_failures = self.read_failures.saturating_add(1);
    }

    fn backoff_ms<R: Rng>(&self, failures: u32, rng: &mut R) -> u64 {
        let longest = self.settings.min_backoff_ms << failures.min(10);
        let longest = longest.clamp(1, self.settings.max_backoff_ms.max(1));
        rng.random_range(longest / 2..=longest)
    }
}
