use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use clock::ClockTime;
use contract::{FleetContract, KeyDigest};
use model::{AttemptId, RequestId, ServiceName, TeamName, VmName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use route::VmRouter;

use crate::backend_pool::BackendPool;
use crate::ingress_gate::IngressGate;
use crate::node_clock::NodeClock;
use crate::node_metrics::NodeMetrics;
use crate::node_settings::NodeSettings;
use crate::peer_links::PeerLinks;
use crate::running_calls::RunningCalls;
use crate::stop_signal::StopSignal;

/// All that the tasks of a node share, on one thread.
pub(crate) struct NodeCore {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: NodeClock,
    pub(crate) contract: RefCell<Rc<FleetContract>>,
    pub(crate) keys: RefCell<BTreeMap<KeyDigest, TeamName>>,
    pub(crate) routers: RefCell<BTreeMap<ServiceName, VmRouter>>,
    pub(crate) links: PeerLinks,
    pub(crate) backend: Rc<BackendPool>,
    pub(crate) gate: IngressGate,
    pub(crate) running: RunningCalls,
    pub(crate) metrics: NodeMetrics,
    pub(crate) stop: StopSignal,
    pub(crate) open_connections: Rc<Cell<usize>>,
    random: RefCell<StdRng>,
}

impl NodeCore {
    pub(crate) fn new(settings: NodeSettings) -> Self {
        let mut random = StdRng::from_os_rng();
        let mut gate = IngressGate::new(random.random());
        gate.set_slots(settings.backend_slots);
        Self {
            clock: NodeClock::start(),
            contract: RefCell::default(),
            keys: RefCell::default(),
            routers: RefCell::default(),
            links: PeerLinks::default(),
            backend: Rc::new(BackendPool::new(settings.backend_address)),
            gate,
            running: RunningCalls::default(),
            metrics: NodeMetrics::new(),
            stop: StopSignal::new(),
            open_connections: Rc::default(),
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

    /// Returns whether the node can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.contract.borrow().services.is_empty() && !self.stop.is_given()
    }
}
