use std::collections::BTreeMap;

use clock::ClockTime;
use model::{CentreName, RecordId, TeamName, VmName};
use rand::Rng;

use crate::{
    ConfigFold, ConfigRecord, FollowAction, FollowNews, FollowSettings, KeyDigest, KeyTrust,
    LogRecord, LogStream, ReadBatch, ReadError, RecordBody, RecordOutcome, RecordRelay, RelayBatch,
    RelayPlan, RelayPull, RelaySettings, RelaySnapshot, SnapshotSettings, SnapshotTimer,
    StreamFollower, TextCheck, TrustSettings, TrustState,
};

/// How a node keeps the configuration stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedSettings {
    /// How the stream is followed.
    pub follow: FollowSettings,
    /// How many records are kept for other nodes.
    pub relay: RelaySettings,
    /// When the state is repeated.
    pub snapshot: SnapshotSettings,
    /// For how long keys are trusted.
    pub trust: TrustSettings,
}

/// Whom a caller's key stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAnswer {
    /// The key stands for a team.
    Team(TeamName),
    /// The key is unknown or withdrawn.
    Unknown,
    /// The node may have missed a withdrawal, so it trusts no key.
    Stale,
}

/// What a record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedRecord {
    /// The record.
    pub id: RecordId,
    /// What it did.
    pub outcome: RecordOutcome,
}

/// One node's whole view of the configuration stream: contract text and keys.
///
/// The driver runs a loop for [`Self::next_read`], one for [`Self::next_pull`], and one that
/// appends [`Self::due_snapshot`]; it answers other nodes with [`Self::answer`].
#[derive(Clone, Debug)]
pub struct ConfigFeed<C> {
    follower: StreamFollower,
    relay: RecordRelay,
    fold: ConfigFold<C>,
    timer: SnapshotTimer,
    trust: KeyTrust,
}

impl<C: TextCheck> ConfigFeed<C> {
    /// Creates the view of a node that knows nothing yet.
    #[must_use]
    pub fn new(vm: VmName, centre: CentreName, check: C, settings: &FeedSettings) -> Self {
        Self {
            follower: StreamFollower::new(LogStream::Config, settings.follow),
            relay: RecordRelay::new(LogStream::Config, settings.relay),
            fold: ConfigFold::new(check),
            timer: SnapshotTimer::new(settings.snapshot),
            trust: KeyTrust::new(vm, centre, settings.trust),
        }
    }

    /// Returns the contract text and the keys.
    #[must_use]
    pub const fn fold(&self) -> &ConfigFold<C> {
        &self.fold
    }

    /// Returns how far the stream was followed.
    #[must_use]
    pub const fn follower(&self) -> &StreamFollower {
        &self.follower
    }

    /// Sets whom to ask, how many nodes of each data centre read the log, and whether there are
    /// other members.
    pub fn set_members(
        &mut self,
        plan: RelayPlan,
        readers: BTreeMap<CentreName, usize>,
        has_peers: bool,
    ) {
        self.follower.set_plan(plan);
        self.trust.set_members(readers, has_peers);
    }

    /// Returns what the loop that reads the log does next.
    pub fn next_read<R: Rng>(&mut self, now: ClockTime, rng: &mut R) -> FollowAction {
        let action = self.follower.next_read(now, rng);
        if matches!(action, FollowAction::Read { .. }) {
            self.trust.on_read_start(now);
        }
        action
    }

    /// Returns what the loop that asks other nodes does next.
    pub fn next_pull(&mut self, now: ClockTime) -> FollowAction {
        self.trust.on_running(now);
        self.follower.next_pull(now)
    }

    /// Takes in the result of a read that was asked for at `asked`.
    pub fn on_read<R: Rng>(
        &mut self,
        now: ClockTime,
        asked: ClockTime,
        result: Result<ReadBatch, ReadError>,
        rng: &mut R,
    ) -> Vec<AppliedRecord> {
        let is_good = matches!(result, Ok(_) | Err(ReadError::Gone { .. }));
        self.trust.on_read_end(now, asked, is_good);
        let silent_ms = self.silent_ms(now);
        let news = self.follower.on_read(now, asked, result, rng);
        self.apply(now, silent_ms, news)
    }

