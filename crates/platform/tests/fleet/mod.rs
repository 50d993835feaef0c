//! A fleet in virtual time: nodes that follow a stand-in log and ask one another.

use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use lentilshift_platform::{
    AppendError, ConfigFeed, ConfigFold, ConfigRecord, FeedSettings, FollowAction, FollowSettings,
    KeyAnswer, KeyDigest, LogOffset, LogStream, NewRecord, PlanSettings, ReadBatch, ReadError,
    RecordBody, RecordOutcome, RelayBatch, RelayPlan, RelayPull, SnapshotSettings,
};
use model::{CentreName, RecordId, VmName};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use standin::LogStore;

pub const STREAM: LogStream = LogStream::Config;
pub const TICK_MS: u64 = 25;
pub const RETENTION_MS: u64 = 20_000;
const PULL_TIMEOUT_MS: u64 = 1_000;

/// A tree that a small fleet fills in all its parts.
const SMALL_PLAN: PlanSettings = PlanSettings {
    readers: 1,
    fan_out: 2,
};

pub type Check = fn(&str) -> Result<(), String>;

pub fn check(text: &str) -> Result<(), String> {
    (!text.contains("invalid"))
        .then_some(())
        .ok_or_else(|| "not valid".into())
}

#[derive(Clone, Copy, Debug, Default)]
pub struct LogWeather {
    pub is_out: bool,
    pub hangs: bool,
    pub delay_ms: u64,
    pub loses_replies: bool,
}

struct PendingRead {
    asked: ClockTime,
    done_at: ClockTime,
    result: Result<ReadBatch, ReadError>,
}

struct PendingPull {
    asked: ClockTime,
    peer: VmName,
    pull: RelayPull,
    answer: Option<RelayBatch>,
}

pub struct SimNode {
    pub name: VmName,
    pub centre: CentreName,
    pub feed: ConfigFeed<Check>,
    pub is_cut_from_log: bool,
    pub is_cut_from_peers: bool,
    pub newest_in_force: u64,
    starts_at: ClockTime,
    reading: Vec<PendingRead>,
    pulling: Option<PendingPull>,
}

pub struct SimFleet {
    pub rng: SmallRng,
    pub now: ClockTime,
    pub store: LogStore,
    pub oracle: ConfigFold<Check>,
    pub outcomes: BTreeMap<RecordId, RecordOutcome>,
    pub texts: BTreeMap<u64, String>,
    pub nodes: Vec<SimNode>,
    pub weather: LogWeather,
    centres: usize,
    plan: PlanSettings,
    starts: usize,
}

impl SimFleet {
    /// Creates a fleet in three data centres.
    pub fn new(seed: u64, count: usize) -> Self {
        Self::with_plan(seed, count, 3, SMALL_PLAN)
    }

