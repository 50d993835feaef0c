//! Seeded partitions: one-way cuts, data centres and regions parted for long, and paused nodes.

use std::collections::BTreeSet;

use clock::ClockTime;
use lentilshift_streams::PlanSettings;
use model::CentreName;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::fleet::{RETENTION_MS, SimFleet, SimNode, TICK_MS, log_place};

/// The mean time between two faults.
const MEAN_GAP_MS: u64 = 4_000;

/// The time between two pauses. Records that no node read can't outlive the log's retention.
const MIN_AWAKE_MS: u64 = 4_000;

/// A tree in which a node of a data centre may be cut off by itself.
pub const PAIR_PLAN: PlanSettings = PlanSettings {
    gateways: 2,
    fan_out: 2,
    reading_centres: usize::MAX,
};

type PlaceCut = (CentreName, CentreName);

/// Starts and ends partitions, with a generator of its own.
pub struct PartitionPlan {
    rng: SmallRng,
    active: Vec<(ClockTime, Vec<PlaceCut>)>,
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
        let ratio = u32::try_from(MEAN_GAP_MS / TICK_MS).expect("a short gap");
        if self.rng.random_ratio(1, ratio) {
            self.start(fleet);
        }
        fleet.cuts = self.cuts();
        while !has_readers(fleet) && self.active.pop().is_some() {
            fleet.cuts = self.cuts();
        }
    }

    pub fn heal(&mut self, fleet: &mut SimFleet) {
        self.active.clear();
        fleet.cuts.clear();
        for node in &mut fleet.nodes {
            node.paused_until = node.paused_until.min(fleet.now);
        }
    }

    fn cuts(&self) -> BTreeSet<PlaceCut> {
        let cuts = self.active.iter().flat_map(|(_, cuts)| cuts);
        cuts.cloned().collect()
    }

    fn start(&mut self, fleet: &mut SimFleet) {
        let mut places = BTreeSet::from([log_place()]);
        places.extend(fleet.nodes.iter().map(|node| node.centre.clone()));
        let mut places: Vec<CentreName> = places.into_iter().collect();
        let last = places.len() - 1;
        places.swap(0, self.rng.random_range(0..=last));
        places.swap(1, self.rng.random_range(1..=last));
        let cuts = match self.rng.random_range(0..6) {
            0 | 1 => vec![(places[0].clone(), places[1].clone())],
            2 => parted(&places[..1], &places[1..]),
            3 => parted(&places[..2], &places[2..]),
            kind => return self.pause(fleet, &places[0], kind == 4),
        };
        let span = self.rng.random_range(1_000..3 * RETENTION_MS);
        self.active.push((fleet.now.plus_ms(span), cuts));
    }

    /// Pauses one node, or all of a data centre.
    fn pause(&mut self, fleet: &mut SimFleet, centre: &CentreName, is_single: bool) {
        if fleet.now < self.paused_until.plus_ms(MIN_AWAKE_MS) {
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

fn parted(left: &[CentreName], right: &[CentreName]) -> Vec<PlaceCut> {
    let pairs = left
        .iter()
        .flat_map(|one| right.iter().map(move |other| (one, other)));
    pairs
        .flat_map(|(one, other)| [(one.clone(), other.clone()), (other.clone(), one.clone())])
        .collect()
}

/// Returns whether all nodes of some data centre but one can read the log, paused or not.
pub fn has_readers(fleet: &SimFleet) -> bool {
    let is_read = |place: &CentreName| {
        let mut nodes = fleet.nodes.iter().filter(|node| node.centre == *place);
        let is_cut = |node: &SimNode| node.is_cut_from_log;
        fleet.is_linked(place, &log_place()) && !(nodes.any(is_cut) && nodes.any(is_cut))
    };
    fleet.nodes.iter().any(|node| is_read(&node.centre))
}

/// Returns whether a node serves and is linked to the log itfleet.
pub fn is_at_log(fleet: &SimFleet, node: &SimNode) -> bool {
    node.is_well(fleet.now) && fleet.is_linked(&node.centre, &log_place())
}

/// Checks that a text is in force after a time at all nodes linked to the log since.
pub fn check_in_force(fleet: &SimFleet, within_ms: u64) -> Result<(), String> {
    for node in &fleet.nodes {
        let mut due = fleet.in_force_at.iter().rev();
        let is_due = |time: ClockTime| fleet.now.since_ms(time.max(node.linked_since)) >= within_ms;
        let due = due.find(|(time, _)| is_due(*time));
        let version = node.feed.fold().in_force().version.get();
        if due.is_some_and(|(_, due)| *due > version) {
            return Err(format!(
                "{} has {version} in force at {}, {due:?} ready={} since={:?} cuts={:?}",
                node.name,
                fleet.now,
                node.feed.is_ready(),
                node.linked_since,
                fleet.cuts
            ));
        }
    }
    Ok(())
}
