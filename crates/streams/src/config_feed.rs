use std::collections::BTreeMap;

use clock::ClockTime;
use model::{CentreName, RecordId, TeamName, VmName};
use rand::Rng;

use crate::{
    ConfigFold, ConfigRecord, FollowAction, FollowSettings, FollowUpdate, KeyDigest, KeyTrust,
    LogEra, LogRecord, LogStream, ReadBatch, ReadError, RecordBody, RecordOutcome, RecordRelay,
    RelayBatch, RelayPlan, RelayPull, RelaySettings, RelaySnapshot, ResumeHold, ResumeSettings,
    SnapshotSettings, SnapshotTimer, StreamFollower, TextCheck, TrustSettings, TrustState,
    UpdateTime,
};

/// Settings of a [`ConfigFeed`].
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedSettings {
    /// How the stream is followed.
    pub follow: FollowSettings,
    /// How many records are retained for other nodes.
    pub relay: RelaySettings,
    /// When snapshots are appended.
    pub snapshot: SnapshotSettings,
    /// How long keys are trusted without updates.
    pub trust: TrustSettings,
    /// How long requests wait for an update after a pause of the process.
    pub resume: ResumeSettings,
}

/// The result of looking up a caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAnswer {
    /// The key belongs to a team.
    Team(TeamName),
    /// The key is unknown or withdrawn.
    Unknown,
    /// The node may have missed a withdrawal, so it trusts no key.
    Stale,
}

/// An applied record and its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedRecord {
    /// The record's identifier.
    pub id: RecordId,
    /// Its effect.
    pub outcome: RecordOutcome,
}

/// One node's view of the configuration stream: contract text, keys, and how long they can be
/// trusted.
///
/// The driver runs one loop for [`Self::next_read`], one for [`Self::next_pull`], and one that
/// appends [`Self::due_snapshot`]. It answers the pulls of other nodes with [`Self::answer`].
#[derive(Clone, Debug)]
pub struct ConfigFeed<C> {
    follower: StreamFollower,
    relay: RecordRelay,
    fold: ConfigFold<C>,
    timer: SnapshotTimer,
    trust: KeyTrust,
    resume: ResumeHold,
}

impl<C: TextCheck> ConfigFeed<C> {
    /// Creates the view of a node that starts without state.
    #[must_use]
    pub fn new(vm: VmName, centre: CentreName, check: C, settings: &FeedSettings) -> Self {
        Self {
            follower: StreamFollower::new(LogStream::Config, settings.follow),
            relay: RecordRelay::new(LogStream::Config, settings.relay),
            fold: ConfigFold::new(check),
            timer: SnapshotTimer::new(settings.snapshot),
            trust: KeyTrust::new(vm, centre, settings.trust),
            resume: ResumeHold::new(settings.resume),
        }
    }

    /// Returns the state: contract text and keys.
    #[must_use]
    pub const fn fold(&self) -> &ConfigFold<C> {
        &self.fold
    }

    /// Returns the follower, which holds the read position and its freshness.
    #[must_use]
    pub const fn follower(&self) -> &StreamFollower {
        &self.follower
    }

    /// Sets the sources of updates, the number of nodes that read the log in each data centre, and
    /// whether there are other members.
    pub fn set_members(
        &mut self,
        plan: RelayPlan,
        readers: BTreeMap<CentreName, usize>,
        has_peers: bool,
    ) {
        self.follower.set_plan(plan);
        self.trust.set_members(readers, has_peers);
    }

    /// Returns the next action of the loop that reads the log.
    pub fn next_read<R: Rng>(&mut self, now: ClockTime, rng: &mut R) -> FollowAction {
        let action = self.follower.next_read(now, rng);
        if matches!(action, FollowAction::Read { .. }) {
            self.trust.on_read_start(now);
        }
        action
    }

    /// Returns the next action of the loop that pulls from other nodes.
    pub fn next_pull(&mut self, now: ClockTime) -> FollowAction {
        self.trust.on_running(now);
        self.follower.next_pull(now)
    }

