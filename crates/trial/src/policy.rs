use graph::AdmissionSettings;
use limit::QueueSettings;
use retry::ResendSettings;
use route::{RoomRule, RouteSettings};

/// The kind of node to simulate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// Round-robin routing, an unbounded queue, three retries per hop and no deadlines.
    Naive,
    /// Round-robin routing, an adaptive limit per hop with random shedding, and one retry per hop.
    Independent,
    /// The decision code of lentilshift.
    Policy,
}

/// How the VM of a call is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmPlacement {
    /// By the router of the production nodes.
    Router,
    /// By turns, over all VMs that a node knows.
    RoundRobin,
    /// One of the VMs with the fewest requests of the node's own in progress.
    LeastRequests,
}

/// The settings shared by all nodes of a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodePolicy {
    /// The kind of node.
    pub kind: NodeKind,
    /// How VMs are chosen.
    pub placement: VmPlacement,
    /// The settings of the queues.
    pub queue: QueueSettings,
    /// The settings of the routers.
    pub route: RouteSettings,
    /// Whether the entry node refuses requests that a service further down the chain would shed.
    pub checks_chain: bool,
    /// The settings of the admission check for the whole chain.
    pub admission: AdmissionSettings,
    /// Whether a cancellation by the caller is passed down the chain.
    pub cancels: bool,
    /// Whether refused callers wait for the retry delay that they were given.
    pub callers_back_off: bool,
    /// The retries that one attempt of a caller may use over the whole chain.
    pub chain_retries: u32,
}

impl NodePolicy {
    /// Creates the default settings for a kind of node.
    #[must_use]
    pub fn new(kind: NodeKind) -> Self {
        Self {
            kind,
            placement: VmPlacement::Router,
            queue: QueueSettings::default(),
            route: RouteSettings::default(),
            checks_chain: true,
            admission: AdmissionSettings::default(),
            cancels: true,
            callers_back_off: false,
            chain_retries: ResendSettings::default().retries,
        }
    }

    /// Returns the retries that each hop may make independently of the others.
    pub(crate) const fn hop_retries(&self) -> u32 {
        match self.kind {
            NodeKind::Naive => 3,
            NodeKind::Independent => 1,
            NodeKind::Policy => u32::MAX,
        }
    }

    /// Returns the ways of choosing VMs that are compared, with their names.
    #[must_use]
    pub fn placements() -> Vec<(&'static str, Self)> {
        let room = Self::new(NodeKind::Policy);
        let mut loads = room;
        loads.route.room.rule = RoomRule::Never;
        let placed = |placement| Self { placement, ..loads };
        vec![
            ("room", room),
            ("loads", loads),
            ("least requests", placed(VmPlacement::LeastRequests)),
            ("round robin", placed(VmPlacement::RoundRobin)),
        ]
    }

    /// Returns copies of the choice by room that each have one part changed, with their names.
    #[must_use]
    pub fn room_ablations() -> Vec<(&'static str, Self)> {
        let full = Self::new(NodeKind::Policy);
        let mut list = Vec::new();
        let mut add = |name, change: fn(&mut Self)| {
            let mut policy = full;
            change(&mut policy);
            list.push((name, policy));
        };
        add("no moves", |p| p.route.room.moves_calls = false);
        add("no news", |p| p.route.room.near_news = 0);
        add("two compared", |p| p.route.room.compared_vms = 2);
        add("all compared", |p| p.route.room.compared_vms = usize::MAX);
        add("spill from 0.9", |p| p.route.room.small_spill_load = 0.9);
        list
    }

    /// Returns the whole policy, then variants that each have one feature changed, with their names.
    #[must_use]
    pub fn ablations() -> Vec<(&'static str, Self)> {
        let full = Self::new(NodeKind::Policy);
        let mut list = vec![("whole policy", full)];
        let mut add = |name, change: fn(&mut Self)| {
            let mut policy = full;
            change(&mut policy);
            list.push((name, policy));
        };
        add("no adaptive limit", |p| p.queue.limit.is_adaptive = false);
        add("no cuts", |p| p.queue.shed.is_enabled = false);
        add("no team shares in cuts", |p| {
            p.queue.shed.shares_by_team = false;
        });
        add("no repayment between teams", |p| {
            p.queue.shed.compensates_teams = false;
        });
        add("no turns of teams in queue", |p| {
            p.queue.shares_by_team = false;
        });
        add("no classes in queue", |p| p.queue.orders_by_class = false);
        add("no deadline check", |p| p.queue.checks_deadlines = false);
        add("begun work not favoured", |p| {
            p.queue.prioritizes_nested = false;
        });
        add("no rank order in queue", |p| p.queue.orders_by_rank = false);
        add("no chain check at entry", |p| p.checks_chain = false);
        add("no cancellation", |p| p.cancels = false);
        add("callers wait as told", |p| p.callers_back_off = true);
        add("no retries", |p| p.chain_retries = 0);
        add("random VM", |p| p.route.compares_two = false);
        add("no load reports", |p| p.route.uses_reports = false);
        add("no local preference", |p| p.route.prefers_local = false);
        add("no ejection", |p| p.route.ejects = false);
        list
    }
}
