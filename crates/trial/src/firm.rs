use graph::CallTarget;
use model::{CallImportance, CallName};

/// One service of a simulated company.
#[derive(Clone, Debug)]
pub struct FirmService {
    /// The name.
    pub name: &'static str,
    /// The number of VMs.
    pub instances: usize,
    /// The requests that one backend server can run at once.
    pub slots: u32,
}

impl FirmService {
    const fn new(name: &'static str, instances: usize, slots: u32) -> Self {
        Self {
            name,
            instances,
            slots,
        }
    }
}

/// A call to a service: processing by that service, interrupted by nested calls to others.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// The index of the service.
    pub service: usize,
    /// The mean processing time of the service without its nested calls, in milliseconds.
    pub own_ms: f64,
    /// The nested calls, made one after another, as indices into [`Firm::calls`].
    pub children: Vec<usize>,
}

/// A kind of request that callers send.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The name.
    pub name: &'static str,
    /// The share of all requests.
    pub share: f64,
    /// The importance.
    pub importance: CallImportance,
    /// The timeout of the caller, in milliseconds.
    pub timeout_ms: u64,
    /// The first call, as an index into [`Firm::calls`].
    pub root: usize,
}

/// The services, request kinds and teams of a simulated company.
#[derive(Clone, Debug)]
pub struct Firm {
    /// The name.
    pub name: &'static str,
    /// The one-way latency between two data centres, in milliseconds.
    pub between_centres_ms: f64,
    /// The services.
    pub services: Vec<FirmService>,
    /// The calls of all request kinds; nested calls come before the calls that make them.
    pub calls: Vec<CallPlan>,
    /// The request kinds.
    pub kinds: Vec<RequestKind>,
    /// The contracted rate of each team, as a relative weight.
    pub teams: Vec<u32>,
    /// The length of the bodies of a call and its answer, in bytes.
    pub body_bytes: u64,
}

/// The relative contracted rates of eight teams, a few of them large.
const TEAM_WEIGHTS: [u32; 8] = [30, 20, 12, 8, 4, 2, 2, 1];

impl Firm {
    /// Returns the model of a registry company: four services, where uploads and filings share the
    /// archive.
    #[must_use]
    pub fn zuma() -> Self {
        let mut firm = Self {
            name: "zuma",
            between_centres_ms: 1.0,
            services: vec![
                FirmService::new("archive", 5, 65),
                FirmService::new("filings", 4, 80),
                FirmService::new("surveys", 3, 110),
                FirmService::new("registry", 3, 25),
            ],
            calls: Vec::new(),
            kinds: Vec::new(),
            teams: TEAM_WEIGHTS.to_vec(),
            body_bytes: 0,
        };
        let (archive, filings, surveys, registry) = (0, 1, 2, 3);
        let read_record = firm.call(registry, 60.0, &[]);
        let lookup = firm.call(surveys, 30.0, &[read_record]);
        let store_record = firm.call(archive, 90.0, &[]);
        let filing = firm.call(filings, 60.0, &[read_record, store_record]);
        let store = firm.call(archive, 120.0, &[]);
        let attach = firm.call(filings, 60.0, &[store]);
        let upload = firm.call(surveys, 60.0, &[attach]);
        let search = firm.call(registry, 60.0, &[store]);
        let collect = firm.call(filings, 45.0, &[search]);
        let report = firm.call(surveys, 45.0, &[collect]);
        firm.kind("lookup", 0.45, CallImportance::High, 2_000, lookup);
        firm.kind("filing", 0.20, CallImportance::Critical, 2_000, filing);
        firm.kind("upload", 0.20, CallImportance::Normal, 2_500, upload);
        firm.kind("report", 0.15, CallImportance::Background, 3_000, report);
        firm
    }

    /// Returns the model of a repair company: four services, where booking, quoting and tracking
    /// share the catalogue.
    #[must_use]
    pub fn turnwell() -> Self {
        let mut firm = Self {
            name: "turnwell",
            between_centres_ms: 1.5,
            services: vec![
                FirmService::new("tracker", 6, 100),
                FirmService::new("booking", 3, 200),
                FirmService::new("quoting", 3, 200),
                FirmService::new("catalogue", 3, 35),
            ],
            calls: Vec::new(),
            kinds: Vec::new(),
            teams: TEAM_WEIGHTS.to_vec(),
            body_bytes: 0,
        };
        let (tracker, booking, quoting, catalogue) = (0, 1, 2, 3);
        let status = firm.call(tracker, 60.0, &[]);
        let browse = firm.call(catalogue, 100.0, &[]);
        let price = firm.call(quoting, 60.0, &[browse]);
        let pay = firm.call(booking, 80.0, &[price, status]);
        let quote = firm.call(quoting, 120.0, &[browse]);
        let stock = firm.call(tracker, 40.0, &[browse]);
        let sync = firm.call(booking, 40.0, &[stock]);
        firm.kind("status", 0.40, CallImportance::High, 1_500, status);
        firm.kind("browse", 0.25, CallImportance::Normal, 1_500, browse);
        firm.kind("pay", 0.15, CallImportance::Critical, 2_500, pay);
        firm.kind("quote", 0.15, CallImportance::Normal, 2_500, quote);
        firm.kind("sync", 0.05, CallImportance::Background, 3_000, sync);
        firm
    }

