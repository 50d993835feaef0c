use std::net::{Ipv4Addr, SocketAddr};

use limit::QueueSettings;
use member::MemberSettings;
use model::{CentreName, ServiceName, VmName};
use rate::RateSettings;
use retry::BudgetSettings;
use streams::{FollowSettings, PlanSettings, ResumeSettings, TrustSettings};
use wire::{FleetSecret, LinkSettings};

use crate::ahead_settings::AheadSettings;
use crate::answer_limits::AnswerLimits;
use crate::client_settings::ClientSettings;
use crate::edge_settings::EdgeSettings;
use crate::report_port::NoticeReader;

/// The retries to a service per window that are allowed in addition to a ratio of the calls, in
/// thousandths. All calls that run on a VM may fail at once, so this is the number of slots of a
/// large VM.
const RETRY_SLACK_THOUSANDTHS: u64 = 200_000;

/// How a backend server reports its state to its node.
#[derive(Clone, Copy, Debug)]
pub struct ReportSettings {
    /// The address on which the node receives the reports.
    pub address: SocketAddr,
    /// Parses a report.
    pub read_notice: NoticeReader,
    /// How long after the start of a leave the calls admitted before it may still be sent to the
    /// backend server, in milliseconds.
    pub leave_grace_ms: u64,
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The name of this VM, which is new for every start.
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
    /// The address announced to other nodes, if it isn't `peer_address`.
    pub advertised_address: Option<SocketAddr>,
    /// The address for metrics, dumps and readiness.
    pub admin_address: SocketAddr,
    /// The address of the backend server.
    pub backend_address: SocketAddr,
    /// The number of requests that the backend server can run at once.
    pub backend_slots: u32,
    /// The address of the platform's log.
    pub platform_address: SocketAddr,
    /// The addresses of nodes to pull from while no members are known, as when the platform's log
    /// is down.
    pub peers: Vec<SocketAddr>,
    /// The secret that all nodes of the fleet share.
    pub secret: FleetSecret,
    /// The maximum time that a stop waits for running calls, in milliseconds.
    pub stop_limit_ms: u64,
    /// The time after which a transfer without progress is aborted, in milliseconds.
    pub stall_limit_ms: u64,
    /// The time in which the complete head of a request must arrive, in milliseconds.
    pub head_limit_ms: u64,
    /// The requests that callers send before earlier ones are answered.
    pub ahead: AheadSettings,
    /// The bounds on the answers of the backend server.
    pub answers: AnswerLimits,
    /// What clients may send, and what is held for them.
    pub clients: ClientSettings,
    /// The settings of links to other nodes.
    pub link: LinkSettings,
    /// How calls are queued for the backend server and shed.
    pub queue: QueueSettings,
    /// The HTTP interface to callers and the backend server.
    pub edge: EdgeSettings,
    /// How the backend server reports its state, or `None` if it is assumed to accept calls at all
    /// times.
    pub reports: Option<ReportSettings>,
    /// An additional address that serves the same paths as the admin address, for metrics.
    pub metrics_address: Option<SocketAddr>,
    /// The largest body that is buffered whole before it is forwarded, in bytes.
    pub whole_body_bytes: u64,
    /// The retry budget of this node for each service.
    pub retry_budget: BudgetSettings,
    /// The retry slack that the whole fleet shares, in thousandths; it replaces the slack of
    /// `retry_budget`.
    pub fleet_retry_slack: Option<u64>,
    /// How the configuration is followed.
    pub follow: FollowSettings,
    /// How the other streams of the log are followed.
    pub follow_others: FollowSettings,
    /// Which nodes read the configuration from the log, and how they relay it to the others.
    pub plan: PlanSettings,
    /// The same for the other streams.
    pub plan_others: PlanSettings,
    /// For how long keys are trusted without updates.
    pub trust: TrustSettings,
    /// How long requests wait for a current configuration after a pause of the process.
    pub resume: ResumeSettings,
    /// The maximum time that a starting node waits to discover other nodes to pull from before it
    /// reads the configuration and the rates from the log itself, in milliseconds.
    pub start_wait_ms: u64,
    /// The settings of the membership.
    pub members: MemberSettings,
    /// The settings of the teams' rate limits.
    pub rates: RateSettings,
}

impl NodeSettings {
    /// Creates the settings of a node on the loopback address, with ports chosen by the operating
    /// system.
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
            ahead: AheadSettings::default(),
            answers: AnswerLimits::default(),
            clients: ClientSettings::default(),
            link: LinkSettings::default(),
            queue: QueueSettings::default(),
            edge: EdgeSettings::default(),
            reports: None,
            metrics_address: None,
            whole_body_bytes: 64 * 1024,
            retry_budget: BudgetSettings {
                slack_thousandths: RETRY_SLACK_THOUSANDTHS,
                ..BudgetSettings::default()
            },
            fleet_retry_slack: None,
            follow: FollowSettings::default(),
            follow_others: FollowSettings::default(),
            plan: PlanSettings::default(),
            plan_others: PlanSettings::default(),
            trust: TrustSettings::default(),
            resume: ResumeSettings::default(),
            start_wait_ms: 0,
            members: MemberSettings::default(),
            rates: RateSettings::default(),
        }
    }
}
