use clock::ClockTime;
use model::VmName;
use rand::Rng;

use crate::{
    LogEra, LogOffset, LogRecord, LogStream, ReadBatch, ReadError, RelayBatch, RelayPlan,
    RelayPull, RelaySnapshot, UpdateTime,
};

/// The interval at which an idle loop checks for work, in milliseconds.
const IDLE_CHECK_INTERVAL_MS: u64 = 100;

/// The minimum time between two pulls, in milliseconds.
const MIN_PULL_INTERVAL_MS: u64 = 20;

/// How much more recent this node's freshness must be for a held pull to be answered without
/// records, in milliseconds: several times the latency between two data centres.
const MIN_FRESHNESS_GAIN_MS: u64 = 150;

/// Settings of a [`StreamFollower`].
#[derive(Clone, Copy, Debug)]
pub struct FollowSettings {
    /// How long a read of the log may wait for new records, in milliseconds.
    pub read_wait_ms: u64,
    /// The minimum time between two reads of the log, in milliseconds; records appended in between
    /// are read together.
    pub read_interval_ms: u64,
    /// The time after which a read without an answer is hedged by another one, in milliseconds.
    pub hedge_after_ms: u64,
    /// The most reads in flight at once.
    pub max_reads: usize,
    /// How long another node may hold a pull until it has an update, in milliseconds.
    pub pull_wait_ms: u64,
    /// How long a pull may be held while the state is stale and the node rotates through its
    /// sources, in milliseconds.
    pub rotation_wait_ms: u64,
    /// The age of the last update from which on a node that reads the log also pulls from other
    /// nodes, in milliseconds.
    pub pull_after_ms: u64,
    /// The initial upper bound of the backoff after a failure, in milliseconds.
    pub min_backoff_ms: u64,
    /// The maximum backoff after repeated failures, in milliseconds.
    pub max_backoff_ms: u64,
    /// The age of the last update from which on a node that only pulls reads the log itself, in
    /// milliseconds.
    pub direct_after_ms: u64,
    /// The maximum random delay before it does so, in milliseconds.
    pub direct_jitter_ms: u64,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self {
            read_wait_ms: 300,
            read_interval_ms: 0,
            hedge_after_ms: 1_000,
            max_reads: 5,
            pull_wait_ms: 300,
            rotation_wait_ms: 100,
            pull_after_ms: 1_200,
            min_backoff_ms: 100,
            max_backoff_ms: 1_000,
            direct_after_ms: 2_500,
            direct_jitter_ms: 500,
        }
    }
}

/// The next action of a follower's driver, which reports the result before it requests another
/// action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowAction {
    /// Read the log, and report the result to [`StreamFollower::on_read`].
    Read {
        /// The offset to read from.
        from: LogOffset,
        /// How long the read may wait for records, in milliseconds.
        wait_ms: u64,
    },
    /// Pull from another node, and report to [`StreamFollower::on_batch`] or
    /// [`StreamFollower::on_pull_failure`].
    Pull {
        /// The node.
        peer: VmName,
        /// The request.
        pull: RelayPull,
    },
    /// Request the next action at this time or later.
    Wait(ClockTime),
}

/// A fault of a stream, cleared by the next successful read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowFault {
    /// The log ends before records that were already read, so it was truncated or replaced.
    EndRegressed {
        /// The offset to read from.
        next: LogOffset,
        /// The end of the log.
        end: LogOffset,
    },
}

/// An update of the stream, to be applied to its fold in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowUpdate {
    /// The log has come back without its last records and is now in this era; the stream is read
    /// again from its first record.
    pub went_back: Option<LogEra>,
    /// Unread records before this offset were removed from the log.
    pub lost_before: Option<LogOffset>,
    /// A state to apply.
    pub snapshot: Option<RelaySnapshot>,
    /// The records that follow.
    pub records: Vec<LogRecord>,
}

