use std::collections::BTreeMap;

use clock::ClockTime;
use graph::{CallTarget, ChainAdmission};
use limit::ShedThresholds;
use model::{CentreName, TeamName, VmName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use retry::{RatioSettings, RetryRatio};
use route::{LoadSample, RouteTarget, VmRouter};

use crate::backend::Backend;
use crate::call::{Call, ClientAttempt, ClientRequest, RefusalRecord};
use crate::event::{EventQueue, SimulationEvent};
use crate::firm::Firm;
use crate::ingress::Ingress;
use crate::placement_score::{PlacementLog, PlacementScore};
use crate::policy::NodePolicy;
use crate::score::TrialScore;
use crate::simulation_placement::HostState;
use crate::workload::{LONG_OBSERVE_AFTER_MS, OBSERVE_AFTER_MS, WARM_UP_MS, Workload};

/// The data centres of a simulated company.
pub(crate) const CENTRE_NAMES: [&str; 3] = ["north", "east", "west"];
/// The one-way latency between two VMs of one data centre, in microseconds.
const SAME_CENTRE_US: u64 = 250;
/// The one-way latency within one VM, in microseconds.
const SAME_VM_US: u64 = 30;
/// The one-way latency between a caller and a VM, in microseconds.
pub(crate) const CLIENT_DELAY_US: u64 = 3_000;
/// The interval of the periodic tasks of nodes, in microseconds.
pub(crate) const TICK_US: u64 = 20_000;

/// The retry ratio of a node for each service, with the same values as in production nodes.
const RATIO_SETTINGS: RatioSettings = RatioSettings {
    per_thousand: 100,
    max_saved: 200,
};

/// A VM with a backend server and the node next to it.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedVm {
    pub(crate) name: VmName,
    pub(crate) service: usize,
    pub(crate) centre: usize,
    pub(crate) slots: u32,
    /// The slots that the backend server announces, which may differ from the actual ones.
    pub(crate) announced_slots: u32,
    pub(crate) backend: Backend,
    pub(crate) host: HostState,
    pub(crate) ingress: Ingress,
    pub(crate) admission: ChainAdmission,
    /// The routers of the node, by service.
    pub(crate) routers: Vec<VmRouter>,
    pub(crate) retry_ratios: Vec<RetryRatio>,
    /// The round-robin counters of a baseline node, by service.
    pub(crate) round_robin: Vec<usize>,
    /// The VMs to which the node has opened a connection.
    pub(crate) linked_vms: Vec<bool>,
    pub(crate) is_alive: bool,
    /// Whether other nodes and callers still send to the VM.
    pub(crate) is_known: bool,
    /// The load that the node reports instead of the actual one.
    pub(crate) false_sample: Option<LoadSample>,
}

/// A discrete-event simulation of one company under a workload, with nodes of one kind.
#[derive(Debug)]
pub struct Simulation {
    pub(crate) firm: Firm,
    pub(crate) workload: Workload,
    pub(crate) policy: NodePolicy,
    pub(crate) now_us: u64,
    pub(crate) events: EventQueue,
    /// Draws the arrivals; separate from `random` so that all kinds of node get the same ones.
    pub(crate) arrival_random: SmallRng,
    pub(crate) random: SmallRng,
    /// Draws the changes of hosts, so that all ways of choosing VMs get the same ones.
    pub(crate) host_random: SmallRng,
    pub(crate) placement: PlacementLog,
    pub(crate) vms: Vec<SimulatedVm>,
    pub(crate) vm_indices: BTreeMap<VmName, usize>,
    pub(crate) team_names: Vec<TeamName>,
    /// The services that each call uses, itself or through nested calls.
    pub(crate) plan_services: Vec<Vec<usize>>,
    pub(crate) targets: Vec<CallTarget>,
    /// The service that limits the capacity of the company.
    pub(crate) bottleneck: usize,
    /// The requests per second that the bottleneck service can serve.
    pub(crate) capacity_per_s: f64,
    pub(crate) is_disturbed: bool,
    pub(crate) requests: Vec<ClientRequest>,
    pub(crate) attempts: Vec<ClientAttempt>,
    pub(crate) calls: Vec<Call>,
    pub(crate) refusals: Vec<RefusalRecord>,
    /// The time of the last start of a call, by service and importance.
    pub(crate) last_start_us: Vec<[u64; 4]>,
}

