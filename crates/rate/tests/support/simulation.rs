use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use lentilshift_rate::{RateDecision, RateRecord, TeamRate};
use model::{CentreName, TeamName, VmName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Contract, ExactBucket, Members, SimAction, SimNode, excess};

/// The time for nodes to claim leases before requests are sent, in milliseconds.
pub const WARM_UP_MS: u64 = 12_000;

/// The probabilities of faults, in millionths per millisecond or per message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost: u32,
    pub duplicated: u32,
    pub delayed: u32,
    pub pauses: u32,
    pub kills: u32,
    pub centre_kills: u32,
    pub partitions: u32,
    pub node_log_outages: u32,
    pub log_outages: u32,
    pub contract_changes: u32,
    pub false_members: u32,
}

impl Faults {
    pub const ALL: Self = Self {
        lost: 30_000,
        duplicated: 30_000,
        delayed: 20_000,
        pauses: 300,
        kills: 100,
        centre_kills: 0,
        partitions: 60,
        node_log_outages: 200,
        log_outages: 60,
        contract_changes: 100,
        false_members: 100_000,
    };
}

/// The load of a team.
#[derive(Clone, Copy, Debug)]
pub struct TeamLoad {
    pub rate: TeamRate,
    /// The requests per second over all VMs while the team sends.
    pub sent_per_s: u32,
    /// The team sends for `on_ms` in every `period_ms`.
    pub on_ms: u64,
    pub period_ms: u64,
    /// The number of VMs that the team sends to.
    pub vms: usize,
}

impl TeamLoad {
    /// Returns the load of a team that sends all the time.
    #[allow(dead_code, reason = "not every test file sends all the time")]
    pub const fn steady(rate_per_s: u32, burst: u32, sent_per_s: u32, vms: usize) -> Self {
        Self {
            rate: TeamRate { rate_per_s, burst },
            sent_per_s,
            on_ms: 1_000,
            period_ms: 1_000,
            vms,
        }
    }
}

struct Host<N> {
    node: N,
    centre: CentreName,
    offset_ms: u64,
    drift_ppm: i64,
    paused_until: u64,
    log_unreachable_until: u64,
    next_read: u64,
    read: usize,
    next_poll: u64,
    waiting: Vec<WaitingRequest>,
}

impl<N> Host<N> {
    fn time(&self, now: u64) -> ClockTime {
        let drift = i64::try_from(now).unwrap() * self.drift_ppm / 1_000_000;
        ClockTime::from_ms((self.offset_ms + now).checked_add_signed(drift).unwrap())
    }
}

/// A request that waits for tokens.
struct WaitingRequest {
    team: TeamName,
    sent_at: u64,
    deadline: u64,
    is_within: bool,
}

enum Event<M> {
    Deliver(VmName, VmName, M),
    Append(RateRecord),
    Members(VmName, Members),
    Contract(VmName, u64),
}

/// The outcome for one team.
#[derive(Clone, Debug)]
pub struct TeamOutcome {
    pub load: TeamLoad,
    pub admitted: Vec<u64>,
    pub exact: ExactBucket,
    pub exact_admitted: u64,
    /// The arrival times of refused requests that the exact bucket admits.
    pub wrongful: Vec<u64>,
    pub highest: TeamRate,
    is_changed: bool,
}

pub struct Simulation<N: SimNode> {
    pub now: u64,
    faults: Faults,
    random: SmallRng,
    make: fn(VmName, CentreName) -> N,
    hosts: BTreeMap<VmName, Host<N>>,
    events: BTreeMap<(u64, u64), Event<N::Message>>,
    event_count: u64,
    log: Vec<(u64, RateRecord)>,
    pub log_outage_until: u64,
    partitioned_until: BTreeMap<CentreName, u64>,
    contracts: Vec<Contract>,
    starts: BTreeMap<(u64, u64), CentreName>,
    pub teams: BTreeMap<TeamName, TeamOutcome>,
    pub messages: u64,
    /// The shortest time between two polls of a node, in milliseconds.
    pub poll_every_ms: u64,
    /// The time of the first request, in milliseconds.
    pub traffic_from: u64,
    /// The log's retention time, in milliseconds.
    pub retain_ms: u64,
    /// The bounds of the time between two reads of the log by a node, in milliseconds.
    pub read_interval_ms: (u64, u64),
}

impl<N: SimNode> Simulation<N> {
    pub fn new(
        seed: u64,
        vms: usize,
        loads: &[(&str, TeamLoad)],
        faults: Faults,
        make: fn(VmName, CentreName) -> N,
    ) -> Self {
        Self::with_centres(seed, (vms, 3), loads, faults, make)
    }