/// Follows one stream, by reading the log or by pulling from other nodes.
///
/// [`Self::fresh_at`] is a time on the node's own clock: every record that was on the stream by
/// then has been returned. It is derived from the time at which a request was *sent*, plus the time
/// for which the answering node reports to have held it, never from the time of the answer. So
/// neither a slow log nor a slow connection makes old state look recent.
///
/// The driver runs two loops, one for [`Self::next_read`] and one for [`Self::next_pull`], so that
/// an unresponsive log doesn't block pulls. It hedges a read that has no answer after
/// `hedge_after_ms` with another read on another connection, so that a stalled connection or a slow
/// log ages the state by little more than the time of one answer.
///
/// Offsets belong to an era of the log. When an answer shows a later era, the stream is read again
/// from its first record, and answers of earlier eras are ignored. `fresh_at` keeps its value, as it
/// is from before the log came back, and advances once the new era has been read to its end.
#[derive(Clone, Debug)]
pub struct StreamFollower {
    stream: LogStream,
    settings: FollowSettings,
    plan: RelayPlan,
    /// The era of the log, `None` before the first answer.
    era: Option<LogEra>,
    /// When the current era was noticed; answers to earlier requests have offsets of another one.
    era_at: Option<ClockTime>,
    /// Whether the stream has been read to its end in the current era.
    is_caught_up: bool,
    next: LogOffset,
    /// The oldest offset retained by the log, as of the last read.
    first: LogOffset,
    fresh_at: Option<UpdateTime>,
    /// When `next` last advanced.
    advanced_at: ClockTime,
    /// When a node that only pulls first checked whether to read the log itself.
    started_at: Option<ClockTime>,
    needs_snapshot: bool,
    read_failures: u32,
    /// The earliest time of the next read.
    read_at: ClockTime,
    /// The index of the source to pull from next.
    next_source: usize,
    /// The index of the source last pulled from.
    pulled_source: usize,
    pull_failures: u32,
    /// The earliest time of the next pull.
    pull_at: ClockTime,
    /// When a node that normally only pulls starts to read the log itself.
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
            era: None,
            era_at: None,
            is_caught_up: false,
            next: LogOffset::ZERO,
            first: LogOffset::ZERO,
            fresh_at: None,
            advanced_at: ClockTime::ZERO,
            started_at: None,
            needs_snapshot: false,
            read_failures: 0,
            read_at: ClockTime::ZERO,
            next_source: 0,
            pulled_source: 0,
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

    /// Returns the era of the log, or `None` before the first answer.
    #[must_use]
    pub const fn known_era(&self) -> Option<LogEra> {
        self.era
    }

    /// Returns the era to which the offsets of this node belong.
    #[must_use]
    pub fn era(&self) -> LogEra {
        self.era.unwrap_or_default()
    }

    /// Returns whether the stream has been read to its end in the current era of the log.
    #[must_use]
    pub const fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns the offset of the first record not yet returned.
    #[must_use]
    pub const fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the oldest offset retained by the log, as of the last read.
    #[must_use]
    pub const fn first(&self) -> LogOffset {
        self.first
    }

    /// Returns the time up to which every record of the stream has been returned.
    #[must_use]
    pub const fn fresh_at(&self) -> Option<UpdateTime> {
        self.fresh_at
    }

    /// Returns [`Self::fresh_at`] for other nodes, or `None` while the stream is read again after the
    /// log has come back: they don't get the records of the earlier era from this node.
    #[must_use]
    pub fn relayed_fresh_at(&self) -> Option<UpdateTime> {
        self.fresh_at.filter(|_| self.is_caught_up)
    }

    /// Returns the fault of the stream, if any.
    #[must_use]
    pub const fn fault(&self) -> Option<FollowFault> {
        self.fault
    }

    /// Sets whether this node reads the log, and the nodes that it can pull from.
    pub fn set_plan(&mut self, plan: RelayPlan) {
        if self.plan != plan {
            self.next_source = 0;
        }
        self.plan = plan;
    }

    /// Returns whether this node's state is more recent than that of another node whose pull has
    /// been held for `held_ms`, by at least `MIN_FRESHNESS_GAIN_MS`.
    #[must_use]
    pub fn is_fresher(&self, now: ClockTime, pull: &RelayPull, held_ms: u64) -> bool {
        if !self.is_caught_up || pull.era > self.era() {
            return false;
        }
        let requester_age = pull.age_ms.map(|age| age.saturating_add(held_ms));
        let own_age = self.fresh_at.map(|time| time.age_ms(now));
        match (own_age, requester_age) {
            (Some(own_age), Some(requester_age)) => {
                own_age + MIN_FRESHNESS_GAIN_MS <= requester_age
            }
            (own_age, None) => own_age.is_some(),
            (None, Some(_)) => false,
        }
    }

    /// Sets whether the stream's fold needs a snapshot.
    pub const fn set_needs_snapshot(&mut self, needs_snapshot: bool) {
        self.needs_snapshot = needs_snapshot;
    }

    /// Returns the next action of the loop that reads the log.
    pub fn next_read<R: Rng>(&mut self, now: ClockTime, rng: &mut R) -> FollowAction {
        if now < self.read_at {
            return FollowAction::Wait(self.read_at);
        }
        if !self.plan.is_reader() && !self.is_direct_read_due(now, rng) {
            return FollowAction::Wait(now.plus_ms(IDLE_CHECK_INTERVAL_MS));
        }
        // A read that waits for records shows that the state is recent only when it ends, so a node
        // with stale state requests an immediate answer.
        let is_outdated = self.age_ms(now) >= self.stale_after_ms();
        let wait_ms = if is_outdated {
            0
        } else {
            self.settings.read_wait_ms
        };
        FollowAction::Read {
            from: self.next,
            wait_ms,
        }
    }

