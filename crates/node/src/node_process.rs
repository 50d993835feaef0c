use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use adapter::{HttpLog, HttpSettings};
use clock::ClockTime;
use compio::net::TcpListener;
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use limit::ClientPort;
use member::{MemberAnnouncement, MemberState};
use rand::Rng;
use streams::{LogHandle, StreamFeed};
use thiserror::Error;
use wire::PeerServer;

use crate::admin_port::answer_admin;
use crate::announce::announce_node;
use crate::claim_watch::{ClaimWatch, poll_claims};
use crate::client_watch::{close_excess, close_slow_clients};
use crate::config_watch::{ConfigWatch, repeat_config};
use crate::departure_log::recall_departures;
use crate::egress::answer_backend;
use crate::entry::answer_caller;
use crate::fleet_watch::{FleetWatch, StreamPlans, apply_members, seed_plan, set_relay_plans};
use crate::http_port::{PortUser, serve_port};
use crate::node_core::{LEAVE_DELAY_MS, NodeCore};
use crate::node_settings::NodeSettings;
use crate::peer_port::PeerPort;
use crate::rate_watch::{RateWatch, poll_rates};
use crate::report_port::answer_report;
use crate::suspect_watch::{poll_suspects, sync_opened_peers};
use crate::usage_report::UsageReport;
use crate::warm_up_watch::watch_warm_up;

/// The time between two checks of what is due, in milliseconds.
const TICK_MS: u64 = 10;
/// The maximum time between two such checks while nothing is due, in milliseconds.
const MAX_IDLE_MS: u64 = 100;
/// The time between two updates of what depends on the members, in milliseconds.
const MEMBER_TICK_MS: u64 = 250;
/// The exclusive upper bound of the random incarnation under which a start first announces itself.
const MAX_FIRST_INCARNATION: u64 = 1 << 32;
/// How long a stop waits for the last bytes to be sent over the links, in milliseconds.
const FLUSH_DELAY_MS: u64 = 250;