    /// Handles the result of a read started at `requested_at`.
    pub fn on_read<R: Rng>(
        &mut self,
        now: ClockTime,
        requested_at: ClockTime,
        result: Result<ReadBatch, ReadError>,
        rng: &mut R,
    ) -> Vec<AppliedRecord> {
        let is_success = matches!(result, Ok(_) | Err(ReadError::Gone { .. }));
        self.trust.on_read_end(now, requested_at, is_success);
        let max_record_age_ms = self.max_record_age_ms(now);
        let update = self.follower.on_read(now, requested_at, result, rng);
        self.apply(now, max_record_age_ms, update)
    }

    /// Handles another node's answer to a pull sent at `requested_at`.
    pub fn on_batch(
        &mut self,
        now: ClockTime,
        requested_at: ClockTime,
        batch: RelayBatch,
    ) -> Vec<AppliedRecord> {
        let (next, outages) = (batch.next, batch.outages.clone());
        let answered = requested_at.plus_ms(batch.held_ms).min(now);
        let is_current = batch.era >= self.follower.known_era();
        if let Some(age) = batch.snapshot_age_ms.filter(|_| is_current) {
            let age = age.saturating_add(now.since_ms(requested_at));
            self.timer.on_snapshot(now, batch.snapshot_covers, age);
        }
        let max_record_age_ms = self.max_record_age_ms(now);
        let update = self.follower.on_batch(now, requested_at, batch);
        let applied = self.apply(now, max_record_age_ms, update);
        if is_current && self.fold.is_complete() && self.follower.next() >= next {
            self.trust.on_outages(answered, &outages);
        }
        applied
    }

    /// Enters an era that another stream's answer has shown, and returns whether the log has come
    /// back since the last answer of this one.
    pub fn on_era(&mut self, now: ClockTime, era: LogEra) -> bool {
        let update = self.follower.on_era(now, era);
        let went_back = update.is_some();
        if let Some(update) = update {
            self.apply(now, None, update);
        }
        went_back
    }

