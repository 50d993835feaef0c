//! A simulated fleet in virtual time: nodes that follow a stand-in log and pull from one another.

use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use lentilshift_streams::{
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
/// The time that the answer to a pull may take in addition to the time it is held, in milliseconds.
const PULL_SLACK_MS: u64 = 400;

/// A tree small enough for a small fleet to have nodes at every level.
const SMALL_PLAN: PlanSettings = PlanSettings {
    gateways: 1,
    fan_out: 2,
    reading_centres: usize::MAX,
};

pub type Check = fn(&str) -> Result<(), String>;

pub fn check(text: &str) -> Result<(), String> {
    (!text.contains("invalid"))
        .then_some(())
        .ok_or_else(|| "not valid".into())
}

#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    pub is_out: bool,
    pub hangs: bool,
    pub delay_ms: u64,
    pub loses_replies: bool,
}

struct PendingRead {
    requested_at: ClockTime,
    done_at: ClockTime,
    result: Result<ReadBatch, ReadError>,
}

struct PendingPull {
    requested_at: ClockTime,
    peer: VmName,
    pull: RelayPull,
    answer: Option<(ClockTime, RelayBatch, u64)>,
}

pub struct SimNode {
    pub name: VmName,
    pub centre: CentreName,
    pub feed: ConfigFeed<Check>,
    pub is_cut_from_log: bool,
    pub is_cut_from_peers: bool,
    pub newest_in_force: u64,
    /// The version that a naive node would have, which treats each answer as the newest state.
    pub naive_version: u64,
    pub paused_until: ClockTime,
    pub linked_since: ClockTime,
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
    pub log_faults: LogFaults,
    /// Pairs of locations: messages from the first to the second are lost.
    pub blocked_links: BTreeSet<(CentreName, CentreName)>,
    /// When each version took effect on the log.
    pub in_force_at: Vec<(ClockTime, u64)>,
    centres: usize,
    plan: PlanSettings,
    follow: FollowSettings,
    starts: usize,
}

/// Returns the location of the log, which can be partitioned like a data centre.
pub fn log_location() -> CentreName {
    CentreName::new("log")
}

impl SimNode {
    pub fn is_paused(&self, now: ClockTime) -> bool {
        now < self.paused_until
    }

    fn is_started(&self, now: ClockTime) -> bool {
        now >= self.starts_at
    }

    /// Returns whether the node is ready, running and not disconnected on its own.
    pub fn is_healthy(&self, now: ClockTime) -> bool {
        let is_cut = self.is_cut_from_log || self.is_cut_from_peers;
        self.feed.is_ready() && !self.is_paused(now) && !is_cut
    }
}

impl SimFleet {
    /// Creates a fleet in three data centres.
    pub fn new(seed: u64, count: usize) -> Self {
        Self::with_plan(seed, count, 3, SMALL_PLAN)
    }

    pub fn with_plan(seed: u64, count: usize, centres: usize, plan: PlanSettings) -> Self {
        Self::with_follow(seed, (count, centres), plan, FollowSettings::default())
    }

