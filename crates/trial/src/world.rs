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
use crate::call::{Call, ClientRequest, ClientTry, RefusalNote};
use crate::event::{EventQueue, TrialEvent};
use crate::firm::Firm;
use crate::ingress::Ingress;
use crate::policy::NodePolicy;
use crate::score::TrialScore;
use crate::workload::{AFTER_MS, LONG_AFTER_MS, WARM_MS, Workload};

/// The data centres of a firm.
const CENTRES: [&str; 3] = ["north", "east", "west"];
/// The time between two VMs of one data centre, one way, in microseconds.
const NEAR_US: u64 = 250;
/// The time within one VM, in microseconds.
const LOCAL_US: u64 = 30;
/// The time between a caller and a VM, one way, in microseconds.
pub(crate) const CLIENT_US: u64 = 3_000;
/// The time between two rounds of the nodes' periodic work, in microseconds.
pub(crate) const TICK_US: u64 = 20_000;

/// The retries of a node to a service, as a node has them.
const RATIO_SETTINGS: RatioSettings = RatioSettings {
    per_thousand: 100,
    max_saved: 200,
};

/// One VM: a backend server and the node beside it.
#[derive(Clone, Debug)]
pub(crate) struct TrialVm {
    pub(crate) name: VmName,
    pub(crate) service: usize,
    pub(crate) centre: usize,
    pub(crate) slots: u32,
    pub(crate) announced: u32,
    pub(crate) backend: Backend,
    pub(crate) ingress: Ingress,
    pub(crate) admission: ChainAdmission,
    pub(crate) routers: Vec<VmRouter>,
    pub(crate) ratios: Vec<RetryRatio>,
    pub(crate) turns: Vec<usize>,
    pub(crate) linked: Vec<bool>,
    pub(crate) is_alive: bool,
    pub(crate) is_known: bool,
    pub(crate) false_sample: Option<LoadSample>,
}

/// A firm under a workload, with nodes of one kind, in virtual time.
#[derive(Debug)]
pub struct TrialWorld {
    pub(crate) firm: Firm,
    pub(crate) workload: Workload,
    pub(crate) policy: NodePolicy,
    pub(crate) now_us: u64,
    pub(crate) events: EventQueue,
    pub(crate) arrivals: SmallRng,
    pub(crate) random: SmallRng,
    pub(crate) vms: Vec<TrialVm>,
    pub(crate) indices: BTreeMap<VmName, usize>,
    pub(crate) team_names: Vec<TeamName>,
    pub(crate) tree_services: Vec<Vec<usize>>,
    pub(crate) targets: Vec<CallTarget>,
    pub(crate) scarcest: usize,
    pub(crate) base_rate: f64,
    pub(crate) is_strained: bool,
    pub(crate) requests: Vec<ClientRequest>,
    pub(crate) tries: Vec<ClientTry>,
    pub(crate) calls: Vec<Call>,
    pub(crate) notes: Vec<RefusalNote>,
    pub(crate) last_starts: Vec<[u64; 4]>,
}

impl TrialWorld {
    /// Creates a world in which nothing has happened yet.
    #[must_use]
    pub fn new(firm: Firm, workload: Workload, policy: NodePolicy, seed: u64) -> Self {
        let speeds = vec![1.0; firm.services.len()];
        let tree_services = (0..firm.calls.len())
            .map(|call| {
                (0..firm.services.len())
                    .filter(|service| firm.touches(call, *service))
                    .collect()
            })
            .collect();
        let targets = (0..firm.calls.len())
            .map(|call| firm.target(call))
            .collect();
        let (scarcest, base_rate) = firm.scarcest(&slots_of(&firm, workload), &speeds);
        let team_names = (0..firm.teams.len())
            .map(|team| TeamName::new(format!("team-{team}")))
            .collect();
        let mut world = Self {
            last_starts: vec![[0; 4]; firm.services.len()],
            firm,
            workload,
            policy,
            now_us: 0,
            events: EventQueue::default(),
            arrivals: SmallRng::seed_from_u64(seed),
            random: SmallRng::seed_from_u64(seed ^ 0x5EED),
            vms: Vec::new(),
            indices: BTreeMap::new(),
            team_names,
            tree_services,
            targets,
            scarcest,
            base_rate,
            is_strained: false,
            requests: Vec::new(),
            tries: Vec::new(),
            calls: Vec::new(),
            notes: Vec::new(),
        };
        world.add_vms(seed);
        world
    }

    /// Runs the workload to its end and returns what the callers got.
    #[must_use]
    pub fn run(mut self) -> TrialScore {
        let strain_end_ms = WARM_MS + self.workload.strain_ms();
        let after_ms = if self.policy.callers_wait {
            LONG_AFTER_MS
        } else {
            AFTER_MS
        };
        let end_us = (strain_end_ms + after_ms) * 1_000;
        self.events.push(0, TrialEvent::NextArrival);
        self.events.push(TICK_US, TrialEvent::Tick);
        self.events.push(WARM_MS * 1_000, TrialEvent::StrainStarts);
        self.events
            .push(strain_end_ms * 1_000, TrialEvent::StrainEnds);
        while let Some((at_us, event)) = self.events.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        TrialScore::of(&self)
    }