/// An error that prevents a node from starting.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The HTTP client for the platform's log can't be created.
    #[error("can't create the HTTP client for the platform's log: {0}")]
    Client(#[source] cyper::Error),
    /// The node can't listen on an address.
    #[error("can't listen on the {port} address {address}: {error}")]
    Listen {
        /// The role of the port.
        port: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
}

/// A running node.
pub struct NodeProcess {
    core: Rc<NodeCore>,
    caller_address: SocketAddr,
    egress_address: SocketAddr,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
}

impl NodeProcess {
    /// Starts a node on the event loop of this thread, with the platform's log over HTTP.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Client`] if the HTTP client can't be created, and [`NodeError::Listen`]
    /// if the node can't listen on an address.
    pub async fn start(settings: NodeSettings) -> Result<Self, NodeError> {
        let base = format!("http://{}", settings.platform_address);
        let log = HttpLog::new(base, HttpSettings::default()).map_err(NodeError::Client)?;
        Self::start_on(settings, LogHandle::new(log)).await
    }

    /// Starts a node on the event loop of this thread, with any implementation of the log.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Listen`] if the node can't listen on an address.
    pub async fn start_on(settings: NodeSettings, log: LogHandle) -> Result<Self, NodeError> {
        let mut listeners = Vec::new();
        let callers = listen("caller", settings.caller_address).await?;
        let egress = listen("egress", settings.egress_address).await?;
        let peers = listen("peer", settings.peer_address).await?;
        let admin = listen("admin", settings.admin_address).await?;
        if let Some(reports) = settings.reports {
            listeners.push((PortKind::Reports, listen("report", reports.address).await?));
        }
        if let Some(address) = settings.metrics_address {
            listeners.push((PortKind::Metrics, listen("metrics", address).await?));
        }
        let node = Self {
            caller_address: address_of(&callers, settings.caller_address),
            egress_address: address_of(&egress, settings.egress_address),
            peer_address: address_of(&peers, settings.peer_address),
            admin_address: address_of(&admin, settings.admin_address),
            core: Rc::new(NodeCore::new(settings, log)),
        };
        let core = &node.core;
        spawn(serve_port(
            Rc::clone(core),
            PortUser::Caller,
            callers,
            answer_caller,
        ))
        .detach();
        spawn(serve_port(
            Rc::clone(core),
            PortUser::Backend,
            egress,
            answer_backend,
        ))
        .detach();
        spawn(serve_port(
            Rc::clone(core),
            PortUser::Operator,
            admin,
            answer_admin,
        ))
        .detach();
        for (kind, listener) in listeners {
            serve_extra(core, kind, listener);
        }
        spawn(serve_peers(Rc::clone(core), peers)).detach();
        spawn(run_timers(Rc::clone(core))).detach();
        spawn(watch_warm_up(Rc::clone(core))).detach();
        spawn(maintain_members(Rc::clone(core))).detach();
        node.follow_log();
        Ok(node)
    }

    fn follow_log(&self) {
        let core = &self.core;
        let plans = StreamPlans {
            config: seed_plan(core),
            others: seed_plan(core),
        };
        let has_peers = !core.settings.peers.is_empty();
        set_relay_plans(core, &plans, BTreeMap::new(), has_peers);
        spawn(follow_config(Rc::clone(core))).detach();
        spawn(follow_fleet(Rc::clone(core))).detach();
        spawn(recall_departures(Rc::clone(core))).detach();
        spawn(follow_rates(Rc::clone(core))).detach();
        spawn(follow_claims(Rc::clone(core))).detach();
        spawn(repeat_config(Rc::clone(core))).detach();
        let announcement = self.announcement();
        spawn(announce_node(Rc::clone(core), announcement)).detach();
    }

    fn announcement(&self) -> MemberAnnouncement {
        let settings = &self.core.settings;
        MemberAnnouncement {
            vm: settings.vm.clone(),
            centre: settings.centre.clone(),
            service: settings.service.clone(),
            peer_addr: settings.advertised_address.unwrap_or(self.peer_address),
            slots: settings.backend_slots,
            incarnation: self
                .core
                .with_random(|random| random.random_range(1..MAX_FIRST_INCARNATION)),
            sequence: 0,
            state: MemberState::Starting,
            valid_ms: 0,
        }
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for the backend server's own calls.
    #[must_use]
    pub const fn egress_address(&self) -> SocketAddr {
        self.egress_address
    }

    /// Returns the address for other nodes.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address for metrics, dumps and readiness.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Stops the node gracefully: it accepts no new calls, and running calls are completed.
    ///
    /// First the other nodes are notified and callers are asked to use other nodes. Then the
    /// connections of callers are closed, and then those of the backend server, each after its last
    /// answer. After the stop limit of the settings, the remaining calls aren't waited for.
    pub async fn stop(&self) {
        let core = &self.core;
        let deadline = core.now().plus_ms(core.settings.stop_limit_ms);
        core.leave();
        core.stop.trigger();
        sleep(Duration::from_millis(LEAVE_DELAY_MS)).await;
        core.drain.trigger();
        let is_serving = || core.arrived.get() > 0 || core.open_connections.get() > 0;
        self.wait_while(is_serving, deadline).await;
        core.close.trigger();
        let is_calling = || core.egress_connections.get() > 0;
        self.wait_while(is_calling, deadline).await;
        sleep(Duration::from_millis(FLUSH_DELAY_MS)).await;
    }

    async fn wait_while(&self, is_busy: impl Fn() -> bool, deadline: ClockTime) {
        while is_busy() && self.core.now() < deadline {
            sleep(Duration::from_millis(TICK_MS)).await;
        }
    }
}

/// The kind of an optional port.
#[derive(Clone, Copy)]
enum PortKind {
    /// Receives the reports of the backend server.
    Reports,
    /// Serves metrics.
    Metrics,
}

fn serve_extra(core: &Rc<NodeCore>, kind: PortKind, listener: TcpListener) {
    let core = Rc::clone(core);
    match kind {
        PortKind::Reports => {
            spawn(serve_port(core, PortUser::Report, listener, answer_report)).detach();
        }
        PortKind::Metrics => {
            spawn(serve_port(core, PortUser::Metric, listener, answer_admin)).detach();
        }
    }
}

async fn listen(port: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| NodeError::Listen {
        port,
        address,
        error,
    })
}

fn address_of(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

async fn serve_peers(core: Rc<NodeCore>, listener: TcpListener) {
    let port = Rc::new(PeerPort::new(Rc::clone(&core)));
    let settings = &core.settings;
    let server = PeerServer::new(port, settings.secret.clone(), settings.link);
    let server = Rc::new(server);
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(TICK_MS)).await;
            continue;
        };
        let client = core.clients.open(ClientPort::Peers);
        close_excess(&core, ClientPort::Peers);
        if client.is_closed() {
            continue;
        }
        let server = Rc::clone(&server);
        let core = Rc::clone(&core);
        spawn(async move {
            // The connection counts as that of a client until its peer has authenticated.
            let authenticating = pin!(server.authenticate_peer(stream));
            let peer = match select(authenticating, pin!(client.closed())).await {
                Either::Left((Ok(Some(peer)), _)) => peer,
                Either::Left((Err(error), _)) if core.may_log() => {
                    log::info!("event=link-ended from={from} error={:?}", error.to_string());
                    return;
                }
                _ => return,
            };
            drop(client);
            if let Err(error) = server.serve_peer(peer).await {
                log::info!("event=link-ended from={from} error={:?}", error.to_string());
            }
        })
        .detach();
    }
}