    /// Creates a fleet of some nodes in some data centres.
    pub fn with_follow(
        seed: u64,
        (count, centres): (usize, usize),
        plan: PlanSettings,
        follow: FollowSettings,
    ) -> Self {
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: ClockTime::from_ms(1_000),
            store: LogStore::default(),
            oracle: ConfigFold::new(check as Check),
            outcomes: BTreeMap::new(),
            texts: BTreeMap::new(),
            nodes: Vec::new(),
            log_faults: LogFaults::default(),
            blocked_links: BTreeSet::new(),
            in_force_at: Vec::new(),
            centres,
            plan,
            follow,
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
            jitter_ms: 1_000,
        };
        let settings = FeedSettings {
            snapshot,
            follow: self.follow,
            ..FeedSettings::default()
        };
        let centre = CentreName::new(format!("dc-{}", index % self.centres));
        let rank = self.rng.random_range(0..999);
        let name = VmName::new(format!("vm-{rank}-{}", self.starts));
        SimNode {
            feed: ConfigFeed::new(name.clone(), centre.clone(), check as Check, &settings),
            name,
            centre,
            is_cut_from_log: false,
            is_cut_from_peers: false,
            newest_in_force: 0,
            naive_version: 0,
            paused_until: ClockTime::ZERO,
            linked_since: self.now,
            starts_at: self.now.plus_ms(self.rng.random_range(0..1_000)),
            reading: Vec::new(),
            pulling: None,
        }
    }

    /// Replaces a node by a new one without state.
    pub fn replace(&mut self, index: usize) {
        self.nodes[index] = self.new_node(index);
        self.set_plans();
    }

    fn names_by_centre(&self) -> BTreeMap<CentreName, Vec<VmName>> {
        let mut centres: BTreeMap<CentreName, Vec<VmName>> = BTreeMap::new();
        for node in &self.nodes {
            let names = centres.entry(node.centre.clone()).or_default();
            names.push(node.name.clone());
        }
        centres
    }

    /// Returns the plan of a node.
    #[allow(dead_code, reason = "not every test file looks at plans")]
    pub fn plan_of(&self, node: &SimNode) -> RelayPlan {
        let centres = self.names_by_centre();
        RelayPlan::new(&node.name, &node.centre, &centres, &self.plan)
    }

    fn set_plans(&mut self) {
        let centres = self.names_by_centre();
        let readers = |names: &Vec<VmName>| RelayPlan::gateways(names, &self.plan).len();
        let all: BTreeMap<CentreName, usize> = centres
            .iter()
            .map(|(centre, names)| (centre.clone(), readers(names)))
            .collect();
        let has_peers = self.nodes.len() > 1;
        for node in &mut self.nodes {
            let plan = RelayPlan::new(&node.name, &node.centre, &centres, &self.plan);
            node.feed.set_members(plan, all.clone(), has_peers);
        }
    }

    /// Appends a record as an operator outside the fleet does.
    pub fn append(&mut self, id: RecordId, change: &ConfigRecord) -> Result<(), AppendError> {
        if self.log_faults.is_out {
            return Err(AppendError::OutcomeUnknown("no answer".into()));
        }
        self.write(id, change);
        if self.log_faults.loses_replies {
            return Err(AppendError::OutcomeUnknown("no answer".into()));
        }
        Ok(())
    }

    fn write(&mut self, id: RecordId, change: &ConfigRecord) {
        let body = RecordBody::encode(change);
        self.store
            .append(self.now, STREAM, vec![NewRecord { id, body }]);
        let outcome = self.oracle.apply_change(change);
        let in_force = self.oracle.in_force().version.get();
        self.in_force_at.push((self.now, in_force));
        let newest = self.oracle.newest();
        self.texts
            .insert(newest.version.get(), newest.text.to_string());
        self.outcomes.entry(id).or_insert(outcome);
    }

    /// Advances the simulation by one tick.
    pub fn step(&mut self) {
        self.now = self.now.plus_ms(TICK_MS);
        self.store.expire(self.now, RETENTION_MS);
        self.update_links();
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_started(self.now) {
                continue;
            }
            self.step_pull_answer(index);
            if self.nodes[index].is_paused(self.now) || self.now == self.nodes[index].paused_until {
                continue;
            }
            self.step_read(index);
            self.step_pull(index);
            self.step_snapshot(index);
        }
    }

    fn is_open(&self, from: &CentreName, to: &CentreName) -> bool {
        !self.blocked_links.contains(&(from.clone(), to.clone()))
    }

    /// Returns whether requests and answers pass between two locations.
    pub fn is_linked(&self, left: &CentreName, right: &CentreName) -> bool {
        self.is_open(left, right) && self.is_open(right, left)
    }

    /// Returns the locations with a path to the log, through data centres whose nodes are all
    /// healthy.
    fn linked_locations(&self) -> BTreeSet<CentreName> {
        let centres: BTreeSet<CentreName> =
            self.nodes.iter().map(|node| node.centre.clone()).collect();
        let carries = |place: &CentreName| {
            let mut nodes = self.nodes.iter();
            nodes.all(|node| node.centre != *place || node.is_healthy(self.now))
        };
        let mut linked = BTreeSet::from([log_location()]);
        for _ in 0..centres.len() {
            let sources: Vec<_> = linked
                .iter()
                .filter(|place| carries(place))
                .cloned()
                .collect();
            let is_adjacent =
                |centre: &&CentreName| sources.iter().any(|to| self.is_linked(centre, to));
            linked.extend(centres.iter().filter(is_adjacent).cloned());
        }
        linked
    }

    /// Updates the time since which each node has had an uninterrupted path to the log.
    fn update_links(&mut self) {
        let linked = self.linked_locations();
        let is_up = !self.log_faults.is_out && self.log_faults.delay_ms == 0;
        for node in &mut self.nodes {
            if !is_up || !node.is_healthy(self.now) || !linked.contains(&node.centre) {
                node.linked_since = self.now;
            }
        }
    }

    fn step_read(&mut self, index: usize) {
        let is_linked = self.is_linked(&self.nodes[index].centre, &log_location());
        let (now, node) = (self.now, &mut self.nodes[index]);
        for pending in node
            .reading
            .extract_if(.., |pending| pending.done_at <= now)
        {
            let requested_at = pending.requested_at;
            if let Ok(batch) = &pending.result {
                let newest = batch.end == self.store.end(STREAM);
                node.naive_version = if newest {
                    self.oracle.in_force().version.get()
                } else {
                    node.naive_version
                };
            }
            node.feed
                .on_read(now, requested_at, pending.result, &mut self.rng);
        }
        let follow = self.follow;
        let newest = node.reading.last().map(|pending| pending.requested_at);
        let is_early = newest.is_some_and(|time| now.since_ms(time) < follow.hedge_after_ms);
        if is_early || node.reading.len() >= follow.max_reads {
            return;
        }
        let FollowAction::Read { from, wait_ms } = node.feed.next_read(now, &mut self.rng) else {
            return;
        };
        let is_out = self.log_faults.is_out || node.is_cut_from_log || !is_linked;
        let hangs = self.log_faults.hangs || !is_linked;
        let mut done_at = now.plus_ms(self.log_faults.delay_ms);
        let result = if is_out {
            done_at = now.plus_ms(if hangs { 5_000 } else { TICK_MS });
            Err(ReadError::Unavailable("out".into()))
        } else {
            self.store.read(STREAM, from)
        };
        if result.as_ref().is_ok_and(|batch| batch.records.is_empty()) {
            done_at = done_at.plus_ms(wait_ms);
        }
        node.reading.push(PendingRead {
            requested_at: now,
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
            let (requested_at, answer) = (now, None);
            node.pulling = Some(PendingPull {
                requested_at,
                peer,
                pull,
                answer,
            });
        }
    }

    /// Lets the queried node answer, even while the requesting node is paused.
    fn step_pull_answer(&mut self, index: usize) {
        let (now, node) = (self.now, &self.nodes[index]);
        let Some(pending) = node.pulling.as_ref().filter(|pull| pull.answer.is_none()) else {
            return;
        };
        let waited = now.since_ms(pending.requested_at);
        let is_reached = |other: &&SimNode| {
            let is_up = !other.is_cut_from_peers && !other.is_paused(now);
            other.name == pending.peer && is_up && self.is_linked(&node.centre, &other.centre)
        };
        let other = self.nodes.iter().find(is_reached);
        let Some(other) = other.filter(|_| !node.is_cut_from_peers && waited > 0) else {
            return;
        };
        if other.feed.has_update(now, &pending.pull, waited) || waited >= pending.pull.wait_ms {
            let held = waited.saturating_sub(TICK_MS);
            let answer = other.feed.answer(now, &pending.pull).held_ms(held);
            let naive_version = other.naive_version;
            let node = &mut self.nodes[index];
            node.pulling = node.pulling.take().map(|pending| PendingPull {
                answer: Some((now, answer, naive_version)),
                ..pending
            });
        }
    }

    fn step_pending_pull(&mut self, index: usize, pending: PendingPull) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        let waited = now.since_ms(pending.requested_at);
        match pending.answer {
            Some((answered_at, batch, naive_version)) if answered_at < now => {
                node.naive_version = naive_version;
                node.feed.on_batch(now, pending.requested_at, batch);
            }
            None if waited >= pending.pull.wait_ms + PULL_SLACK_MS => {
                node.feed.on_pull_failure(now, &mut self.rng);
            }
            _ => node.pulling = Some(pending),
        }
    }

    fn step_snapshot(&mut self, index: usize) {
        let is_open = self.is_open(&self.nodes[index].centre, &log_location());
        let (now, node) = (self.now, &mut self.nodes[index]);
        if self.log_faults.is_out || node.is_cut_from_log || !is_open {
            return;
        }
        if let Some(body) = node.feed.due_snapshot(now, &mut self.rng) {
            let id = RecordId::from_random(self.rng.random());
            self.store.append(now, STREAM, vec![NewRecord { id, body }]);
        }
    }

    /// Checks that no node has an unknown text in force or returns to an earlier version.
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

    /// Checks that the state of every node equals the fold of the whole history.
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
            if node.is_paused(self.now) {
                return false;
            }
            let answer = node.feed.key_answer(self.now, digest);
            matches!(answer, KeyAnswer::Team(_))
        };
        self.nodes.iter().filter(admits).collect()
    }

    /// Reads the log as an operator outside the fleet does.
    pub fn read(&self, from: LogOffset) -> Result<ReadBatch, ReadError> {
        if self.log_faults.is_out {
            return Err(ReadError::Unavailable("out".into()));
        }
        self.store.read(STREAM, from)
    }
}