impl Simulation {
    /// Creates a simulation at time 0.
    #[must_use]
    pub fn new(firm: Firm, workload: Workload, policy: NodePolicy, seed: u64) -> Self {
        let speeds = vec![1.0; firm.services.len()];
        let plan_services = (0..firm.calls.len())
            .map(|call| {
                (0..firm.services.len())
                    .filter(|service| firm.uses_service(call, *service))
                    .collect()
            })
            .collect();
        let targets = (0..firm.calls.len())
            .map(|call| firm.target(call))
            .collect();
        let (bottleneck, capacity_per_s) = firm.bottleneck(&slots_of(&firm, workload), &speeds);
        let team_names = (0..firm.teams.len())
            .map(|team| TeamName::new(format!("team-{team}")))
            .collect();
        let mut simulation = Self {
            last_start_us: vec![[0; 4]; firm.services.len()],
            firm,
            workload,
            policy,
            now_us: 0,
            events: EventQueue::default(),
            arrival_random: SmallRng::seed_from_u64(seed),
            random: SmallRng::seed_from_u64(seed ^ 0x5EED),
            host_random: SmallRng::seed_from_u64(seed ^ 0x0057),
            placement: PlacementLog::default(),
            vms: Vec::new(),
            vm_indices: BTreeMap::new(),
            team_names,
            plan_services,
            targets,
            bottleneck,
            capacity_per_s,
            is_disturbed: false,
            requests: Vec::new(),
            attempts: Vec::new(),
            calls: Vec::new(),
            refusals: Vec::new(),
        };
        simulation.add_vms(seed);
        simulation
    }

    /// Runs the workload to its end and returns the measurements.
    #[must_use]
    pub fn run(mut self) -> TrialScore {
        self.run_to_end();
        TrialScore::of(&self)
    }

    /// Runs the workload to its end and returns the measurements of the choice of VMs.
    #[must_use]
    pub fn run_placement(mut self) -> PlacementScore {
        self.run_to_end();
        PlacementScore::of(self.placement)
    }