    fn handle(&mut self, event: TrialEvent) {
        match event {
            TrialEvent::NextArrival => self.next_arrival(),
            TrialEvent::Resend(request) => self.send_try(request),
            TrialEvent::EntryArrives(client_try) => self.enter(client_try),
            TrialEvent::ClientAnswered(client_try, is_good, is_refused) => {
                self.client_answered(client_try, is_good, is_refused);
            }
            TrialEvent::ClientTimeout(client_try) => self.client_timeout(client_try),
            TrialEvent::CallRetried(call) => self.retry_call(call),
            TrialEvent::CallArrives(call) => self.call_arrives(call),
            TrialEvent::CancelArrives(call) => self.cancel_call(call),
            TrialEvent::WorkEnds(vm, generation) => self.work_ends(vm, generation),
            TrialEvent::AnswerArrives(call, answer) => self.answer_arrives(call, &answer),
            TrialEvent::Tick => self.tick(),
            TrialEvent::StrainStarts => self.start_strain(),
            TrialEvent::StrainEnds => self.end_strain(),
            TrialEvent::VmsForgotten => self.forget_vms(),
        }
    }

    fn add_vms(&mut self, seed: u64) {
        let services = self.firm.services.clone();
        let count: usize = services.iter().map(|service| service.instances).sum();
        for (service, plan) in services.iter().enumerate() {
            for instance in 0..plan.instances {
                let index = self.vms.len();
                let lies = self.workload == Workload::FalseReports && index.is_multiple_of(3);
                let slots = self.workload.vm_slots(instance, plan.slots);
                let announced = if lies { slots * 3 } else { slots };
                let vm = TrialVm {
                    name: VmName::new(format!("{}-{instance}", plan.name)),
                    service,
                    centre: instance % CENTRES.len(),
                    slots,
                    announced,
                    backend: Backend::new(slots),
                    ingress: Ingress::new(&self.policy, announced, seed ^ index as u64),
                    admission: ChainAdmission::new(self.policy.admission),
                    routers: self.new_routers(instance % CENTRES.len()),
                    ratios: vec![RetryRatio::new(RATIO_SETTINGS); services.len()],
                    turns: vec![index; services.len()],
                    linked: vec![false; count],
                    is_alive: true,
                    is_known: true,
                    false_sample: None,
                };
                self.indices.insert(vm.name.clone(), index);
                self.vms.push(vm);
            }
        }
        for index in 0..self.vms.len() {
            self.announce(index);
        }
    }

    fn new_routers(&self, centre: usize) -> Vec<VmRouter> {
        let centre = CentreName::new(CENTRES[centre]);
        self.firm
            .services
            .iter()
            .map(|_| VmRouter::new(self.policy.route, centre.clone()))
            .collect()
    }

    /// Tells all nodes about a VM.
    pub(crate) fn announce(&mut self, index: usize) {
        let vm = &self.vms[index];
        let (name, service) = (vm.name.clone(), vm.service);
        let target = RouteTarget {
            centre: CentreName::new(CENTRES[vm.centre]),
            slots: vm.announced,
        };
        for other in &mut self.vms {
            other.routers[service].upsert(name.clone(), target.clone());
        }
    }

    pub(crate) const fn now(&self) -> ClockTime {
        ClockTime::from_ms(self.now_us / 1_000)
    }

    /// Returns the one-way time between two VMs, with the cost of a first connection.
    pub(crate) fn link_us(&mut self, from: usize, to: usize) -> u64 {
        if from == to {
            return LOCAL_US;
        }
        let connect_us = if self.vms[from].linked[to] { 0 } else { 1_000 };
        self.vms[from].linked[to] = true;
        connect_us + self.wire_us(from, to)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "distances are small and positive"
    )]
    pub(crate) fn wire_us(&self, from: usize, to: usize) -> u64 {
        if from == to {
            LOCAL_US
        } else if self.vms[from].centre == self.vms[to].centre {
            NEAR_US
        } else {
            (self.firm.between_centres_ms * 1_000.0) as u64
        }
    }

    /// Returns a time of own work with the given mean: the sum of two exponential ones.
    pub(crate) fn sample_ms(&mut self, mean_ms: f64) -> f64 {
        let first: f64 = 1.0 - self.random.random::<f64>();
        let second: f64 = 1.0 - self.random.random::<f64>();
        -(first * second).ln() * mean_ms / 2.0
    }

    /// Returns the load and the cuts that a VM's node reports now.
    pub(crate) fn report(&self, vm: usize) -> Option<(LoadSample, ShedThresholds)> {
        let vm = &self.vms[vm];
        let (sample, cuts) = vm.ingress.report(self.now())?;
        Some((vm.false_sample.unwrap_or(sample), cuts))
    }

    /// Returns whether every service of a plan has room and no queue.
    pub(crate) fn has_room(&self, plan: usize) -> bool {
        self.tree_services[plan].iter().all(|service| {
            let vms = self
                .vms
                .iter()
                .filter(|vm| vm.service == *service && vm.is_alive);
            let held: u32 = vms.clone().map(|vm| vm.backend.held()).sum();
            let slots: u32 = vms.clone().map(|vm| vm.slots).sum();
            let queued: usize = vms.map(|vm| vm.ingress.queued(self.now())).sum();
            f64::from(held) < 0.95 * f64::from(slots) && queued == 0
        })
    }
}

/// Returns the slots of each service when all VMs live.
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
