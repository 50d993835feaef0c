use std::net::{Ipv4Addr, SocketAddr};

use limit::QueueSettings;
use member::MemberSettings;
use model::{CentreName, ServiceName, VmName};
use rate::RateSettings;
use retry::BudgetSettings;
use streams::{FollowSettings, PlanSettings, TrustSettings};
use wire::{FleetSecret, LinkSettings};

use crate::edge_settings::EdgeSettings;
use crate::report_port::NoticeReader;

/// The retries to a service in a window besides those that calls pay for, in thousandths: all calls
/// that ran on one VM may fail at once, so as many as a large VM has slots.
const RETRY_SLACK: u64 = 200_000;

/// How a node hears of its backend server from that server itself.
#[derive(Clone, Copy, Debug)]
pub struct ReportSettings {
    /// The address where the backend server reports.
    pub address: SocketAddr,
    /// Reads what it says.
    pub read_notice: NoticeReader,
    /// The time after its leaving for which calls that were let in before may reach it, in
    /// milliseconds.
    pub leave_grace_ms: u64,
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The name of this VM, new for every start.
    pub vm: VmName,
    /// The data centre of this VM.
    pub centre: CentreName,
    /// The service that the backend server of this VM offers.
    pub service: ServiceName,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The loopback address for the backend server's own calls.
    pub egress_address: SocketAddr,
    /// The address for other nodes.
    pub peer_address: SocketAddr,
    /// The address that other nodes are told, when it isn't `peer_address`.
    pub advertised_address: Option<SocketAddr>,
    /// The address for metrics, dumps and readiness.
    pub admin_address: SocketAddr,
    /// The address of the backend server.
    pub backend_address: SocketAddr,
    /// The requests that the backend server can run at once.
    pub backend_slots: u32,
    /// The address of the platform's log.
    pub platform_address: SocketAddr,
    /// The addresses of nodes to learn from when the platform's log is down.
    pub peers: Vec<SocketAddr>,
    /// The secret that all nodes of the fleet hold.
    pub secret: FleetSecret,
    /// The longest time that a stop waits for running calls, in milliseconds.
    pub stop_limit_ms: u64,
    /// The time after which a transfer that makes no progress is cut, in milliseconds.
    pub stall_limit_ms: u64,
    /// The time in which the head of a request must arrive whole, in milliseconds.
    pub head_limit_ms: u64,
    /// The settings of links to other nodes.
    pub link: LinkSettings,
    /// How calls wait for the backend server and are shed.
    pub queue: QueueSettings,
    /// How the node speaks with callers and with the backend server.
    pub edge: EdgeSettings,
    /// How the backend server tells of itself; without, it is taken to be there for good.
    pub reports: Option<ReportSettings>,
    /// An address for metrics alone, beside the admin address.
    pub metrics_address: Option<SocketAddr>,
    /// The largest body that is read whole before it is sent on, in bytes.
    pub whole_body_bytes: u64,
    /// The retries that this node may send to a service.
    pub retry_budget: BudgetSettings,
    /// The part of these that the whole fleet shares, in thousandths, in place of the node's own
    /// slack.
    pub fleet_retry_slack: Option<u64>,
    /// How the configuration is followed.
    pub follow: FollowSettings,
    /// How the other streams of the log are followed.
    pub follow_others: FollowSettings,
    /// How many nodes of a data centre read the configuration, and how it goes on to the others.
    pub plan: PlanSettings,
    /// The same for the other streams.
    pub plan_others: PlanSettings,
    /// For how long keys are trusted without news.
    pub trust: TrustSettings,
    /// The longest time for which a node that starts looks for others to learn the state from,
    /// before it reads it from the log itself, in milliseconds.
    pub start_wait_ms: u64,
    /// How membership is kept.
    pub members: MemberSettings,
    /// How the teams are kept to their rates.
    pub rates: RateSettings,
}

impl NodeSettings {
    /// Creates settings for a node on loopback, with ports that the system picks.
    #[must_use]
    pub fn loopback(vm: VmName, service: ServiceName, secret: FleetSecret) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            vm,
            centre: CentreName::new("local"),
            service,
            caller_address: any_port,
            egress_address: any_port,
            peer_address: any_port,
            advertised_address: None,
            admin_address: any_port,
            backend_address: any_port,
            backend_slots: 64,
            platform_address: any_port,
            peers: Vec::new(),
            secret,
            stop_limit_ms: 60_000,
            stall_limit_ms: 30_000,
            head_limit_ms: 10_000,
            link: LinkSettings::default(),
            queue: QueueSettings::default(),
            edge: EdgeSettings::default(),
            reports: None,
            metrics_address: None,
            whole_body_bytes: 64 * 1024,
            retry_budget: BudgetSettings {
                slack_thousandths: RETRY_SLACK,
                ..BudgetSettings::default()
            },
            fleet_retry_slack: None,
            follow: FollowSettings::default(),
            follow_others: FollowSettings::default(),
            plan: PlanSettings::default(),
            plan_others: PlanSettings::default(),
            trust: TrustSettings::default(),
            start_wait_ms: 0,
            members: MemberSettings::default(),
            rates: RateSettings::default(),
        }
    }
}