    /// Handles a pull that got no answer.
    pub fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, rng: &mut R) {
        self.follower.on_pull_failure(now, rng);
    }

    /// Returns whether another node's pull, held for `held_ms` so far, can now be answered with
    /// records or with a more recent freshness time.
    #[must_use]
    pub fn has_update(&self, now: ClockTime, pull: &RelayPull, held_ms: u64) -> bool {
        let is_fresher = self.fold.is_complete() && self.follower.is_fresher(now, pull, held_ms);
        self.relay.has_update(pull) || is_fresher
    }

    /// Answers another node's pull. The caller sets [`RelayBatch::held_ms`] when the pull was held.
    #[must_use]
    pub fn answer(&self, now: ClockTime, pull: &RelayPull) -> RelayBatch {
        let complete = |time: Option<UpdateTime>| time.filter(|_| self.fold.is_complete());
        let outages = self.trust.outages(now, complete(self.follower.fresh_at()));
        let fresh_at = complete(self.follower.relayed_fresh_at());
        let snapshot = || self.relay_snapshot();
        let batch = self.relay.answer(now, pull, fresh_at, outages, snapshot);
        RelayBatch {
            snapshot_age_ms: self.timer.age_ms(now),
            snapshot_covers: self.timer.covers(),
            ..batch
        }
    }

    /// Returns the snapshot to append now, or `None` when none is due.
    pub fn due_snapshot<R: Rng>(&mut self, now: ClockTime, rng: &mut R) -> Option<RecordBody> {
        let has_started = self.follower.next() != crate::LogOffset::ZERO;
        if !has_started || self.fold.is_replaced() || self.follower.fault().is_some() {
            return None;
        }
        let snapshot = self.fold.snapshot()?;
        self.timer
            .is_due(now, self.follower.first(), rng)
            .then(|| RecordBody::encode(&ConfigRecord::Snapshot(snapshot)))
    }

    /// Returns whether the state is complete and has reached the end of the log at least once, so
    /// that the node may serve.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.fold.is_complete() && self.follower.fresh_at().is_some()
    }

    /// Records that the process runs.
    pub fn record_run(&mut self, now: ClockTime) {
        self.resume.record_run(now);
    }

    /// Records that the process runs, and returns how much longer requests wait for an update because
    /// the process was paused, in milliseconds.
    pub fn hold_left_ms(&mut self, now: ClockTime) -> u64 {
        let fresh_at = self.follower.fresh_at().filter(|_| self.fold.is_complete());
        self.resume.left_ms(now, fresh_at)
    }

    /// Returns the age of the last update, in milliseconds, or `None` if there was none.
    #[must_use]
    pub fn age_ms(&self, now: ClockTime) -> Option<u64> {
        self.follower.fresh_at().map(|time| time.age_ms(now))
    }

    /// Returns whether keys are trusted.
    #[must_use]
    pub fn trust_state(&self, now: ClockTime) -> TrustState {
        let fresh_at = self.follower.fresh_at().filter(|_| self.fold.is_complete());
        self.trust.state(now, fresh_at)
    }

    /// Looks up a caller's key.
    #[must_use]
    pub fn key_answer(&self, now: ClockTime, digest: &KeyDigest) -> KeyAnswer {
        if self.fold.keys().is_withdrawn(digest) {
            return KeyAnswer::Unknown;
        }
        if !self.trust_state(now).is_trusted() {
            return KeyAnswer::Stale;
        }
        let team = self.fold.keys().team(digest).cloned();
        team.map_or(KeyAnswer::Unknown, KeyAnswer::Team)
    }

    /// Returns the maximum age of a record that is read for the first time now, or `None` when it
    /// may be from before the log came back.
    fn max_record_age_ms(&self, now: ClockTime) -> Option<u64> {
        let fresh_at = self.follower.relayed_fresh_at();
        fresh_at.map(|time| time.age_ms(now))
    }

    fn relay_snapshot(&self) -> Option<RelaySnapshot> {
        let snapshot = self.fold.snapshot()?;
        Some(RelaySnapshot {
            covers: snapshot.covers,
            body: RecordBody::encode(&snapshot),
        })
    }

    fn apply(
        &mut self,
        now: ClockTime,
        max_record_age_ms: Option<u64>,
        update: FollowUpdate,
    ) -> Vec<AppliedRecord> {
        self.relay.set_era(self.follower.known_era());
        if update.went_back.is_some() {
            self.fold.go_back();
            self.timer.reset();
        }
        if let Some(first) = update.lost_before {
            self.fold.lose_before(first);
            self.relay.skip_to(first);
        }
        if let Some(snapshot) = update.snapshot {
            self.apply_snapshot(&snapshot);
        }
        let records = update.records.into_iter();
        let applied = records
            .map(|record| self.apply_record(now, max_record_age_ms, record))
            .collect();
        self.follower.set_needs_snapshot(!self.fold.is_complete());
        applied
    }

    fn apply_snapshot(&mut self, snapshot: &RelaySnapshot) {
        if let Ok(state) = snapshot.body.decode() {
            self.fold.apply_snapshot(&state);
        }
        if snapshot.covers > self.relay.next() {
            self.relay.skip_to(snapshot.covers);
        }
    }

    fn apply_record(
        &mut self,
        now: ClockTime,
        max_record_age_ms: Option<u64>,
        record: LogRecord,
    ) -> AppliedRecord {
        let id = record.id;
        let outcome = self.fold.apply(&record);
        if let (RecordOutcome::Repeated { covers }, Some(age)) = (&outcome, max_record_age_ms) {
            self.timer.on_snapshot(now, *covers, age);
        }
        self.relay.push(record);
        AppliedRecord { id, outcome }
    }
}
