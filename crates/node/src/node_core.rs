use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use adapter::{HttpLog, HttpSettings};
use clock::ClockTime;
use contract::FleetContract;
use graph::{AdmissionSettings, ChainAdmission};
use member::{MemberFold, MemberSettings};
use model::{AttemptId, RecordId, RequestId, ServiceName, VmName};
use once::{AttemptSettings, AttemptTable, ClaimBook, OnceSettings};
use platform::{FoldFeed, KeyAnswer, KeyDigest, LogStream};
use quarantine::{SuspectBook, SuspectSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rate::{RateSettings, TeamLimiter};
use retry::RetryRatio;
use route::{RouteSettings, VmRouter};

use crate::attempt_doubt::HeardMark;
use crate::backend_pool::BackendPool;
use crate::claim_state::ClaimState;
use crate::claim_watch::ClaimFate;
use crate::config_state::ConfigState;
use crate::fate_board::FateBoard;
use crate::held_answer::HeldAnswers;
use crate::ingress_gate::IngressGate;
use crate::leave_stages::LeaveStages;
use crate::news_bell::NewsBell;
use crate::node_clock::NodeClock;
use crate::node_metrics::NodeMetrics;
use crate::node_settings::NodeSettings;
use crate::peer_links::PeerLinks;
use crate::rate_state::RateState;
use crate::rate_watch::put_rates;
use crate::running_calls::RunningCalls;
use crate::stream_host::StreamHost;
use crate::suspect_watch::SuspectFate;

/// All that the tasks of a node share, on one thread.
pub(crate) struct NodeCore {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: NodeClock,
    pub(crate) contract: RefCell<Rc<FleetContract>>,
    pub(crate) log: HttpLog,
    pub(crate) config: StreamHost<ConfigState>,
    pub(crate) fleet: StreamHost<FoldFeed<MemberFold>>,
    pub(crate) rates: StreamHost<FoldFeed<RateState>>,
    pub(crate) claims: StreamHost<FoldFeed<ClaimState>>,
    pub(crate) claim_fates: FateBoard<ClaimFate>,
    pub(crate) suspects: RefCell<SuspectBook>,
    pub(crate) suspect_fates: FateBoard<SuspectFate>,
    pub(crate) attempts: RefCell<AttemptTable>,
    pub(crate) marks: RefCell<BTreeMap<VmName, HeardMark>>,
    /// Rings when tokens of the teams' rates may have come.
    pub(crate) tokens: NewsBell,
    pub(crate) chain: RefCell<ChainAdmission>,
    pub(crate) ratios: RefCell<BTreeMap<ServiceName, RetryRatio>>,
    /// Whether the backend server has accepted a connection since the start.
    pub(crate) is_up: Cell<bool>,
    pub(crate) routers: RefCell<BTreeMap<ServiceName, VmRouter>>,
    pub(crate) links: PeerLinks,
    pub(crate) backend: Rc<BackendPool>,
    pub(crate) gate: IngressGate,
    pub(crate) running: RunningCalls,
    pub(crate) held: HeldAnswers,
    pub(crate) metrics: NodeMetrics,
    pub(crate) leave: LeaveStages,
    pub(crate) open_connections: Rc<Cell<usize>>,
    random: RefCell<StdRng>,
}

impl NodeCore {
    /// Creates the shared state.
    ///
    /// # Errors
    ///
    /// Returns the library's error when no client of the log can be made.
    pub(crate) fn new(settings: NodeSettings) -> Result<Self, cyper::Error> {
        let mut random = StdRng::from_os_rng();
        let mut gate = IngressGate::new(random.random());
        gate.set_slots(settings.backend_slots);
        let clock = NodeClock::start();
        let base = format!("http://{}", settings.platform_address);
        let log = HttpLog::new(base, HttpSettings::default())?;
        let fleet = MemberFold::new(MemberSettings::default());
        let rates = RateState {
            limiter: TeamLimiter::new(
                settings.vm.clone(),
                settings.centre.clone(),
                RateSettings::default(),
            ),
        };
        let book = ClaimBook::new(
            OnceSettings::default(),
            settings.service.clone(),
            settings.vm.clone(),
            clock.now(),
            0,
            random.random(),
        );
        let claims = ClaimState {
            book,
            actions: Vec::new(),
        };
        let suspects = SuspectBook::new(SuspectSettings::default(), settings.vm.clone());
        let table_settings = AttemptSettings::default();
        let attempts = AttemptTable::new(table_settings, clock.now(), random.random());
        Ok(Self {
            clock,
            contract: RefCell::default(),
            log,
            config: StreamHost::new(clock, ConfigState::new(settings.centre.clone())),
            fleet: StreamHost::new(clock, FoldFeed::new(LogStream::Members, fleet)),
            rates: StreamHost::new(clock, FoldFeed::new(LogStream::Rates, rates)),
            claims: StreamHost::new(clock, FoldFeed::new(LogStream::Claims, claims)),
            claim_fates: FateBoard::default(),
            suspects: RefCell::new(suspects),
            suspect_fates: FateBoard::default(),
            attempts: RefCell::new(attempts),
            marks: RefCell::default(),
            tokens: NewsBell::default(),
            chain: RefCell::new(ChainAdmission::new(AdmissionSettings::default())),
            ratios: RefCell::default(),
            is_up: Cell::new(false),
            routers: RefCell::default(),
            links: PeerLinks::default(),
            backend: Rc::new(BackendPool::new(settings.backend_address)),
            gate,
            running: RunningCalls::default(),
            held: HeldAnswers::default(),
            metrics: NodeMetrics::new(),
            leave: LeaveStages::new(),
            open_connections: Rc::default(),
            random: RefCell::new(random),
            settings,
        })
    }

    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    pub(crate) fn contract(&self) -> Rc<FleetContract> {
        Rc::clone(&self.contract.borrow())
    }

    pub(crate) fn new_request_id(&self) -> RequestId {
        RequestId::from_random(self.random.borrow_mut().random())
    }

    pub(crate) fn new_attempt_id(&self) -> AttemptId {
        AttemptId::from_random(self.random.borrow_mut().random())
    }

    pub(crate) fn new_record_id(&self) -> RecordId {
        RecordId::from_random(self.random.borrow_mut().random())
    }

    /// Calls a function with the random numbers of this node.
    pub(crate) fn with_random<T>(&self, draw: impl FnOnce(&mut StdRng) -> T) -> T {
        draw(&mut self.random.borrow_mut())
    }

    /// Chooses a VM of a service that hasn't been tried yet.
    pub(crate) fn choose_vm(&self, service: &ServiceName, tried: &[VmName]) -> Option<VmName> {
        let mut routers = self.routers.borrow_mut();
        let router = routers.get_mut(service)?;
        router.choose(self.now(), &mut *self.random.borrow_mut(), tried)
    }

    /// Calls a function with the router of a service.
    pub(crate) fn with_router(&self, service: &ServiceName, change: impl FnOnce(&mut VmRouter)) {
        if let Some(router) = self.routers.borrow_mut().get_mut(service) {
            change(router);
        }
    }

    /// Puts a contract in force.
    pub(crate) fn put_contract(&self, contract: Rc<FleetContract>) {
        let mut routers = self.routers.borrow_mut();
        routers.retain(|service, _| contract.services.contains_key(service));
        for service in contract.services.keys() {
            let centre = self.settings.centre.clone();
            routers
                .entry(service.clone())
                .or_insert_with(|| VmRouter::new(RouteSettings::default(), centre));
        }
        drop(routers);
        self.chain.borrow_mut().forget_absent(&contract);
        self.contract.replace(contract);
        put_rates(self);
    }

    /// Returns whom a caller's key stands for.
    pub(crate) fn key_answer(&self, key: &[u8]) -> KeyAnswer {
        let now = self.now();
        let digest = KeyDigest::of_key(key);
        self.config
            .with(|state| state.feed.key_answer(now, &digest))
    }

    /// Returns whether a contract is in force.
    pub(crate) fn has_contract(&self) -> bool {
        !self.contract.borrow().services.is_empty()
    }

    /// Returns whether the node can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let is_served = self.rates.with(|feed| feed.fold().limiter.is_served());
        self.has_contract() && is_served && !self.leave.leaving.is_given()
    }
}