    fn run_to_end(&mut self) {
        let disturbance_end_ms = WARM_UP_MS + self.workload.disturbance_ms();
        let after_ms = if self.has_uneven_hosts() {
            0
        } else if self.policy.callers_back_off {
            LONG_OBSERVE_AFTER_MS
        } else {
            OBSERVE_AFTER_MS
        };
        let end_us = (disturbance_end_ms + after_ms) * 1_000;
        self.events.push(0, SimulationEvent::NextArrival);
        self.events.push(TICK_US, SimulationEvent::Tick);
        self.events
            .push(WARM_UP_MS * 1_000, SimulationEvent::DisturbanceStarts);
        self.events
            .push(disturbance_end_ms * 1_000, SimulationEvent::DisturbanceEnds);
        while let Some((at_us, event)) = self.events.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::NextArrival => self.next_arrival(),
            SimulationEvent::Resend(request) => self.send_attempt(request),
            SimulationEvent::AttemptArrives(client_attempt) => self.handle_at_entry(client_attempt),
            SimulationEvent::ClientAnswered(client_attempt, is_served, is_refused) => {
                self.client_answered(client_attempt, is_served, is_refused);
            }
            SimulationEvent::ClientTimeout(client_attempt) => self.client_timeout(client_attempt),
            SimulationEvent::CallRetried(call) => self.retry_call(call),
            SimulationEvent::CallArrives(call) => self.call_arrives(call),
            SimulationEvent::CancelArrives(call) => self.cancel_call(call),
            SimulationEvent::WorkEnds(vm, generation) => self.work_ends(vm, generation),
            SimulationEvent::AnswerArrives(call, answer) => self.answer_arrives(call, &answer),
            SimulationEvent::Tick => self.tick(),
            SimulationEvent::DisturbanceStarts => self.start_disturbance(),
            SimulationEvent::DisturbanceEnds => self.end_disturbance(),
            SimulationEvent::VmsRemoved => self.remove_dead_vms(),
        }
    }

    fn add_vms(&mut self, seed: u64) {
        let services = self.firm.services.clone();
        let count: usize = services.iter().map(|service| service.instances).sum();
        for (service, plan) in services.iter().enumerate() {
            for instance in 0..plan.instances {
                let index = self.vms.len();
                let is_false_reporter =
                    self.workload == Workload::FalseReports && index.is_multiple_of(3);
                let slots = self.workload.vm_slots(instance, plan.slots);
                let announced_slots = if is_false_reporter { slots * 3 } else { slots };
                let vm = SimulatedVm {
                    name: VmName::new(format!("{}-{instance}", plan.name)),
                    service,
                    centre: instance % CENTRE_NAMES.len(),
                    slots,
                    announced_slots,
                    backend: Backend::new(slots),
                    host: HostState::default(),
                    ingress: Ingress::new(&self.policy, announced_slots, seed ^ index as u64),
                    admission: ChainAdmission::new(self.policy.admission),
                    routers: self.new_routers(instance % CENTRE_NAMES.len()),
                    retry_ratios: vec![RetryRatio::new(RATIO_SETTINGS); services.len()],
                    round_robin: vec![index; services.len()],
                    linked_vms: vec![false; count],
                    is_alive: true,
                    is_known: true,
                    false_sample: None,
                };
                self.vm_indices.insert(vm.name.clone(), index);
                self.vms.push(vm);
            }
        }
        if self.has_uneven_hosts() {
            self.set_up_hosts();
            return;
        }
        for index in 0..self.vms.len() {
            self.add_to_routers(index);
        }
    }

    /// Adds a VM to the router of one node.
    pub(crate) fn add_to_router(&mut self, node: usize, index: usize) {
        let vm = &self.vms[index];
        let (name, service) = (vm.name.clone(), vm.service);
        let target = RouteTarget {
            centre: CentreName::new(CENTRE_NAMES[vm.centre]),
            slots: vm.announced_slots,
        };
        self.vms[node].routers[service].upsert(name, target);
    }

    fn new_routers(&self, centre: usize) -> Vec<VmRouter> {
        let centre = CentreName::new(CENTRE_NAMES[centre]);
        self.firm
            .services
            .iter()
            .map(|_| VmRouter::new(self.policy.route, centre.clone()))
            .collect()
    }

    /// Adds a VM to the routers of all nodes.
    pub(crate) fn add_to_routers(&mut self, index: usize) {
        let vm = &self.vms[index];
        let (name, service) = (vm.name.clone(), vm.service);
        let target = RouteTarget {
            centre: CentreName::new(CENTRE_NAMES[vm.centre]),
            slots: vm.announced_slots,
        };
        for other in &mut self.vms {
            other.routers[service].upsert(name.clone(), target.clone());
        }
    }

    pub(crate) const fn now(&self) -> ClockTime {
        ClockTime::from_ms(self.now_us / 1_000)
    }

    /// Returns the one-way latency between two VMs, and the time to connect on first use.
    pub(crate) fn send_delay_us(&mut self, from: usize, to: usize) -> u64 {
        if from == to {
            return SAME_VM_US;
        }
        let connect_us = if self.vms[from].linked_vms[to] {
            0
        } else {
            1_000
        };
        self.vms[from].linked_vms[to] = true;
        connect_us + self.network_delay_us(from, to)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "distances are small and positive"
    )]
    pub(crate) fn network_delay_us(&self, from: usize, to: usize) -> u64 {
        if from == to {
            SAME_VM_US
        } else if self.vms[from].centre == self.vms[to].centre {
            SAME_CENTRE_US
        } else {
            (self.firm.between_centres_ms * 1_000.0) as u64
        }
    }

    /// Draws an amount of work from an Erlang distribution with shape 2 and the given mean, in
    /// milliseconds.
    pub(crate) fn sample_work_ms(&mut self, mean_ms: f64) -> f64 {
        let first: f64 = 1.0 - self.random.random::<f64>();
        let second: f64 = 1.0 - self.random.random::<f64>();
        -(first * second).ln() * mean_ms / 2.0
    }

    /// Returns the load and the shed thresholds that the node of a VM currently reports.
    pub(crate) fn report(&self, vm: usize) -> Option<(LoadSample, ShedThresholds)> {
        let vm = &self.vms[vm];
        let (mut sample, thresholds) = vm.ingress.report(self.now())?;
        sample.slowness = vm.host.slow_percent;
        Some((vm.false_sample.unwrap_or(sample), thresholds))
    }

    /// Returns whether every service used by a call has free slots and empty queues.
    pub(crate) fn has_capacity(&self, plan: usize) -> bool {
        self.plan_services[plan].iter().all(|service| {
            let vms = self
                .vms
                .iter()
                .filter(|vm| vm.service == *service && vm.is_alive);
            let occupied: u32 = vms.clone().map(|vm| vm.backend.occupied()).sum();
            let slots: u32 = vms.clone().map(|vm| vm.slots).sum();
            let queued: usize = vms.map(|vm| vm.ingress.queued(self.now())).sum();
            f64::from(occupied) < 0.95 * f64::from(slots) && queued == 0
        })
    }
}

/// Returns the slots of each service when all VMs are running.
fn slots_of(firm: &Firm, workload: Workload) -> Vec<f64> {
    firm.services
        .iter()
        .map(|service| {
            let vms = 0..service.instances;
            let slots = vms.map(|vm| workload.vm_slots(vm, service.slots));
            f64::from(slots.sum::<u32>())
        })
        .collect()
}
