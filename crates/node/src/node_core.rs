use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use clock::ClockTime;
use contract::{FleetContract, RouteIndex};
use graph::{AdmissionSettings, CallTarget, ChainAdmission};
use limit::{EntryWindows, LogLineBudget, QueueSettings, WindowSettings};
use member::{BackendName, BackendWatch, CentreEvacuation, MemberFold};
use model::{AttemptId, RecordId, RequestId, ServiceName, VmName};
use once::{AttemptSettings, AttemptTable, ClaimTable, OnceSettings};
use quarantine::{RequestFingerprint, SuspectSettings, SuspectTable, designated_vm};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rate::TeamLimiter;
use retry::{ResendCounts, ResendSettings, ResendTable, RetryBudget};
use route::{RouteCall, RouteSettings, VmRouter};
use streams::{ClaimShard, FoldFeed, KeyAnswer, KeyDigest, LogHandle, LogStream};

use crate::announcement_appender::AnnouncementAppender;
use crate::attempt_query::ReceivedMark;
use crate::backend_pool::BackendPool;
use crate::change_notifier::ChangeNotifier;
use crate::claim_state::ClaimState;
use crate::claim_watch::ClaimDecision;
use crate::client_budget::ClientBudget;
use crate::config_state::ConfigState;
use crate::decision_waiters::DecisionWaiters;
use crate::departure_log::DepartureLog;
use crate::held_answer::HeldAnswers;
use crate::ingress_gate::IngressGate;
use crate::node_clock::NodeClock;
use crate::node_metrics::NodeMetrics;
use crate::node_settings::NodeSettings;
use crate::peer_links::PeerLinks;
use crate::rate_state::RateState;
use crate::rate_watch::set_rates;
use crate::running_calls::RunningCalls;
use crate::stop_signal::StopSignal;
use crate::stream_host::StreamHost;
use crate::suspect_watch::RunDecision;
use crate::warm_up_watch::warm_up_limits;

/// The maximum rate of appends to the platform's log for the claims of the whole fleet.
const CLAIM_APPENDS_PER_S: u64 = 200;
/// How long a stop waits for callers and other nodes to move to other nodes, in milliseconds.
pub(crate) const LEAVE_DELAY_MS: u64 = 3_000;
/// How long before the end of a stop the last answer is complete, in milliseconds.
const LAST_ANSWER_MARGIN_MS: u64 = 100;
/// How long a leaving backend server still accepts calls from other nodes, which may not have
/// learned of the leave yet, in milliseconds.
const LEAVE_ACCEPT_MS: u64 = 2_000;

/// The maximum rate of log lines caused by requests: about 10 KiB per second, and far less than 1 %
/// of a node's processor time. Lines about changes of the node's state aren't counted.
const MAX_LOG_LINES_PER_S: u32 = 50;