    /// Takes in another node's answer to a question that was asked at `asked`.
    pub fn on_batch(
        &mut self,
        now: ClockTime,
        asked: ClockTime,
        batch: RelayBatch,
    ) -> Vec<AppliedRecord> {
        let (next, outages) = (batch.next, batch.outages.clone());
        let answered = asked.plus_ms(batch.held_ms).min(now);
        if let Some(age) = batch.snapshot_age_ms {
            let age = age.saturating_add(now.since_ms(asked));
            self.timer.on_snapshot(now, batch.snapshot_covers, age);
        }
        let silent_ms = self.silent_ms(now);
        let news = self.follower.on_batch(now, asked, batch);
        let applied = self.apply(now, silent_ms, news);
        if self.fold.is_whole() && self.follower.next() >= next {
            self.trust.on_outages(answered, &outages);
        }
        applied
    }

    /// Takes in that a node gave no answer.
    pub fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, rng: &mut R) {
        self.follower.on_pull_failure(now, rng);
    }

    /// Returns whether another node's question, kept for `held_ms`, can be answered with records
    /// or with fresher news now.
    #[must_use]
    pub fn has_news(&self, now: ClockTime, pull: &RelayPull, held_ms: u64) -> bool {
        let is_fresher = self.fold.is_whole() && self.follower.is_fresher(now, pull, held_ms);
        self.relay.has_news(pull) || is_fresher
    }

    /// Answers another node's question; add [`RelayBatch::held_ms`] when it was kept waiting.
    #[must_use]
    pub fn answer(&self, now: ClockTime, pull: &RelayPull) -> RelayBatch {
        let fresh_at = self.follower.fresh_at().filter(|_| self.fold.is_whole());
        let outages = self.trust.outages(now, fresh_at);
        let snapshot = || self.relay_snapshot();
        let batch = self.relay.answer(now, pull, fresh_at, outages, snapshot);
        RelayBatch {
            snapshot_age_ms: self.timer.age_ms(now),
            snapshot_covers: self.timer.covers(),
            ..batch
        }
    }

    /// Returns the state to append now, or `None` when none is due.
    pub fn due_snapshot<R: Rng>(&mut self, now: ClockTime, rng: &mut R) -> Option<RecordBody> {
        let is_begun = self.follower.next() != crate::LogOffset::ZERO;
        if !is_begun || self.fold.is_replaced() || self.follower.fault().is_some() {
            return None;
        }
        let snapshot = self.fold.snapshot()?;
        self.timer
            .is_due(now, self.follower.first(), rng)
            .then(|| RecordBody::encode(&ConfigRecord::Snapshot(snapshot)))
    }

    /// Returns whether the node has once known all there was, so that it may serve.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.fold.is_whole() && self.follower.fresh_at().is_some()
    }

    /// Returns whether keys are trusted.
    #[must_use]
    pub fn trust_state(&self, now: ClockTime) -> TrustState {
        let fresh_at = self.follower.fresh_at().filter(|_| self.fold.is_whole());
        self.trust.state(now, fresh_at)
    }

    /// Returns whom a caller's key stands for.
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

    /// Returns the greatest age that a record read for the first time now can have.
    fn silent_ms(&self, now: ClockTime) -> Option<u64> {
        self.follower.fresh_at().map(|time| time.age_ms(now))
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
        silent_ms: Option<u64>,
        news: FollowNews,
    ) -> Vec<AppliedRecord> {
        if let Some(first) = news.lost_before {
            self.fold.lose_before(first);
            self.relay.skip_to(first);
        }
        if let Some(snapshot) = news.snapshot {
            self.adopt(&snapshot);
        }
        let records = news.records.into_iter();
        let applied = records
            .map(|record| self.apply_record(now, silent_ms, record))
            .collect();
        self.follower.set_needs_snapshot(!self.fold.is_whole());
        applied
    }

    fn adopt(&mut self, snapshot: &RelaySnapshot) {
        if let Ok(state) = snapshot.body.decode() {
            self.fold.adopt(&state);
        }
        if snapshot.covers > self.relay.next() {
            self.relay.skip_to(snapshot.covers);
        }
    }

    fn apply_record(
        &mut self,
        now: ClockTime,
        silent_ms: Option<u64>,
        record: LogRecord,
    ) -> AppliedRecord {
        let id = record.id;
        let outcome = self.fold.apply(&record);
        if let (RecordOutcome::Repeated { covers }, Some(age)) = (&outcome, silent_ms) {
            self.timer.on_snapshot(now, *covers, age);
        }
        self.relay.push(record);
        AppliedRecord { id, outcome }
    }
}