    /// Returns the next action of the loop that pulls from other nodes.
    pub fn next_pull(&mut self, now: ClockTime) -> FollowAction {
        if now < self.pull_at {
            return FollowAction::Wait(self.pull_at);
        }
        let is_stale = self.is_stale(now);
        let is_wanted = is_stale || !self.plan.is_reader();
        let sources = self.plan.sources();
        let index = self.next_source.checked_rem(sources.len()).unwrap_or(0);
        let Some(peer) = sources.get(index).filter(|_| is_wanted).cloned() else {
            return FollowAction::Wait(now.plus_ms(IDLE_CHECK_INTERVAL_MS));
        };
        self.pulled_source = index;
        if is_stale {
            self.next_source = index + 1;
        }
        FollowAction::Pull {
            peer,
            pull: self.pull(now, is_stale),
        }
    }

    /// Handles the result of a read started at `requested_at`.
    pub fn on_read<R: Rng>(
        &mut self,
        now: ClockTime,
        requested_at: ClockTime,
        result: Result<ReadBatch, ReadError>,
        rng: &mut R,
    ) -> FollowUpdate {
        let era = match &result {
            Ok(batch) => Some(batch.era),
            Err(ReadError::Gone { era, .. }) => Some(*era),
            Err(_) => None,
        };
        if let Some(era) = era {
            if self.is_of_earlier_era(requested_at, era) {
                self.back_off_reads(now, rng);
                return FollowUpdate::default();
            }
            if self.enter_era(now, era) {
                return FollowUpdate {
                    went_back: Some(era),
                    ..FollowUpdate::default()
                };
            }
        }
        match result {
            Ok(batch) => self.on_log_batch(now, requested_at, batch, rng),
            Err(ReadError::Gone { first, .. }) if first > self.next => self.skip_to(now, first),
            Err(_) => {
                self.back_off_reads(now, rng);
                FollowUpdate::default()
            }
        }
    }

    /// Handles another node's answer to a pull sent at `requested_at`.
    pub fn on_batch(
        &mut self,
        now: ClockTime,
        requested_at: ClockTime,
        batch: RelayBatch,
    ) -> FollowUpdate {
        self.pull_failures = 0;
        self.pull_at = now.plus_ms(MIN_PULL_INTERVAL_MS);
        let mut update = FollowUpdate::default();
        let Some(era) = batch.era.filter(|era| *era >= self.era()) else {
            return update;
        };
        if self.enter_era(now, era) {
            update.went_back = Some(era);
        }
        let is_wanted = |state: &RelaySnapshot| self.needs_snapshot || state.covers > self.next;
        if let Some(snapshot) = batch.snapshot.filter(is_wanted) {
            self.next = self.next.max(snapshot.covers);
            self.advanced_at = now;
            update.snapshot = Some(snapshot);
        }
        update.records = self.accept_in_order(now, batch.records);
        // The freshness of the other node applies only once all of its records have been received.
        if let Some(age) = batch.fresh_ms.filter(|_| self.next >= batch.next) {
            self.is_caught_up = true;
            let answered = requested_at.plus_ms(batch.held_ms).min(now);
            self.advance_fresh_at(UpdateTime::before(answered, age));
        }
        // Stays with a source that provides recent state.
        if !self.is_stale(now) {
            self.next_source = self.pulled_source;
        }
        update
    }