/// The state shared by the tasks of a node, which all run on one thread.
pub(crate) struct NodeCore {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: NodeClock,
    pub(crate) contract: RefCell<Rc<FleetContract>>,
    /// The index of the contract's routes by host and path.
    pub(crate) routes: RefCell<Rc<RouteIndex>>,
    pub(crate) log: LogHandle,
    pub(crate) config: StreamHost<ConfigState>,
    /// Batches and appends the announcements that other nodes send to this one.
    pub(crate) announcement_appender: AnnouncementAppender,
    /// The node that appends the announcements of all nodes, if there is more than one node.
    pub(crate) appender_vm: RefCell<Option<VmName>>,
    /// The state of the local backend server as last reported, if it sends reports.
    pub(crate) backend_watch: RefCell<BackendWatch>,
    /// Whether the log may have lost this node's announcement.
    pub(crate) is_announcement_lost: Cell<bool>,
    /// The departures of backend servers that are on the log.
    pub(crate) departures: DepartureLog,
    /// The data centres whose backend servers get no requests.
    pub(crate) evacuation: RefCell<CentreEvacuation>,
    /// The members of the fleet.
    pub(crate) fleet: StreamHost<FoldFeed<MemberFold>>,
    pub(crate) rates: StreamHost<FoldFeed<RateState>>,
    pub(crate) claims: StreamHost<FoldFeed<ClaimState>>,
    pub(crate) claim_waiters: DecisionWaiters<ClaimDecision>,
    pub(crate) suspects: RefCell<SuspectTable>,
    pub(crate) suspect_waiters: DecisionWaiters<RunDecision>,
    pub(crate) attempts: RefCell<AttemptTable>,
    /// The marks last received of other nodes' attempt tables.
    pub(crate) marks: RefCell<BTreeMap<VmName, ReceivedMark>>,
    /// Notified when tokens of the teams' rates may have become available.
    pub(crate) tokens: ChangeNotifier,
    /// Notified when a call arrives or the backend server reports, to end the idle wait of the
    /// timer task.
    pub(crate) activity: ChangeNotifier,
    /// Decides which requests to refuse at entry because of the services in their chain.
    pub(crate) chain: RefCell<ChainAdmission>,
    /// The windows that limit requests in flight that entered through this node, by call and class.
    pub(crate) windows: RefCell<EntryWindows<CallTarget>>,
    pub(crate) resends: RefCell<ResendTable>,
    pub(crate) resend_counts: RefCell<ResendCounts>,
    retry_budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    /// Whether the backend server accepted a connection when last tried.
    pub(crate) is_backend_up: Cell<bool>,
    pub(crate) routers: RefCell<BTreeMap<ServiceName, VmRouter>>,
    /// The number of VMs that accept calls, as of the last update of the relay plans.
    pub(crate) ready_members: Cell<usize>,
    pub(crate) links: PeerLinks,
    pub(crate) backend: Rc<BackendPool>,
    /// Admits calls to the local backend server.
    pub(crate) gate: IngressGate,
    /// The calls that the local backend server is running.
    pub(crate) running: RunningCalls,
    /// The answers of the local backend server that are being sent and hold a slot.
    pub(crate) held: HeldAnswers,
    pub(crate) metrics: NodeMetrics,
    /// The bytes and connections that are held for clients.
    pub(crate) clients: Rc<ClientBudget>,
    /// Triggered when the node starts to stop.
    pub(crate) stop: StopSignal,
    /// Closes the connections of callers once these have had time to move to other nodes.
    pub(crate) drain: StopSignal,
    /// Closes the connections of the backend server and of operators once the last call has ended.
    pub(crate) close: StopSignal,
    /// When the backend server started to leave.
    leave_started_at: Cell<Option<ClockTime>>,
    /// The number of open connections of callers.
    pub(crate) open_connections: Rc<Cell<usize>>,
    /// The number of open connections over which the backend server makes its own calls.
    pub(crate) egress_connections: Rc<Cell<usize>>,
    /// The number of bytes held for requests that were sent ahead: of heads that weren't passed on
    /// and of answers that wait for their turn.
    pub(crate) ahead_bytes: Rc<Cell<usize>>,
    /// The number of calls that arrived for the backend server and aren't answered completely.
    pub(crate) arrived: Rc<Cell<usize>>,
    /// Limits the log lines caused by requests.
    log_lines: RefCell<LogLineBudget>,
    random: RefCell<StdRng>,
}

