//! Seeded partitions: links blocked in one direction, long partitions of data centres, and paused
//! nodes.

use std::collections::BTreeSet;

use clock::ClockTime;
use lentilshift_streams::PlanSettings;
use model::CentreName;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::fleet::{RETENTION_MS, SimFleet, SimNode, TICK_MS, log_location};

/// The mean time between two faults, in milliseconds.
const MEAN_FAULT_INTERVAL_MS: u64 = 4_000;

/// The minimum time between two pauses, in milliseconds. While all nodes are paused, records that
/// no node has read may be removed by the log's retention.
const MIN_RUNNING_MS: u64 = 4_000;

/// A tree in which one of a data centre's two gateway nodes can be disconnected alone.
pub const PAIR_PLAN: PlanSettings = PlanSettings {
    gateways: 2,
    fan_out: 2,
    reading_centres: usize::MAX,
};

type LinkCut = (CentreName, CentreName);

/// Starts and ends partitions, with its own random number generator.
pub struct PartitionPlan {
    rng: SmallRng,
    active: Vec<(ClockTime, Vec<LinkCut>)>,
    paused_until: ClockTime,
}

impl PartitionPlan {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            active: Vec::new(),
            paused_until: ClockTime::ZERO,
        }
    }

    pub fn step(&mut self, fleet: &mut SimFleet) {
        self.active.retain(|(until, _)| *until > fleet.now);
        let ratio = u32::try_from(MEAN_FAULT_INTERVAL_MS / TICK_MS).expect("a short gap");
        if self.rng.random_ratio(1, ratio) {
            self.start(fleet);
        }
        fleet.blocked_links = self.blocked_links();
        while !has_readers(fleet) && self.active.pop().is_some() {
            fleet.blocked_links = self.blocked_links();
        }
    }

    pub fn heal(&mut self, fleet: &mut SimFleet) {
        self.active.clear();
        fleet.blocked_links.clear();
        for node in &mut fleet.nodes {
            node.paused_until = node.paused_until.min(fleet.now);
        }
    }

    fn blocked_links(&self) -> BTreeSet<LinkCut> {
        let blocked_links = self
            .active
            .iter()
            .flat_map(|(_, blocked_links)| blocked_links);
        blocked_links.cloned().collect()
    }

    fn start(&mut self, fleet: &mut SimFleet) {
        let mut locations = BTreeSet::from([log_location()]);
        locations.extend(fleet.nodes.iter().map(|node| node.centre.clone()));
        let mut locations: Vec<CentreName> = locations.into_iter().collect();
        let last = locations.len() - 1;
        locations.swap(0, self.rng.random_range(0..=last));
        locations.swap(1, self.rng.random_range(1..=last));
        let blocked_links = match self.rng.random_range(0..6) {
            0 | 1 => vec![(locations[0].clone(), locations[1].clone())],
            2 => two_way_blocked_links(&locations[..1], &locations[1..]),
            3 => two_way_blocked_links(&locations[..2], &locations[2..]),
            kind => return self.pause(fleet, &locations[0], kind == 4),
        };
        let span = self.rng.random_range(1_000..3 * RETENTION_MS);
        self.active.push((fleet.now.plus_ms(span), blocked_links));
    }

    /// Pauses one node, or all nodes of a data centre.
    fn pause(&mut self, fleet: &mut SimFleet, centre: &CentreName, is_single: bool) {
        if fleet.now < self.paused_until.plus_ms(MIN_RUNNING_MS) {
            return;
        }
        let until = fleet.now.plus_ms(self.rng.random_range(500..12_000));
        self.paused_until = until;
        let index = self.rng.random_range(0..fleet.nodes.len());
        for (place, node) in fleet.nodes.iter_mut().enumerate() {
            let is_chosen = if is_single {
                place == index
            } else {
                node.centre == *centre
            };
            if is_chosen {
                node.paused_until = until;
            }
        }
    }
}

fn two_way_blocked_links(left: &[CentreName], right: &[CentreName]) -> Vec<LinkCut> {
    let pairs = left
        .iter()
        .flat_map(|one| right.iter().map(move |other| (one, other)));
    pairs
        .flat_map(|(one, other)| [(one.clone(), other.clone()), (other.clone(), one.clone())])
        .collect()
}

/// Returns whether some data centre is linked to the log with at most one of its nodes disconnected
/// from the log. Paused nodes count as connected.
pub fn has_readers(fleet: &SimFleet) -> bool {
    let is_read = |place: &CentreName| {
        let mut nodes = fleet.nodes.iter().filter(|node| node.centre == *place);
        let is_cut = |node: &SimNode| node.is_cut_from_log;
        fleet.is_linked(place, &log_location()) && !(nodes.any(is_cut) && nodes.any(is_cut))
    };
    fleet.nodes.iter().any(|node| is_read(&node.centre))
}

/// Returns whether a node is healthy and its data centre is linked to the log.
pub fn is_at_log(fleet: &SimFleet, node: &SimNode) -> bool {
    node.is_healthy(fleet.now) && fleet.is_linked(&node.centre, &log_location())
}

/// Checks that each node has a text in force at most `within_ms` after it took effect and the node
/// was linked to the log.
pub fn check_in_force(fleet: &SimFleet, within_ms: u64) -> Result<(), String> {
    for node in &fleet.nodes {
        let mut due = fleet.in_force_at.iter().rev();
        let is_due = |time: ClockTime| fleet.now.since_ms(time.max(node.linked_since)) >= within_ms;
        let due = due.find(|(time, _)| is_due(*time));
        let version = node.feed.fold().in_force().version.get();
        if due.is_some_and(|(_, due)| *due > version) {
            return Err(format!(
                "{} has {version} in force at {}, {due:?} ready={} since={:?} blocked_links={:?}",
                node.name,
                fleet.now,
                node.feed.is_ready(),
                node.linked_since,
                fleet.blocked_links
            ));
        }
    }
    Ok(())
}