    /// Creates a fleet of some VMs in some data centres.
    pub fn with_centres(
        seed: u64,
        (vms, centres): (usize, usize),
        loads: &[(&str, TeamLoad)],
        faults: Faults,
        make: fn(VmName, CentreName) -> N,
    ) -> Self {
        let outcome = |load: TeamLoad| TeamOutcome {
            load,
            admitted: Vec::new(),
            exact: ExactBucket::new(load.rate),
            exact_admitted: 0,
            wrongful: Vec::new(),
            highest: load.rate,
            is_changed: false,
        };
        let named = loads
            .iter()
            .map(|(name, load)| (TeamName::new(*name), *load));
        let teams: BTreeMap<_, _> = named.map(|(name, load)| (name, outcome(load))).collect();
        let rates = teams
            .iter()
            .map(|(name, team)| (name.clone(), team.load.rate));
        let mut simulation = Self {
            now: 0,
            faults,
            random: SmallRng::seed_from_u64(seed),
            make,
            hosts: BTreeMap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            log: Vec::new(),
            log_outage_until: 0,
            partitioned_until: BTreeMap::new(),
            contracts: vec![rates.collect()],
            starts: BTreeMap::new(),
            teams,
            messages: 0,
            poll_every_ms: 1,
            traffic_from: WARM_UP_MS,
            retain_ms: u64::MAX,
            read_interval_ms: (5, 80),
        };
        for index in 0..vms {
            simulation.start(CentreName::new(format!("dc-{}", index % centres)));
        }
        simulation
    }

    pub fn start(&mut self, centre: CentreName) {
        self.event_count += 1;
        let vm = VmName::new(format!("vm-{:05}", self.event_count));
        let mut host = Host {
            node: (self.make)(vm.clone(), centre.clone()),
            centre,
            offset_ms: self.random.random_range(1_000_000..2_000_000),
            drift_ppm: self.random.random_range(-450..450),
            paused_until: 0,
            log_unreachable_until: 0,
            next_read: self.now,
            read: 0,
            next_poll: 0,
            waiting: Vec::new(),
        };
        let contract = self.contracts.last().unwrap();
        let version = self.contracts.len() as u64;
        host.node
            .set_contract(host.time(self.now), contract, version);
        self.hosts.insert(vm, host);
        self.publish_members();
    }