impl NodeCore {
    /// Creates the state of a node that has read nothing from the log yet.
    pub(crate) fn new(settings: NodeSettings, log: LogHandle) -> Self {
        let mut random = StdRng::from_os_rng();
        let queue = QueueSettings {
            awaits_first_answer: settings.edge.rate_header.is_some(),
            ..settings.queue
        };
        let gate = IngressGate::new(queue, random.random());
        gate.set_slots(settings.backend_slots);
        let clock = NodeClock::start();
        let fleet = MemberFold::new(settings.members);
        let watch = BackendWatch::new(settings.service.clone(), settings.backend_address);
        let follow = settings.follow_others;
        let rates = RateState {
            limiter: TeamLimiter::new(
                settings.vm.clone(),
                settings.centre.clone(),
                settings.rates.clone(),
            ),
        };
        let table = ClaimTable::new(
            OnceSettings::default(),
            settings.service.clone(),
            settings.vm.clone(),
            clock.now(),
            0,
            random.random(),
        );
        let shard = ClaimShard::of(&settings.service);
        let claims = ClaimState {
            table,
            actions: Vec::new(),
        };
        let suspects = SuspectTable::new(SuspectSettings::default(), settings.vm.clone());
        let table_settings = AttemptSettings::default();
        let attempts = AttemptTable::new(table_settings, clock.now(), random.random());
        Self {
            clock,
            contract: RefCell::default(),
            routes: RefCell::default(),
            backend_watch: RefCell::new(watch),
            is_announcement_lost: Cell::new(false),
            departures: DepartureLog::default(),
            evacuation: RefCell::new(CentreEvacuation::new(settings.centre.clone())),
            log,
            config: StreamHost::new(clock, ConfigState::new(&settings)),
            fleet: StreamHost::new(clock, FoldFeed::new(LogStream::Members, follow, fleet)),
            rates: StreamHost::new(clock, FoldFeed::new(LogStream::Rates, follow, rates)),
            claims: StreamHost::new(
                clock,
                FoldFeed::new(LogStream::Claims(shard), follow, claims),
            ),
            claim_waiters: DecisionWaiters::default(),
            announcement_appender: AnnouncementAppender::default(),
            appender_vm: RefCell::default(),
            suspects: RefCell::new(suspects),
            suspect_waiters: DecisionWaiters::default(),
            attempts: RefCell::new(attempts),
            marks: RefCell::default(),
            tokens: ChangeNotifier::default(),
            activity: ChangeNotifier::default(),
            chain: RefCell::new(ChainAdmission::new(AdmissionSettings::default())),
            windows: RefCell::new(EntryWindows::new(WindowSettings::default())),
            resends: RefCell::new(ResendTable::new(ResendSettings::default())),
            resend_counts: RefCell::new(ResendCounts::new(ResendSettings::default())),
            retry_budgets: RefCell::default(),
            is_backend_up: Cell::new(false),
            routers: RefCell::default(),
            ready_members: Cell::new(0),
            links: PeerLinks::default(),
            backend: Rc::new(BackendPool::new(
                settings.backend_address,
                clock,
                settings.answers,
            )),
            gate,
            running: RunningCalls::default(),
            held: HeldAnswers::default(),
            metrics: NodeMetrics::new(),
            clients: Rc::new(ClientBudget::new(clock, settings.clients.limits)),
            stop: StopSignal::new(),
            drain: StopSignal::new(),
            close: StopSignal::new(),
            leave_started_at: Cell::new(None),
            open_connections: Rc::default(),
            egress_connections: Rc::default(),
            ahead_bytes: Rc::default(),
            arrived: Rc::default(),
            log_lines: RefCell::new(LogLineBudget::new(MAX_LOG_LINES_PER_S)),
            random: RefCell::new(random),
            settings,
        }
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

    /// Returns whether a request may cause a log line now, and logs how many lines were omitted
    /// before.
    pub(crate) fn may_log(&self) -> bool {
        let now = self.now();
        let mut lines = self.log_lines.borrow_mut();
        if let Some(count) = lines.take_omitted(now) {
            log::warn!("event=lines-left-out count={count} lines_per_s={MAX_LOG_LINES_PER_S}");
        }
        lines.take(now)
    }

    /// Calls a function with the random number generator of this node.
    pub(crate) fn with_random<T>(&self, access: impl FnOnce(&mut StdRng) -> T) -> T {
        access(&mut self.random.borrow_mut())
    }

    /// Chooses a VM of a service, other than those in `tried`.
    pub(crate) fn choose_vm(&self, service: &ServiceName, tried: &[VmName]) -> Option<VmName> {
        self.choose_vm_for(service, tried, RouteCall::default())
    }

    /// Chooses a VM that isn't in `tried` for a call, with regard to the call's size.
    pub(crate) fn choose_vm_for(
        &self,
        service: &ServiceName,
        tried: &[VmName],
        call: RouteCall,
    ) -> Option<VmName> {
        let mut routers = self.routers.borrow_mut();
        let router = routers.get_mut(service)?;
        router.choose_for(self.now(), &mut *self.random.borrow_mut(), tried, call)
    }

    /// Returns the mean age of the fresh load figures that the node has of VMs, in milliseconds.
    pub(crate) fn news_age_ms(&self) -> u64 {
        let now = self.now();
        let routers = self.routers.borrow();
        let ages = routers.values().map(|router| router.news_age_ms(now));
        let (sum, count) = ages.fold((0, 0), |(sum, count), (age_ms, vms)| {
            (sum + age_ms * vms, count + vms)
        });
        sum / count.max(1)
    }

    /// Returns whether a service has a VM that isn't in `tried` and isn't known to be at the rate
    /// that its backend server states.
    pub(crate) fn has_unlimited_vm(&self, service: &ServiceName, tried: &[VmName]) -> bool {
        let routers = self.routers.borrow();
        let router = routers.get(service);
        router.is_some_and(|router| router.has_unlimited(self.now(), tried))
    }

    /// Returns the VMs of a service that accept calls, without those in evacuated data centres.
    pub(crate) fn ready_vms(&self, service: &ServiceName) -> Vec<VmName> {
        let evacuation = self.evacuation.borrow();
        self.fleet.with(|feed| {
            let ready = feed.fold().view().ready(service);
            let open = ready.filter(|member| evacuation.is_open(&member.centre));
            open.map(|member| member.vm.clone()).collect()
        })
    }

    /// Returns the designated VM of a request, to which all nodes send the request's copies.
    ///
    /// Nodes that know the same VMs designate the same one; VMs that are in `tried` or ejected
    /// aren't considered.
    pub(crate) fn designated_vm_of(
        &self,
        service: &ServiceName,
        fingerprint: RequestFingerprint,
        tried: &[VmName],
    ) -> Option<VmName> {
        let mut ready = self.ready_vms(service);
        let routers = self.routers.borrow();
        let router = routers.get(service)?;
        ready.retain(|vm| !tried.contains(vm) && !router.is_ejected(vm));
        designated_vm(fingerprint, &ready).cloned()
    }

    /// Calls a function with the router of a service, if the contract has that service.
    pub(crate) fn with_router(&self, service: &ServiceName, change: impl FnOnce(&mut VmRouter)) {
        if let Some(router) = self.routers.borrow_mut().get_mut(service) {
            change(router);
        }
    }

    /// Calls a function with the retry budget of a service.
    ///
    /// The retry slack of the fleet is divided equally among the nodes that accept calls at
    /// present.
    pub(crate) fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let settings = &self.settings;
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(settings.retry_budget));
        if let Some(slack) = settings.fleet_retry_slack {
            let nodes = u64::try_from(self.ready_members.get()).unwrap_or(u64::MAX);
            budget.set_slack(slack / nodes.max(1));
        }
        change(budget)
    }

    /// Applies a contract to the routers, admission control, claims and rates.
    pub(crate) fn apply_contract(&self, contract: Rc<FleetContract>) {
        let mut routers = self.routers.borrow_mut();
        routers.retain(|service, _| contract.services.contains_key(service));
        for service in contract.services.keys() {
            let centre = self.settings.centre.clone();
            routers
                .entry(service.clone())
                .or_insert_with(|| VmRouter::new(RouteSettings::default(), centre));
        }
        drop(routers);
        self.chain.borrow_mut().retain_contract_calls(&contract);
        let has_call = |target: &CallTarget| contract.has_call(&target.service, &target.call);
        self.windows.borrow_mut().retain(has_call);
        let budget = claim_budget(&contract);
        let set_budget = |state: &mut ClaimState| state.table.set_appends_per_s(budget);
        self.claims.with(|feed| set_budget(feed.fold()));
        if !contract.services.is_empty() {
            let service = contract.services.get(&self.settings.service);
            let limits = service.and_then(warm_up_limits);
            self.gate.set_warm_up(self.now(), limits);
        }
        self.routes.replace(Rc::new(RouteIndex::new(&contract)));
        self.contract.replace(contract);
        set_rates(self);
    }

    /// Returns the team that a caller's key belongs to, or why the key isn't accepted.
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

    /// Returns whether the node can serve callers: it has a contract, its data centre has
    /// allocators for the teams' rates, and it isn't leaving.
    pub(crate) fn is_ready(&self) -> bool {
        let is_served = self.rates.with(|feed| feed.fold().limiter.is_served());
        self.has_contract() && is_served && !self.is_leaving()
    }

    /// Marks the backend server as leaving, so that other nodes send it no new calls.
    pub(crate) fn leave(&self) {
        if !self.is_leaving() {
            self.leave_started_at.set(Some(self.now()));
        }
    }

    /// Returns whether the backend server is leaving.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.leave_started_at.get().is_some()
    }

    /// Returns whether the backend server accepts new calls according to its reports.
    pub(crate) fn is_backend_accepting(&self) -> bool {
        self.settings.reports.is_none() || self.backend_watch.borrow().accepting().is_some()
    }

    /// Returns whether an admitted call may be sent to the backend server now.
    pub(crate) fn may_send(&self) -> bool {
        if !self.evacuation.borrow().may_send(self.now()) {
            return false;
        }
        let Some(reports) = &self.settings.reports else {
            return true;
        };
        let watch = self.backend_watch.borrow();
        watch
            .reachable(self.now(), reports.leave_grace_ms)
            .is_some()
    }

    /// Returns the name of the backend server that calls are sent to, if it has reported one.
    pub(crate) fn backend_name(&self) -> Option<BackendName> {
        let reports = self.settings.reports.as_ref()?;
        let watch = self.backend_watch.borrow();
        watch.reachable(self.now(), reports.leave_grace_ms).cloned()
    }

    /// Returns whether callers have had the time to move to other nodes, so that their requests are
    /// refused.
    pub(crate) fn has_left(&self) -> bool {
        let left_at = self.leave_started_at.get();
        left_at.is_some_and(|left_at| self.now().since_ms(left_at) >= LEAVE_DELAY_MS)
    }

    /// Returns whether the process may end before a call of the backend server does, which is then
    /// refused rather than cut.
    pub(crate) fn may_cut(&self, deadline: ClockTime) -> bool {
        let stop_ms = self.settings.stop_limit_ms;
        let span_ms = stop_ms.saturating_sub(LAST_ANSWER_MARGIN_MS);
        let left_at = self.leave_started_at.get();
        let is_late = |left_at: ClockTime| deadline > left_at.plus_ms(span_ms);
        self.has_left() && left_at.is_some_and(is_late)
    }

    /// Returns whether calls from other nodes are accepted.
    ///
    /// Shortly after a leave they still are, as other nodes may not have learned of it.
    pub(crate) fn accepts_calls(&self) -> bool {
        let left_at = self.leave_started_at.get();
        self.is_backend_accepting()
            && self.evacuation.borrow().accepts_calls(self.now())
            && left_at.is_none_or(|left_at| self.now().since_ms(left_at) < LEAVE_ACCEPT_MS)
    }
}

/// Returns the maximum rate of claim appends to each shard in use, so that all shards together stay
/// within [`CLAIM_APPENDS_PER_S`].
fn claim_budget(contract: &FleetContract) -> u64 {
    let services = contract.services.iter();
    let once_services =
        services.filter(|(_, service)| service.calls.values().any(|call| call.once));
    let shards: BTreeSet<ClaimShard> = once_services
        .map(|(name, _)| ClaimShard::of(name))
        .collect();
    let count = u64::try_from(shards.len()).unwrap_or(u64::MAX).max(1);
    (CLAIM_APPENDS_PER_S / count).min(OnceSettings::default().appends_per_s)
}