    /// Returns the model of a stock service alone, with short and long reads.
    #[must_use]
    pub fn yard(instances: usize) -> Self {
        let mut firm = Self {
            name: "yard",
            between_centres_ms: 0.9,
            services: vec![FirmService::new("yard", instances, 8)],
            calls: Vec::new(),
            kinds: Vec::new(),
            teams: TEAM_WEIGHTS.to_vec(),
            body_bytes: 600,
        };
        let map = firm.call(0, 22.0, &[]);
        let stock = firm.call(0, 310.0, &[]);
        firm.kind("map", 0.88, CallImportance::Normal, 2_500, map);
        firm.kind("stock", 0.12, CallImportance::Normal, 4_000, stock);
        firm
    }

    /// Returns the model of a stock service that is called by the nodes of other VMs too. Each node
    /// then hears of a VM of the service rarely.
    #[must_use]
    pub fn yard_among(instances: usize, others: usize) -> Self {
        let mut firm = Self::yard(instances);
        firm.services.push(FirmService::new("desk", others, 8));
        firm
    }

    fn call(&mut self, service: usize, own_ms: f64, children: &[usize]) -> usize {
        self.calls.push(CallPlan {
            service,
            own_ms,
            children: children.to_vec(),
        });
        self.calls.len() - 1
    }

    fn kind(
        &mut self,
        name: &'static str,
        share: f64,
        importance: CallImportance,
        timeout_ms: u64,
        root: usize,
    ) {
        self.kinds.push(RequestKind {
            name,
            share,
            importance,
            timeout_ms,
            root,
        });
    }

    /// Returns the service and the name of a call.
    #[must_use]
    pub fn target(&self, call: usize) -> CallTarget {
        let service = self.services[self.calls[call].service].name;
        CallTarget::new(service, CallName::new(format!("call-{call}")))
    }

    /// Returns the duration of a call and its nested calls without queueing, in milliseconds, when
    /// each service processes at the given speed.
    #[must_use]
    pub fn holding_ms(&self, call: usize, speeds: &[f64]) -> f64 {
        let plan = &self.calls[call];
        let children: f64 = plan
            .children
            .iter()
            .map(|child| self.holding_ms(*child, speeds) + 2.0 * self.between_centres_ms)
            .sum();
        plan.own_ms / speeds[plan.service] + children
    }

    /// Returns the time for which a call and its nested calls occupy slots of a service, in
    /// milliseconds.
    #[must_use]
    pub fn slot_ms(&self, call: usize, service: usize, speeds: &[f64]) -> f64 {
        let plan = &self.calls[call];
        let children: f64 = plan
            .children
            .iter()
            .map(|child| self.slot_ms(*child, service, speeds))
            .sum();
        if plan.service == service {
            children + self.holding_ms(call, speeds)
        } else {
            children
        }
    }

    /// Returns the mean slot time of a service that one request of the mix occupies, in
    /// milliseconds.
    #[must_use]
    pub fn mean_slot_ms(&self, service: usize, speeds: &[f64]) -> f64 {
        self.kinds
            .iter()
            .map(|kind| kind.share * self.slot_ms(kind.root, service, speeds))
            .sum()
    }

    /// Returns the bottleneck service and the requests per second that it can serve, given the
    /// available slots of each service.
    #[must_use]
    pub fn bottleneck(&self, slots: &[f64], speeds: &[f64]) -> (usize, f64) {
        (0..self.services.len())
            .filter(|service| self.mean_slot_ms(*service, speeds) > 0.0)
            .map(|service| {
                let rate = slots[service] * 1_000.0 / self.mean_slot_ms(service, speeds);
                (service, rate)
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap_or((0, 0.0))
    }

    /// Returns the slots of each service when all VMs are running.
    #[must_use]
    pub fn slots(&self) -> Vec<f64> {
        self.services
            .iter()
            .map(|service| {
                f64::from(service.slots) * f64::from(u32::try_from(service.instances).unwrap_or(0))
            })
            .collect()
    }

    /// Returns whether a call or one of its nested calls uses a service.
    #[must_use]
    pub fn uses_service(&self, call: usize, service: usize) -> bool {
        let plan = &self.calls[call];
        plan.service == service
            || plan
                .children
                .iter()
                .any(|child| self.uses_service(*child, service))
    }
}