    /// Handles a pull that got no answer.
    pub fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, rng: &mut R) {
        self.pull_at = now.plus_ms(self.backoff_ms(self.pull_failures, rng));
        self.pull_failures = self.pull_failures.saturating_add(1);
        self.next_source = self.pulled_source.wrapping_add(1);
    }

    fn on_log_batch<R: Rng>(
        &mut self,
        now: ClockTime,
        requested_at: ClockTime,
        batch: ReadBatch,
        rng: &mut R,
    ) -> FollowUpdate {
        // A read sent before the last advance may have been answered before those records were
        // appended, so it doesn't show that the log was truncated.
        if batch.end < self.next && requested_at > self.advanced_at {
            let (next, end) = (self.next, batch.end);
            self.fault = Some(FollowFault::EndRegressed { next, end });
            self.back_off_reads(now, rng);
            return FollowUpdate::default();
        }
        self.read_failures = 0;
        self.fault = None;
        self.direct_at = None;
        self.read_at = requested_at
            .plus_ms(self.settings.read_interval_ms)
            .max(now);
        if batch.first > self.next {
            return self.skip_to(now, batch.first);
        }
        self.first = batch.first;
        let records = self.accept_in_order(now, batch.records);
        if self.next >= batch.end {
            self.is_caught_up = true;
            self.advance_fresh_at(UpdateTime::at(requested_at));
        }
        FollowUpdate {
            records,
            ..FollowUpdate::default()
        }
    }

    /// Enters an era that another stream's answer has shown, and returns the update if the log has
    /// come back since the last answer of this one.
    pub fn on_era(&mut self, now: ClockTime, era: LogEra) -> Option<FollowUpdate> {
        let is_later = self.era.is_some_and(|known| era > known);
        (is_later && self.enter_era(now, era)).then(|| FollowUpdate {
            went_back: Some(era),
            ..FollowUpdate::default()
        })
    }

    /// Returns whether an answer has offsets of an earlier era than the current one.
    fn is_of_earlier_era(&self, requested_at: ClockTime, era: LogEra) -> bool {
        let is_early = self.era_at.is_some_and(|time| requested_at <= time);
        self.era
            .is_some_and(|known| era < known || (era == known && is_early))
    }

    /// Enters the era of an answer, and returns whether the log has come back since the last one.
    fn enter_era(&mut self, now: ClockTime, era: LogEra) -> bool {
        let known = self.era.replace(era);
        let went_back = known.is_some_and(|known| era > known);
        if went_back {
            self.era_at = Some(now);
            self.is_caught_up = false;
            self.next = LogOffset::ZERO;
            self.first = LogOffset::ZERO;
            self.advanced_at = now;
            self.fault = None;
            self.read_failures = 0;
            self.read_at = now.plus_ms(1);
        }
        went_back
    }

    /// Continues at `first`, as the unread records before it were removed from the log.
    fn skip_to(&mut self, now: ClockTime, first: LogOffset) -> FollowUpdate {
        self.advanced_at = now;
        self.next = first;
        self.first = first;
        FollowUpdate {
            lost_before: Some(first),
            ..FollowUpdate::default()
        }
    }

    /// Returns the records that continue the sequence at `next`; others were returned earlier or
    /// follow a gap.
    fn accept_in_order(&mut self, now: ClockTime, records: Vec<LogRecord>) -> Vec<LogRecord> {
        let mut accepted = Vec::new();
        for record in records {
            if record.offset == self.next {
                self.next = record.offset.next();
                self.advanced_at = now;
                accepted.push(record);
            }
        }
        accepted
    }

    fn advance_fresh_at(&mut self, time: UpdateTime) {
        let latest = self.fresh_at.map_or(time, |known| known.latest(time));
        self.fresh_at = Some(latest);
    }

    fn pull(&self, now: ClockTime, is_stale: bool) -> RelayPull {
        let wait_ms = if is_stale {
            self.settings.rotation_wait_ms
        } else {
            self.settings.pull_wait_ms
        };
        RelayPull {
            stream: self.stream,
            from: self.next,
            needs_snapshot: self.needs_snapshot,
            age_ms: self.fresh_at.map(|time| time.age_ms(now)),
            wait_ms,
            era: self.era(),
        }
    }

    fn age_ms(&self, now: ClockTime) -> u64 {
        self.fresh_at.map_or(u64::MAX, |time| time.age_ms(now))
    }

    fn is_stale(&self, now: ClockTime) -> bool {
        self.needs_snapshot || self.age_ms(now) >= self.stale_after_ms()
    }

    const fn stale_after_ms(&self) -> u64 {
        if self.plan.is_reader() {
            self.settings.pull_after_ms
        } else {
            self.settings.direct_after_ms
        }
    }

    /// Returns whether a node that normally only pulls should read the log itself. It starts after a
    /// random delay, so that not all nodes read at once.
    fn is_direct_read_due<R: Rng>(&mut self, now: ClockTime, rng: &mut R) -> bool {
        let started_at = *self.started_at.get_or_insert(now);
        let without_update_ms = self.age_ms(now).min(now.since_ms(started_at));
        if without_update_ms < self.settings.direct_after_ms {
            self.direct_at = None;
            return false;
        }
        let jitter_ms = rng.random_range(0..=self.settings.direct_jitter_ms);
        *self.direct_at.get_or_insert(now.plus_ms(jitter_ms)) <= now
    }

    fn back_off_reads<R: Rng>(&mut self, now: ClockTime, rng: &mut R) {
        self.read_at = now.plus_ms(self.backoff_ms(self.read_failures, rng));
        self.read_failures = self.read_failures.saturating_add(1);
    }

    /// Returns a random backoff between half of an upper bound and that bound, which doubles with each
    /// failure.
    fn backoff_ms<R: Rng>(&self, failures: u32, rng: &mut R) -> u64 {
        let upper_ms = self.settings.min_backoff_ms << failures.min(10);
        let upper_ms = upper_ms.clamp(1, self.settings.max_backoff_ms.max(1));
        rng.random_range(upper_ms / 2..=upper_ms)
    }
}
