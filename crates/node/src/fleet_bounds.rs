use limit::{QueueSettings, ShedSettings, WarmUpSettings};
use member::MemberSettings;
use rate::RateSettings;
use retry::BudgetSettings;
use streams::{FollowSettings, PlanSettings, ResumeSettings, TrustSettings};

use wire::LinkSettings;

use crate::node_settings::NodeSettings;

/// The bounds that operators set for a fleet, from which the settings of each node are derived.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBounds {
    /// The maximum time until a withdrawn key stops working, in milliseconds.
    pub revoke_ms: u64,
    /// The maximum time until a configuration is in force on all nodes, in milliseconds.
    pub config_ms: u64,
    /// Whether keys stop being trusted after `revoke_ms` even while no data centre can read the
    /// log.
    pub is_fail_closed: bool,
    /// The maximum time during which a leaving backend server still receives calls, in
    /// milliseconds.
    pub drain_ms: u64,
    /// The maximum time that a process takes to stop, in milliseconds.
    pub stop_ms: u64,
    /// The maximum ratio of retries to calls, per service.
    pub retry_ratio: f64,
    /// The retries allowed in addition, per service and window in the whole fleet.
    pub retry_slack: u64,
    /// The length of the window in which calls and retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// The factor on the rate that a cold backend server bears which gives the maximum rate of its
    /// requests in any second, or `None` if the fleet has no such bound.
    pub cold_over: Option<f64>,
    /// The requests that a cold backend server may get in a second beyond that.
    pub cold_slack: f64,
    /// The time for which the log retains records, in milliseconds.
    pub retention_ms: u64,
}

impl Default for FleetBounds {
    fn default() -> Self {
        Self {
            revoke_ms: 5_000,
            config_ms: 2_000,
            is_fail_closed: true,
            drain_ms: 2_000,
            stop_ms: 6_000,
            retry_ratio: 0.2,
            retry_slack: 49,
            retry_window_ms: 10_000,
            cold_over: None,
            cold_slack: 0.0,
            retention_ms: 20_000,
        }
    }
}

/// The maximum time from the check of a key to the run of the call that it authorizes, in
/// milliseconds.
const KEY_MARGIN_MS: u64 = 500;
/// How long before the end of a stop the last connection is closed, in milliseconds.
const STOP_MARGIN_MS: u64 = 700;
/// The divisor of `config_ms` that gives the time reserved for a node whose source of updates has
/// stopped responding: the node turns to other sources when its last update is older than the
/// remaining time.
const FALLBACK_DIVISOR: u64 = 4;
/// The time from the end of a read of the log, when the next one starts, until its records reach
/// the nodes that are farthest from the reader, in milliseconds.
const RELAY_DELAY_MS: u64 = 150;
/// How long a read of a stream other than the configuration, such as members or leases, waits for
/// new records, in milliseconds.
const OTHERS_READ_WAIT_MS: u64 = 1_500;
/// The minimum time between two reads of such a stream, in milliseconds. Other nodes also learn of
/// a start or a leave by direct messages, and a lease outlasts several of these intervals.
const OTHERS_READ_INTERVAL_MS: u64 = 1_000;
/// The time after which an unused link is closed, in milliseconds. Each end of a link takes about
/// 40 kB, and a node calls many VMs only occasionally.
const LINK_IDLE_CLOSE_MS: u64 = 8_000;
/// How long a starting node waits to discover other nodes, in milliseconds. When all nodes start at
/// once, they appear in the second read of the members.
const START_WAIT_MS: u64 = OTHERS_READ_INTERVAL_MS + 200;
/// The number of data centres whose gateway nodes read the log, so that one of them may fail.
const READING_CENTRES: usize = 2;
/// The number of gateway nodes of a data centre.
const GATEWAYS_PER_CENTRE: usize = 1;
/// The time beyond the wait of a read after which it is hedged by another one, in milliseconds.
const HEDGE_DELAY_MS: u64 = 600;
/// The maximum random delay before a node whose sources don't respond reads the log itself, in
/// milliseconds.
const DIRECT_JITTER_MS: u64 = 300;
/// The fraction of the allowed retries that nodes spend. It is below 1 because each node counts the
/// calls of the greater of two windows, and because the nested calls of a retried call count as
/// calls too.
const RETRY_SAFETY_FACTOR: f64 = 0.5;
/// The time without a renewal after which a lease on tokens expires, in milliseconds. Without the
/// log, keys aren't trusted for longer than this, so no lease needs to outlast an outage.
const LEASE_TIMEOUT_MS: u64 = 4_500;
/// The maximum time that a request waits for its team's tokens, in milliseconds: several round
/// trips to another data centre.
const TOKEN_WAIT_MS: u64 = 250;
/// The queue wait that load shedding aims for at a backend server, in milliseconds. A request with
/// a deadline of one second may make a dozen calls, four of them in sequence, and so wait four
/// times.
const TARGET_QUEUE_WAIT_MS: u64 = 40;
/// How many times records that must persist are repeated within the log's retention.
const REPEATS_PER_RETENTION: u64 = 4;
/// The minimum time between two repeats, in milliseconds.
const MIN_REPEAT_MS: u64 = 2_000;
/// The maximum time between two repeats, in milliseconds.
const MAX_REPEAT_MS: u64 = 10_000;
/// The time after which an idle connection of a caller is closed, in milliseconds. It is longer
/// than the idle timeout of the callers, so that they close connections first.
const CALLER_IDLE_MS: u64 = 60_000;
/// The largest body that is buffered whole so that its call can be retried on another VM, in bytes.
const MAX_WHOLE_BODY_BYTES: u64 = 512 * 1024;