    fn schedule(&mut self, delay_ms: u64, event: Event<N::Message>) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay_ms, self.event_count), event);
    }

    fn chance(&mut self, in_a_million: u32) -> bool {
        self.random.random_range(0..1_000_000) < in_a_million
    }

    /// Sends the list of live nodes to every node, with random delays and errors.
    fn publish_members(&mut self) {
        let all: Members = self
            .hosts
            .iter()
            .map(|(vm, host)| (vm.clone(), host.centre.clone()))
            .collect();
        let is_start = self.now == 0;
        for vm in all.keys() {
            let mut known = all.clone();
            if self.chance(self.faults.false_members) {
                let missing = self.random.random_range(0..all.len());
                known.remove(all.keys().nth(missing).unwrap());
                known.insert(vm.clone(), all[vm].clone());
            }
            let delay_ms = if is_start {
                0
            } else {
                self.random.random_range(50..2_000)
            };
            self.schedule(delay_ms, Event::Members(vm.clone(), known));
        }
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while self.now < end_ms {
            self.now += 1;
            self.inject_faults();
            self.deliver();
            let vms: Vec<VmName> = self.hosts.keys().cloned().collect();
            for vm in &vms {
                self.step(vm);
            }
            if self.now > self.traffic_from && !self.hosts.is_empty() {
                self.send_requests();
            }
        }
    }

    fn pick(&mut self) -> VmName {
        let index = self.random.random_range(0..self.hosts.len());
        self.hosts.keys().nth(index).unwrap().clone()
    }

    fn inject_faults(&mut self) {
        let faults = self.faults;
        if self.chance(faults.pauses) {
            let until = self.now + self.random.random_range(20..8_000);
            let vm = self.pick();
            self.hosts.get_mut(&vm).unwrap().paused_until = until;
        }
        if self.chance(faults.node_log_outages) {
            let until = self.now + self.random.random_range(500..20_000);
            let vm = self.pick();
            self.hosts.get_mut(&vm).unwrap().log_unreachable_until = until;
        }
        if self.chance(faults.kills) && self.hosts.len() > 4 {
            let vm = self.pick();
            self.kill(&vm, 0);
        }
        if self.chance(faults.centre_kills) {
            let centre = format!("dc-{}", self.random.random_range(0..3));
            self.kill_centre(&centre, 20_000);
        }
        if self.chance(faults.partitions) {
            let until = self.now + self.random.random_range(500..20_000);
            let centre = CentreName::new(format!("dc-{}", self.random.random_range(0..3)));
            self.partitioned_until.insert(centre, until);
        }
        if self.chance(faults.log_outages) {
            self.log_outage_until = self.now + self.random.random_range(1_000..15_000);
        }
        if self.chance(faults.contract_changes) {
            self.change_contract();
        }
        let due: Vec<_> = self
            .starts
            .range(..=(self.now, u64::MAX))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let centre = self.starts.remove(&key).unwrap();
            self.start(centre);
        }
    }

    /// Kills all VMs of a data centre, which restart after `away_ms` at the earliest.
    pub fn kill_centre(&mut self, centre: &str, away_ms: u64) {
        let vms = self.vms_of(centre);
        if vms.len() < self.hosts.len() {
            for vm in &vms {
                self.kill(vm, away_ms);
            }
        }
    }

    pub fn kill(&mut self, vm: &VmName, away_ms: u64) {
        self.kill_at_once(std::slice::from_ref(vm), away_ms);
    }

    /// Kills VMs, which restart after `away_ms` at the earliest, and publishes their loss once.
    pub fn kill_at_once(&mut self, vms: &[VmName], away_ms: u64) {
        for vm in vms {
            let host = self.hosts.remove(vm).unwrap();
            self.event_count += 1;
            let restart_at = self.now + away_ms + self.random.random_range(100..6_000);
            self.starts
                .insert((restart_at, self.event_count), host.centre);
        }
        self.publish_members();
    }

    /// Changes rate and burst of the team `changing` at random, or switches the burst of `moving`
    /// between 1 and 60, to move its rate between data centres.
    fn change_contract(&mut self) {
        let mut contract = self.contracts.last().unwrap().clone();
        let name = if self.random.random() {
            "changing"
        } else {
            "moving"
        };
        let Some((team, last)) = contract.get_key_value(name) else {
            return;
        };
        let (team, mut rate) = (team.clone(), *last);
        if name == "changing" {
            rate.rate_per_s = self.random.random_range(5..200);
            rate.burst = self.random.random_range(1..80);
        } else {
            rate.burst = if rate.burst == 1 { 60 } else { 1 };
        }
        self.set_rate(&mut contract, &team, rate);
    }

    pub fn set_rate(&mut self, contract: &mut Contract, team: &TeamName, rate: TeamRate) {
        contract.insert(team.clone(), rate);
        let outcome = self.teams.get_mut(team).unwrap();
        outcome.is_changed = true;
        outcome.highest.rate_per_s = outcome.highest.rate_per_s.max(rate.rate_per_s);
        outcome.highest.burst = outcome.highest.burst.max(rate.burst);
        self.contracts.push(contract.clone());
        let version = self.contracts.len() as u64;
        let vms: Vec<VmName> = self.hosts.keys().cloned().collect();
        for vm in vms {
            let delay_ms = self.random.random_range(10..3_000);
            self.schedule(delay_ms, Event::Contract(vm, version));
        }
    }

    pub fn contract(&self) -> Contract {
        self.contracts.last().unwrap().clone()
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Append(record) => self.log.push((self.now, record)),
                Event::Members(vm, members) => {
                    self.with_host(&vm, |host, now| host.node.set_members(now, &members));
                }
                Event::Contract(vm, version) => {
                    let contract = self.contracts[usize::try_from(version).unwrap() - 1].clone();
                    self.with_host(&vm, |host, now| {
                        host.node.set_contract(now, &contract, version);
                    });
                }
                Event::Deliver(from, to, message) => self.deliver_message(&from, &to, message),
            }
        }
    }

    fn with_host(&mut self, vm: &VmName, change: impl FnOnce(&mut Host<N>, ClockTime)) {
        if let Some(host) = self.hosts.get_mut(vm) {
            let now = host.time(self.now);
            change(host, now);
        }
    }

    fn deliver_message(&mut self, from: &VmName, to: &VmName, message: N::Message) {
        let Some(host) = self.hosts.get_mut(to) else {
            return;
        };
        if host.paused_until > self.now {
            let delay_ms = host.paused_until - self.now + 1;
            self.schedule(delay_ms, Event::Deliver(from.clone(), to.clone(), message));
            return;
        }
        let now = host.time(self.now);
        let mut actions = Vec::new();
        host.node.receive(now, from, message, &mut actions);
        self.execute(to, actions);
        self.retry_waiting(to);
    }

    fn step(&mut self, vm: &VmName) {
        let Some(host) = self.hosts.get_mut(vm) else {
            return;
        };
        if host.paused_until > self.now {
            return;
        }
        let now = host.time(self.now);
        let is_log_unreachable =
            host.log_unreachable_until > self.now || self.log_outage_until > self.now;
        if !is_log_unreachable && host.next_read <= self.now {
            let oldest = self.now.saturating_sub(self.retain_ms);
            let first = self.log.partition_point(|(at, _)| *at < oldest);
            if first > host.read {
                host.node.lose_before(first as u64);
                host.read = first;
            }
            for (offset, (_, record)) in self.log.iter().enumerate().skip(host.read) {
                host.node.receive_record(now, offset as u64, record);
            }
            host.read = self.log.len();
            host.node.log_caught_up(now);
            let (shortest_ms, longest_ms) = self.read_interval_ms;
            host.next_read = self.now + self.random.random_range(shortest_ms..longest_ms);
        }
        if host.next_poll <= self.now {
            host.next_poll = self.now + self.poll_every_ms;
            self.poll(vm);
        }
        self.retry_waiting(vm);
    }

    /// Polls a node if it reports that a poll is due.
    pub fn poll(&mut self, vm: &VmName) {
        let mut actions = Vec::new();
        self.with_host(vm, |host, now| {
            if host.node.next_poll() <= now {
                host.node.poll(now, &mut actions);
            }
        });
        self.execute(vm, actions);
    }

    fn is_partitioned(&self, one: &CentreName, other: &CentreName) -> bool {
        let is_isolated = |centre| {
            self.partitioned_until
                .get(centre)
                .is_some_and(|until| *until > self.now)
        };
        one != other && (is_isolated(one) || is_isolated(other))
    }

    fn execute(&mut self, vm: &VmName, actions: Vec<SimAction<N::Message>>) {
        let Some(host) = self.hosts.get(vm) else {
            return;
        };
        let (centre, log_unreachable_until) = (host.centre.clone(), host.log_unreachable_until);
        for action in actions {
            match action {
                SimAction::Send(to, message) => self.send(vm, &centre, &to, &message),
                SimAction::Append(record) => {
                    let is_log_unreachable =
                        self.log_outage_until.max(log_unreachable_until) > self.now;
                    let is_delayed = self.chance(self.faults.delayed);
                    if !is_log_unreachable || is_delayed {
                        let max_delay_ms = if is_delayed { 10_000 } else { 20 };
                        let delay_ms = self.random.random_range(1..max_delay_ms);
                        self.schedule(delay_ms, Event::Append(record));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: &VmName, centre: &CentreName, to: &VmName, message: &N::Message) {
        self.messages += 1;
        let Some(target) = self.hosts.get(to) else {
            return;
        };
        if self.is_partitioned(centre, &target.centre.clone()) || self.chance(self.faults.lost) {
            return;
        }
        let copies = if self.chance(self.faults.duplicated) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let max_delay_ms = if self.chance(self.faults.delayed) {
                4_000
            } else {
                3
            };
            let delay_ms = self.random.random_range(1..max_delay_ms);
            self.schedule(
                delay_ms,
                Event::Deliver(from.clone(), to.clone(), message.clone()),
            );
        }
    }

    fn send_requests(&mut self) {
        let teams: Vec<(TeamName, TeamLoad)> = self
            .teams
            .iter()
            .map(|(name, team)| (name.clone(), team.load))
            .collect();
        for (team, load) in teams {
            if self.now % load.period_ms >= load.on_ms {
                continue;
            }
            let mut count = load.sent_per_s / 1_000;
            count += u32::from(self.random.random_range(0..1_000) < load.sent_per_s % 1_000);
            for _ in 0..count {
                let index = self.random.random_range(0..load.vms.min(self.hosts.len()));
                let vm = self.hosts.keys().nth(index).unwrap().clone();
                if self.hosts[&vm].paused_until <= self.now {
                    self.request(&vm, &team);
                }
            }
        }
    }

    pub fn request(&mut self, vm: &VmName, team: &TeamName) {
        let outcome = self.teams.get_mut(team).unwrap();
        let is_within = outcome.exact.take(self.now);
        outcome.exact_admitted += u64::from(is_within);
        let host = self.hosts.get_mut(vm).unwrap();
        let decision = host.node.admit(host.time(self.now), team, true);
        let wait_ms = match decision {
            RateDecision::Wait { wait_ms } => wait_ms,
            RateDecision::Admit | RateDecision::Refuse { .. } => 0,
        };
        let request = WaitingRequest {
            team: team.clone(),
            sent_at: self.now,
            deadline: self.now + wait_ms,
            is_within,
        };
        self.record_decision(vm, request, &decision);
    }

    fn retry_waiting(&mut self, vm: &VmName) {
        let Some(host) = self.hosts.get_mut(vm) else {
            return;
        };
        let now = self.now;
        let is_over = host.waiting.iter().any(|request| request.deadline < now);
        let is_woken = !host.waiting.is_empty() && host.node.take_wake_up();
        if !is_over && !is_woken {
            return;
        }
        let mut without_tokens = BTreeSet::new();
        for request in std::mem::take(&mut host.waiting) {
            let host = self.hosts.get_mut(vm).unwrap();
            let is_over = request.deadline < now;
            if !is_over && (!is_woken || without_tokens.contains(&request.team)) {
                host.waiting.push(request);
                continue;
            }
            let decision = if is_over {
                RateDecision::Refuse { retry_after_ms: 0 }
            } else {
                host.node.admit(host.time(now), &request.team, false)
            };
            if matches!(decision, RateDecision::Wait { .. }) {
                without_tokens.insert(request.team.clone());
            }
            self.record_decision(vm, request, &decision);
        }
    }

    /// Records the decision on a request, and queues the request if it has to wait.
    fn record_decision(&mut self, vm: &VmName, request: WaitingRequest, decision: &RateDecision) {
        let outcome = self.teams.get_mut(&request.team).unwrap();
        match decision {
            RateDecision::Admit => outcome.admitted.push(self.now),
            RateDecision::Wait { .. } => self.hosts.get_mut(vm).unwrap().waiting.push(request),
            RateDecision::Refuse { .. } if request.is_within => {
                outcome.wrongful.push(request.sent_at);
            }
            RateDecision::Refuse { .. } => {}
        }
    }

    /// Returns all VMs of a data centre.
    pub fn vms_of(&self, centre: &str) -> Vec<VmName> {
        let is_in_centre = |(_, host): &(&VmName, &Host<N>)| host.centre.as_str() == centre;
        let hosts = self.hosts.iter().filter(is_in_centre);
        hosts.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the first VM in a data centre.
    pub fn vm_in(&self, centre: &str) -> VmName {
        self.vm_in_where(centre, |_, _| true)
    }

    /// Returns the first VM in a data centre whose node matches.
    pub fn vm_in_where(&self, centre: &str, matches: impl Fn(&N, ClockTime) -> bool) -> VmName {
        let mut vms = self.hosts.iter().filter(|(_, host)| {
            host.centre.as_str() == centre && matches(&host.node, host.time(self.now))
        });
        vms.next().unwrap().0.clone()
    }

    pub fn pause(&mut self, vm: &VmName, until: u64) {
        self.hosts.get_mut(vm).unwrap().paused_until = until;
    }

    pub fn cut_from_log(&mut self, vm: &VmName, until: u64) {
        self.hosts.get_mut(vm).unwrap().log_unreachable_until = until;
    }

    pub fn partition(&mut self, centre: &str, until: u64) {
        self.partitioned_until
            .insert(CentreName::new(centre), until);
    }

    /// Returns all records, including those that have expired.
    pub fn records(&self) -> impl Iterator<Item = &RateRecord> {
        self.log.iter().map(|(_, record)| record)
    }

    pub fn nodes(&self) -> impl Iterator<Item = (&VmName, &N, ClockTime)> {
        self.hosts
            .iter()
            .map(|(vm, host)| (vm, &host.node, host.time(self.now)))
    }

    /// Counts the admissions of all teams above rate and burst.
    pub fn excess(&self) -> usize {
        self.teams
            .values()
            .map(|team| excess(team.highest, &team.admitted))
            .sum()
    }

    /// Returns how many requests the exact bucket admits and how many fewer the fleet admitted, over
    /// teams whose rate was not changed.
    pub fn shortfall(&self, teams: &BTreeSet<&str>) -> (u64, u64) {
        let chosen = self.teams.iter().filter(|(name, team)| {
            !team.is_changed && (teams.is_empty() || teams.contains(name.as_str()))
        });
        chosen.fold((0, 0), |(exact, short), (_, team)| {
            let own = team.admitted.len() as u64;
            (
                exact + team.exact_admitted,
                short + team.exact_admitted.saturating_sub(own),
            )
        })
    }
}