/// Waits until other nodes are known, for at most the start wait of the settings.
///
/// When all nodes start at once, this keeps each of them from reading from the log what one node
/// could read and relay to the others.
async fn discover_members(core: &Rc<NodeCore>) {
    let until = core.now().plus_ms(core.settings.start_wait_ms);
    while core.now() < until && core.appender_vm.borrow().is_none() {
        sleep(Duration::from_millis(TICK_MS)).await;
        apply_members(core);
    }
}

async fn follow_config(core: Rc<NodeCore>) {
    discover_members(&core).await;
    let watch = ConfigWatch(Rc::clone(&core));
    core.config.follow(&core.log, &watch).await;
}

async fn follow_fleet(core: Rc<NodeCore>) {
    let watch = FleetWatch(Rc::clone(&core));
    core.fleet.follow(&core.log, &watch).await;
}

async fn follow_rates(core: Rc<NodeCore>) {
    discover_members(&core).await;
    let watch = RateWatch(Rc::clone(&core));
    core.rates.follow(&core.log, &watch).await;
}

/// Follows the claims from the time that a contract first has once calls.
async fn follow_claims(core: Rc<NodeCore>) {
    while !has_once_calls(&core) {
        sleep(Duration::from_millis(MEMBER_TICK_MS)).await;
    }
    let watch = ClaimWatch(Rc::clone(&core));
    core.claims.follow(&core.log, &watch).await;
}

fn has_once_calls(core: &NodeCore) -> bool {
    let contract = core.contract();
    let mut calls = contract
        .services
        .values()
        .flat_map(|service| service.calls.values());
    calls.any(|call| call.once)
}

/// Runs the timers of what decides about requests, less often while nothing is due.
async fn run_timers(core: Rc<NodeCore>) {
    loop {
        sleep(Duration::from_millis(TICK_MS)).await;
        let now = core.now();
        core.config.with(|state| state.feed.record_run(now));
        core.held.abort_unread(now, core.settings.stall_limit_ms);
        if core.gate.next_tick().is_some_and(|due| due <= now) {
            core.gate.tick(now);
        }
        poll_rates(&core, now);
        poll_claims(&core, now);
        poll_suspects(&core);
        sync_opened_peers(&core);
        let idle_ms = now.until_ms(next_due_at(&core)).min(MAX_IDLE_MS);
        if idle_ms > TICK_MS {
            let idle = Duration::from_millis(idle_ms - TICK_MS);
            let _ = timeout(idle, core.activity.wait()).await;
        }
    }
}

/// Returns when the next timer is due, unless an event makes one due earlier.
fn next_due_at(core: &NodeCore) -> ClockTime {
    let rates = core.rates.with(|feed| feed.fold().limiter.next_poll());
    let claims = core.claims.with(|feed| feed.fold().table.next_poll());
    let due = [core.gate.next_tick(), core.suspects.borrow().next_poll()];
    due.into_iter()
        .flatten()
        .fold(rates.min(claims), ClockTime::min)
}

/// Removes expired members, applies changes of the members, and runs the timers of the routers.
async fn maintain_members(core: Rc<NodeCore>) {
    let mut usage_report = UsageReport::default();
    loop {
        sleep(Duration::from_millis(MEMBER_TICK_MS)).await;
        let now = core.now();
        core.fleet.with(|feed| {
            if let Some(fresh_at) = feed.fresh_at() {
                feed.fold().expire(now.minus_ms(fresh_at.age_ms(now)));
            }
        });
        apply_members(&core);
        close_slow_clients(&core);
        for router in core.routers.borrow_mut().values_mut() {
            router.tick(now);
        }
        usage_report.log_if_due(&core);
    }
}