impl NodeSettings {
    /// Returns these settings with the ones that are derived from a fleet's bounds replaced.
    #[must_use]
    pub fn with_bounds(self, bounds: &FleetBounds) -> Self {
        let trust = TrustSettings::default();
        let repeat_ms =
            (bounds.retention_ms / REPEATS_PER_RETENTION).clamp(MIN_REPEAT_MS, MAX_REPEAT_MS);
        Self {
            stop_limit_ms: bounds.stop_ms.saturating_sub(STOP_MARGIN_MS),
            head_limit_ms: CALLER_IDLE_MS,
            whole_body_bytes: MAX_WHOLE_BODY_BYTES,
            retry_budget: BudgetSettings {
                per_thousand: effective_retries(bounds.retry_ratio),
                window_ms: bounds.retry_window_ms,
                ..BudgetSettings::default()
            },
            fleet_retry_slack: Some(bounds.retry_slack * effective_retries(1.0)),
            follow: config_follow(bounds),
            follow_others: FollowSettings {
                read_wait_ms: OTHERS_READ_WAIT_MS,
                read_interval_ms: OTHERS_READ_INTERVAL_MS,
                hedge_after_ms: OTHERS_READ_WAIT_MS + HEDGE_DELAY_MS,
                pull_wait_ms: OTHERS_READ_WAIT_MS + RELAY_DELAY_MS,
                pull_after_ms: 2 * OTHERS_READ_WAIT_MS + HEDGE_DELAY_MS / 2,
                direct_after_ms: 2 * OTHERS_READ_WAIT_MS + HEDGE_DELAY_MS,
                ..FollowSettings::default()
            },
            plan: PlanSettings {
                gateways: GATEWAYS_PER_CENTRE,
                reading_centres: READING_CENTRES,
                ..PlanSettings::default()
            },
            plan_others: PlanSettings {
                gateways: GATEWAYS_PER_CENTRE,
                reading_centres: READING_CENTRES,
                ..PlanSettings::default()
            },
            trust: TrustSettings {
                fresh_ms: bounds.revoke_ms.saturating_sub(KEY_MARGIN_MS),
                outage_ms: if bounds.is_fail_closed {
                    0
                } else {
                    trust.outage_ms
                },
                ..trust
            },
            resume: ResumeSettings {
                max_age_ms: max_config_age_ms(bounds),
                ..ResumeSettings::default()
            },
            queue: QueueSettings {
                shed: ShedSettings {
                    target_wait_ms: TARGET_QUEUE_WAIT_MS,
                    ..ShedSettings::default()
                },
                warm_up: warm_up_settings(bounds),
                ..QueueSettings::default()
            },
            link: LinkSettings {
                idle_close_ms: LINK_IDLE_CLOSE_MS,
                ..self.link
            },
            start_wait_ms: START_WAIT_MS,
            members: MemberSettings {
                min_refresh_ms: repeat_ms,
                ..MemberSettings::default()
            },
            rates: RateSettings {
                abandon_ms: LEASE_TIMEOUT_MS,
                snapshot_ms: repeat_ms,
                wait_ms: TOKEN_WAIT_MS,
                ..RateSettings::default()
            },
            ..self
        }
    }
}

fn warm_up_settings(bounds: &FleetBounds) -> WarmUpSettings {
    let default = WarmUpSettings::default();
    WarmUpSettings {
        over: bounds.cold_over.unwrap_or(default.over),
        slack: bounds.cold_slack,
        awaits_terms: bounds.cold_over.is_some(),
    }
}

/// Returns the age of the last update from which on a node turns to other sources, in milliseconds.
const fn max_config_age_ms(bounds: &FleetBounds) -> u64 {
    bounds.config_ms - bounds.config_ms / FALLBACK_DIVISOR
}

/// Returns the settings for following the configuration, chosen so that a change is in force in
/// time even on a node whose source of updates stops responding just before it.
///
/// The last update of a reader is at most as old as two read waits, as each read starts when the
/// previous one ends.
fn config_follow(bounds: &FleetBounds) -> FollowSettings {
    let max_age_ms = max_config_age_ms(bounds);
    let wait_ms = (max_age_ms / 2)
        .saturating_sub(RELAY_DELAY_MS)
        .max(RELAY_DELAY_MS);
    FollowSettings {
        read_wait_ms: wait_ms,
        hedge_after_ms: wait_ms + HEDGE_DELAY_MS / 2,
        pull_wait_ms: wait_ms + RELAY_DELAY_MS,
        pull_after_ms: max_age_ms,
        direct_after_ms: max_age_ms,
        direct_jitter_ms: DIRECT_JITTER_MS,
        ..FollowSettings::default()
    }
}

/// Returns a ratio of allowed retries, reduced by [`RETRY_SAFETY_FACTOR`], in thousandths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the result is clamped to at most 1000"
)]
fn effective_retries(fraction: f64) -> u64 {
    (fraction * RETRY_SAFETY_FACTOR * 1_000.0).clamp(0.0, 1_000.0) as u64
}
