//! Measures the cost of rate limiting per node, for several fleet sizes, in virtual time.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::{Duration, Instant};

use clock::ClockTime;
use lentilshift_rate::{
    RateAction, RateDecision, RateMessage, RateRecord, RateSettings, TeamLimiter, TeamRate,
};
use model::{CentreName, TeamName, VmName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WARM_UP_MS: u64 = 3_000;
const MEASURED_MS: u64 = 2_500;
/// 620,000 calls per second on 4,000 nodes, of which one in five comes from outside the fleet.
const REQUESTS_PER_NODE_S: u32 = 31;
/// The time from an append until all nodes have read it, in milliseconds.
const LOG_DELAY_MS: u64 = 20;

struct FleetSize {
    nodes: usize,
    centres: usize,
    teams: usize,
    slots: u16,
    lease_ms: u64,
}

const SIZES: [FleetSize; 5] = [
    size(15, 3, 8, 1, 15_000),
    size(250, 3, 50, 16, 15_000),
    size(1_000, 5, 150, 64, 15_000),
    size(4_000, 7, 400, 256, 60_000),
    size(4_000, 7, 8, 64, 30_000),
];

const fn size(nodes: usize, centres: usize, teams: usize, slots: u16, lease_ms: u64) -> FleetSize {
    FleetSize {
        nodes,
        centres,
        teams,
        slots,
        lease_ms,
    }
}

#[derive(Clone, Default)]
struct NodeCost {
    messages: u64,
    bytes: u64,
    log_bytes: u64,
    busy: Duration,
}

struct Fleet {
    names: Vec<VmName>,
    indexes: BTreeMap<VmName, usize>,
    nodes: Vec<TeamLimiter>,
    costs: Vec<NodeCost>,
    inbox: Vec<(usize, usize, RateMessage)>,
    log: Vec<(u64, RateRecord)>,
    read: usize,
    now: u64,
    is_measured: bool,
    waiting: Vec<(u64, usize, TeamName)>,
    admitted: u64,
    waited: u64,
    refused: u64,
    grants: u64,
    grant_time: Duration,
}

fn main() -> Result<(), Box<dyn Error>> {
    println!(
        "nodes centres teams slots | msg/s bytes/s mean | msg/s bytes/s max | log bytes/s | cpu% mean max | us/request | appends/s | KB/node | waited% refused%"
    );
    for size in &SIZES {
        measure(size)?;
    }
    Ok(())
}

fn measure(size: &FleetSize) -> Result<(), Box<dyn Error>> {
    let before = resident_bytes()?;
    let mut fleet = Fleet::new(size)?;
    let mut random = SmallRng::seed_from_u64(1);
    let teams: Vec<TeamName> = (0..size.teams).map(team).collect();
    while fleet.now < WARM_UP_MS + MEASURED_MS {
        fleet.is_measured = fleet.now >= WARM_UP_MS + 500;
        fleet.step(size, &teams, &mut random)?;
    }
    fleet.report(size, resident_bytes()?.saturating_sub(before));
    Ok(())
}

fn team(index: usize) -> TeamName {
    TeamName::new(format!("team-{index:03}"))
}

impl Fleet {
    fn new(size: &FleetSize) -> Result<Self, Box<dyn Error>> {
        let names: Vec<VmName> = (0..size.nodes)
            .map(|i| VmName::new(format!("vm-{i:04}-1")))
            .collect();
        let centre = |i: usize| CentreName::new(format!("dc-{}", i % size.centres));
        let settings = RateSettings {
            slots: size.slots,
            lease_ms: size.lease_ms,
            ..RateSettings::default()
        };
        let whole = u32::try_from(size.nodes)? * REQUESTS_PER_NODE_S * 6 / 5;
        let rate_per_s = whole / u32::try_from(size.teams)?;
        let rate = TeamRate {
            rate_per_s,
            burst: rate_per_s.max(20),
        };
        let nodes = names.iter().enumerate().map(|(i, name)| {
            let mut node = TeamLimiter::new(name.clone(), centre(i), settings.clone());
            node.set_contract((0..size.teams).map(|index| (team(index), rate)), 1);
            let members = names.iter().enumerate();
            node.set_members(members.map(|(i, name)| (name.clone(), centre(i))));
            node.log_caught_up(ClockTime::ZERO);
            node
        });
        Ok(Self {
            nodes: nodes.collect(),
            indexes: names.iter().cloned().zip(0..).collect(),
            costs: vec![NodeCost::default(); names.len()],
            names,
            inbox: Vec::new(),
            log: Vec::new(),
            read: 0,
            now: 0,
            is_measured: false,
            waiting: Vec::new(),
            admitted: 0,
            waited: 0,
            refused: 0,
            grants: 0,
            grant_time: Duration::ZERO,
        })
    }

    fn step(
        &mut self,
        size: &FleetSize,
        teams: &[TeamName],
        random: &mut SmallRng,
    ) -> Result<(), Box<dyn Error>> {
        self.now += 1;
        self.read_log()?;
        for (from, to, message) in std::mem::take(&mut self.inbox) {
            self.deliver(from, to, message)?;
        }
        self.retry_waiting();
        if self.now > WARM_UP_MS {
            let arrivals = size.nodes * REQUESTS_PER_NODE_S as usize;
            let extra = usize::from(random.random_range(0..1_000) < arrivals % 1_000);
            for _ in 0..arrivals / 1_000 + extra {
                let index = random.random_range(0..size.nodes);
                let team = &teams[random.random_range(0..teams.len())];
                self.request(index, team);
            }
        }
        for index in 0..self.nodes.len() {
            let now = ClockTime::from_ms(self.now);
            if self.nodes[index].next_poll() <= now {
                self.run(index, |node, actions| node.poll(now, actions))?;
            }
        }
        Ok(())
    }

    fn read_log(&mut self) -> Result<(), Box<dyn Error>> {
        let now = ClockTime::from_ms(self.now);
        while self
            .log
            .get(self.read)
            .is_some_and(|(at, _)| *at <= self.now)
        {
            let record = self.log[self.read].1.clone();
            let bytes = encoded_len(&record)?;
            for index in 0..self.nodes.len() {
                let start = Instant::now();
                self.nodes[index].receive_record(now, self.read as u64, &record);
                if self.is_measured {
                    self.costs[index].busy += start.elapsed();
                    self.costs[index].log_bytes += bytes;
                }
            }
            self.read += 1;
        }
        Ok(())
    }

    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        message: RateMessage,
    ) -> Result<(), Box<dyn Error>> {
        let now = ClockTime::from_ms(self.now);
        let sender = self.names[from].clone();
        if self.is_measured {
            self.costs[to].messages += 1;
            self.costs[to].bytes += encoded_len(&message)?;
        }
        let is_token_request = matches!(message, RateMessage::Request { .. });
        let start = Instant::now();
        self.run(to, |node, actions| {
            node.receive(now, &sender, message, actions);
        })?;
        if is_token_request && self.is_measured {
            self.grants += 1;
            self.grant_time += start.elapsed();
        }
        Ok(())
    }

    fn run(
        &mut self,
        index: usize,
        work: impl FnOnce(&mut TeamLimiter, &mut Vec<RateAction>),
    ) -> Result<(), Box<dyn Error>> {
        let mut actions = Vec::new();
        let start = Instant::now();
        work(&mut self.nodes[index], &mut actions);
        let busy = start.elapsed();
        if self.is_measured {
            self.costs[index].busy += busy;
        }
        for action in actions {
            match action {
                RateAction::Append(record) => self.log.push((self.now + LOG_DELAY_MS, record)),
                RateAction::Send(to, message) => {
                    if self.is_measured {
                        self.costs[index].messages += 1;
                        self.costs[index].bytes += encoded_len(&message)?;
                    }
                    self.inbox.push((index, self.indexes[&to], message));
                }
            }
        }
        Ok(())
    }

    fn request(&mut self, index: usize, team: &TeamName) {
        let start = Instant::now();
        let decision = self.nodes[index].admit(ClockTime::from_ms(self.now), team);
        if !self.is_measured {
            return;
        }
        self.costs[index].busy += start.elapsed();
        match decision {
            RateDecision::Admit => self.admitted += 1,
            RateDecision::Wait { .. } => self.waited += 1,
            RateDecision::Refuse { .. } => self.refused += 1,
        }
        if let RateDecision::Wait { wait_ms } = decision {
            self.waiting.push((self.now + wait_ms, index, team.clone()));
        }
    }

    fn retry_waiting(&mut self) {
        let now = ClockTime::from_ms(self.now);
        for (deadline, index, team) in std::mem::take(&mut self.waiting) {
            match self.nodes[index].admit_again(now, &team) {
                RateDecision::Admit => {}
                RateDecision::Wait { .. } if deadline > self.now => {
                    self.waiting.push((deadline, index, team));
                }
                _ => self.refused += 1,
            }
        }
    }

    #[allow(clippy::cast_precision_loss, reason = "the figures are only printed")]
    fn report(&self, size: &FleetSize, resident: u64) {
        let seconds = (MEASURED_MS - 500) as f64 / 1_000.0;
        let count = self.costs.len() as f64;
        let mean = |pick: fn(&NodeCost) -> f64| self.costs.iter().map(pick).sum::<f64>() / count;
        let max = |pick: fn(&NodeCost) -> f64| self.costs.iter().map(pick).fold(0.0, f64::max);
        let messages = |cost: &NodeCost| cost.messages as f64;
        let bytes = |cost: &NodeCost| cost.bytes as f64;
        let busy = |cost: &NodeCost| cost.busy.as_secs_f64() * 100.0;
        let total = (self.admitted + self.waited + self.refused) as f64;
        let recent = self.log.iter().filter(|(at, _)| *at > WARM_UP_MS + 500);
        println!(
            "{} {} {} {} | {:.0} {:.0} | {:.0} {:.0} | {:.0} | {:.2} {:.2} | {:.1} | {:.1} | {} | {:.1} {:.3}",
            size.nodes,
            size.centres,
            size.teams,
            size.slots,
            mean(messages) / seconds,
            mean(bytes) / seconds,
            max(messages) / seconds,
            max(bytes) / seconds,
            mean(|cost| cost.log_bytes as f64) / seconds,
            mean(busy) / seconds,
            max(busy) / seconds,
            self.grant_time.as_secs_f64() * 1e6 / self.grants.max(1) as f64,
            recent.count() as f64 / seconds,
            resident / 1_024 / size.nodes as u64,
            self.waited as f64 * 100.0 / total,
            self.refused as f64 * 100.0 / total,
        );
    }
}

fn encoded_len(value: &impl serde::Serialize) -> Result<u64, Box<dyn Error>> {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard())?;
    Ok(bytes.len() as u64)
}

/// Returns the resident memory of this process.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .unwrap_or("0")
        .parse::<u64>()?;
    Ok(pages * 4_096)
}