    pub fn with_plan(seed: u64, count: usize, centres: usize, plan: PlanSettings) -> Self {
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: ClockTime::from_ms(1_000),
            store: LogStore::default(),
            oracle: ConfigFold::new(check as Check),
            outcomes: BTreeMap::new(),
            texts: BTreeMap::new(),
            nodes: Vec::new(),
            weather: LogWeather::default(),
            centres,
            plan,
            starts: 0,
        };
        for index in 0..count {
            let node = fleet.new_node(index);
            fleet.nodes.push(node);
        }
        fleet.set_plans();
        fleet
    }

    fn new_node(&mut self, index: usize) -> SimNode {
        self.starts += 1;
        let snapshot = SnapshotSettings {
            retention_ms: RETENTION_MS,
            spread_ms: 1_000,
        };
        let settings = FeedSettings {
            snapshot,
            ..FeedSettings::default()
        };
        let centre = CentreName::new(format!("dc-{}", index % self.centres));
        SimNode {
            name: VmName::new(format!(
                "vm-{}-{}",
                self.rng.random_range(0..999),
                self.starts
            )),
            feed: ConfigFeed::new(centre.clone(), check as Check, &settings),
            centre,
            is_cut_from_log: false,
            is_cut_from_peers: false,
            newest_in_force: 0,
            starts_at: self.now.plus_ms(self.rng.random_range(0..1_000)),
            reading: Vec::new(),
            pulling: None,
        }
    }

    /// Replaces a node by a new one that knows nothing.
    pub fn replace(&mut self, index: usize) {
        self.nodes[index] = self.new_node(index);
        self.set_plans();
    }

    fn set_plans(&mut self) {
        let mut centres: BTreeMap<CentreName, Vec<VmName>> = BTreeMap::new();
        for node in &self.nodes {
            let names = centres.entry(node.centre.clone()).or_default();
            names.push(node.name.clone());
        }
        let all: BTreeSet<CentreName> = centres.keys().cloned().collect();
        let has_peers = self.nodes.len() > 1;
        for node in &mut self.nodes {
            let others = centres.iter().filter(|(centre, _)| **centre != node.centre);
            let remote: Vec<VmName> = others
                .flat_map(|(_, names)| RelayPlan::readers(names, &self.plan))
                .collect();
            let plan = RelayPlan::new(&node.name, &centres[&node.centre], &remote, &self.plan);
            node.feed.set_members(plan, all.clone(), has_peers);
        }
    }

    /// Appends a record as a writer outside of the fleet does.
    pub fn append(&mut self, id: RecordId, change: &ConfigRecord) -> Result<(), AppendError> {
        if self.weather.is_out {
            return Err(AppendError::OutcomeUnknown("no answer".into()));
        }
        self.write(id, change);
        if self.weather.loses_replies {
            return Err(AppendError::OutcomeUnknown("no answer".into()));
        }
        Ok(())
    }

    fn write(&mut self, id: RecordId, change: &ConfigRecord) {
        let body = RecordBody::encode(change);
        self.store
            .append(self.now, STREAM, vec![NewRecord { id, body }]);
        let outcome = self.oracle.apply_change(change);
        let newest = self.oracle.newest();
        self.texts
            .insert(newest.version.get(), newest.text.to_string());
        self.outcomes.entry(id).or_insert(outcome);
    }

    /// Moves on by one tick.
    pub fn step(&mut self) {
        self.now = self.now.plus_ms(TICK_MS);
        self.store.expire(self.now, RETENTION_MS);
        for index in 0..self.nodes.len() {
            if self.now < self.nodes[index].starts_at {
                continue;
            }
            self.step_read(index);
            self.step_pull(index);
            self.step_snapshot(index);
        }
    }

    fn step_read(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        for pending in node
            .reading
            .extract_if(.., |pending| pending.done_at <= now)
        {
            let asked = pending.asked;
            node.feed.on_read(now, asked, pending.result, &mut self.rng);
        }
        let follow = FollowSettings::default();
        let newest = node.reading.last().map(|pending| pending.asked);
        let is_early = newest.is_some_and(|time| now.since_ms(time) < follow.hedge_after_ms);
        if is_early || node.reading.len() >= follow.max_reads {
            return;
        }
        let FollowAction::Read { from, wait_ms } = node.feed.next_read(now, &mut self.rng) else {
            return;
        };
        let is_out = self.weather.is_out || node.is_cut_from_log;
        let mut done_at = now.plus_ms(self.weather.delay_ms);
        let result = if is_out {
            done_at = now.plus_ms(if self.weather.hangs { 5_000 } else { TICK_MS });
            Err(ReadError::Unavailable("out".into()))
        } else {
            self.store.read(STREAM, from)
        };
        if result.as_ref().is_ok_and(|batch| batch.records.is_empty()) {
            done_at = done_at.plus_ms(wait_ms);
        }
        node.reading.push(PendingRead {
            asked: now,
            done_at,
            result,
        });
    }

    fn step_pull(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        if let Some(pending) = node.pulling.take() {
            self.step_pending_pull(index, pending);
            return;
        }
        if let FollowAction::Pull { peer, pull } = node.feed.next_pull(now) {
            let (asked, answer) = (now, None);
            node.pulling = Some(PendingPull {
                asked,
                peer,
                pull,
                answer,
            });
        }
    }

    fn step_pending_pull(&mut self, index: usize, mut pending: PendingPull) {
        let (now, node) = (self.now, &self.nodes[index]);
        let waited = now.since_ms(pending.asked);
        let is_linked = |other: &&SimNode| other.name == pending.peer && !other.is_cut_from_peers;
        let other = self.nodes.iter().find(is_linked);
        if let Some(other) = other.filter(|_| !node.is_cut_from_peers && pending.answer.is_none()) {
            let held = waited.saturating_sub(TICK_MS);
            if other.feed.has_news(&pending.pull) || waited >= pending.pull.wait_ms {
                pending.answer = Some(other.feed.answer(now, &pending.pull).held_ms(held));
                self.nodes[index].pulling = Some(pending);
                return;
            }
        }
        let node = &mut self.nodes[index];
        match pending.answer.take() {
            Some(batch) => drop(node.feed.on_batch(now, pending.asked, batch)),
            None if waited >= PULL_TIMEOUT_MS => node.feed.on_pull_failure(now, &mut self.rng),
            None => node.pulling = Some(pending),
        }
    }

    fn step_snapshot(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        if self.weather.is_out || node.is_cut_from_log {
            return;
        }
        if let Some(body) = node.feed.due_snapshot(now, &mut self.rng) {
            let id = RecordId::from_random(self.rng.random());
            self.store.append(now, STREAM, vec![NewRecord { id, body }]);
        }
    }

    /// Checks that no node shows an unknown text or goes back.
    pub fn check_versions(&mut self) -> Result<(), String> {
        for node in &mut self.nodes {
            if !node.feed.is_ready() {
                continue;
            }
            let text = node.feed.fold().in_force();
            let version = text.version.get();
            if version < node.newest_in_force {
                return Err(format!("{} went back to version {version}", node.name));
            }
            node.newest_in_force = version;
            if version > 0
                && self
                    .texts
                    .get(&version)
                    .is_none_or(|known| **known != *text.text)
            {
                return Err(format!("{} has another version {version}", node.name));
            }
        }
        Ok(())
    }

    /// Checks that every node has what the whole history gives.
    pub fn check_agreement(&self) -> Result<(), String> {
        for node in &self.nodes {
            let fold = node.feed.fold();
            let is_same = fold.newest() == self.oracle.newest()
                && fold.in_force() == self.oracle.in_force()
                && fold.keys() == self.oracle.keys();
            if !node.feed.is_ready() || !is_same {
                let (ours, all) = (fold.newest().version, self.oracle.newest().version);
                let (next, end) = (fold.next(), self.store.end(STREAM));
                let is_ready = node.feed.is_ready();
                return Err(format!(
                    "{} ready={is_ready} is at {ours} of {all}, offset {next} of {end}",
                    node.name
                ));
            }
        }
        Ok(())
    }

    /// Returns the nodes that admit a key.
    pub fn admitting(&self, digest: &KeyDigest) -> Vec<&SimNode> {
        let admits = |node: &&SimNode| {
            let answer = node.feed.key_answer(self.now, digest);
            matches!(answer, KeyAnswer::Team(_))
        };
        self.nodes.iter().filter(admits).collect()
    }

    /// Reads the log as a writer outside of the fleet does.
    pub fn read(&self, from: LogOffset) -> Result<ReadBatch, ReadError> {
        if self.weather.is_out {
            return Err(ReadError::Unavailable("out".into()));
        }
        self.store.read(STREAM, from)
    }
}
