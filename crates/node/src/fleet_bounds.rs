use limit::{QueueSettings, ShedSettings};
use member::MemberSettings;
use rate::RateSettings;
use retry::BudgetSettings;
use streams::{FollowSettings, PlanSettings, TrustSettings};

use wire::LinkSettings;

use crate::node_settings::NodeSettings;

/// The bounds that operators set for a fleet, from which a node's own settings follow.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBounds {
    /// The time after which a withdrawn key must not work, in milliseconds.
    pub revoke_ms: u64,
    /// The time after which a configuration must be in force everywhere, in milliseconds.
    pub config_ms: u64,
    /// Whether keys aren't trusted while the log can't be read.
    pub is_fail_closed: bool,
    /// The time after which nothing may reach a backend server that leaves, in milliseconds.
    pub drain_ms: u64,
    /// The time that a process has to stop, in milliseconds.
    pub stop_ms: u64,
    /// The calls that may be sent again, as a part of all calls to a service.
    pub retry_ratio: f64,
    /// The calls that may be sent again besides, over the whole fleet.
    pub retry_slack: u64,
    /// The time in which both are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// The time for which the log keeps records, in milliseconds.
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
            retention_ms: 20_000,
        }
    }
}

/// The time between the last check of a key and the run that it allows, in milliseconds.
const KEY_MARGIN_MS: u64 = 500;
/// The time before the end of a stop by which the last connection is closed, in milliseconds.
const STOP_MARGIN_MS: u64 = 700;
/// The part of the time for a configuration, as a divisor, that is left to a node whose source of
/// news has fallen silent: it asks elsewhere once its news is older than the rest.
const LATE_PART: u64 = 4;
/// The time between the end of a read of the log, on which the next begins, and its arrival at
/// nodes that are far from the reader, in milliseconds.
const SPREAD_MS: u64 = 150;
/// The time that a read of the streams that tell of members and leases waits, in milliseconds.
const OTHERS_WAIT_MS: u64 = 1_500;
/// The shortest time between two reads of these, in milliseconds; a start or a leave reaches
/// other nodes directly as well, and a lease outlasts several such gaps.
const OTHERS_GAP_MS: u64 = 1_000;
/// The time after which a link that nothing uses is closed, in milliseconds: each end of one takes
/// some 40 kB, and a node reaches more VMs now and then than it does all the time.
const LINK_IDLE_MS: u64 = 8_000;
/// The time for which a node that starts looks for others, in milliseconds: where all start at
/// once, the second read of the members brings them.
const START_WAIT_MS: u64 = OTHERS_GAP_MS + 200;
/// The data centres in which a node reads the log for all, so that one may be lost.
const READING_CENTRES: usize = 2;
/// The nodes by which news enters a data centre.
const CENTRE_HEADS: usize = 1;
/// The time beyond a read's wait after which another is asked for beside it, in milliseconds.
const HEDGE_MS: u64 = 600;
/// The longest random wait of a node before it reads the log since its sources are silent, in
/// milliseconds.
const DIRECT_SPREAD_MS: u64 = 300;
/// The part of the allowed retries that nodes spend, as each counts the greater of two windows, and
/// as the calls that a repeated run makes count too.
const RETRY_PART: f64 = 0.5;
/// The time without a renewal after which a lease on tokens is free, in milliseconds. Keys aren't
/// trusted for longer without the log, so no lease needs to outlast an outage.
const LEASE_MS: u64 = 4_500;
/// The longest that a request waits for its team's tokens, in milliseconds: several times a
/// question to another data centre and its answer.
const TOKEN_WAIT_MS: u64 = 250;
/// The wait that is held at a backend server while requests are shed, in milliseconds. A request
/// that makes a dozen calls, four of them one after the other, waits as often within its second.
const TARGET_WAIT_MS: u64 = 40;
/// The parts of the log's retention after which what must last is repeated.
const REPEATS: u64 = 4;
/// The shortest time between two repeats, in milliseconds.
const MIN_REPEAT_MS: u64 = 2_000;
/// The longest time between two repeats, in milliseconds.
const MAX_REPEAT_MS: u64 = 10_000;
/// The time that an idle connection of a caller is kept, in milliseconds; callers close theirs
/// earlier.
const IDLE_MS: u64 = 60_000;
/// The largest body that is read whole, in bytes, so that a call can move to another VM.
const WHOLE_BODY_BYTES: u64 = 512 * 1024;

impl NodeSettings {
    /// Returns the settings with all that follows from a fleet's bounds.
    #[must_use]
    pub fn with_bounds(self, bounds: &FleetBounds) -> Self {
        let trust = TrustSettings::default();
        let repeat_ms = (bounds.retention_ms / REPEATS).clamp(MIN_REPEAT_MS, MAX_REPEAT_MS);
        Self {
            stop_limit_ms: bounds.stop_ms.saturating_sub(STOP_MARGIN_MS),
            head_limit_ms: IDLE_MS,
            whole_body_bytes: WHOLE_BODY_BYTES,
            retry_budget: BudgetSettings {
                per_thousand: retries_of(bounds.retry_ratio),
                window_ms: bounds.retry_window_ms,
                ..BudgetSettings::default()
            },
            fleet_retry_slack: Some(bounds.retry_slack * retries_of(1.0)),
            follow: config_follow(bounds),
            follow_others: FollowSettings {
                read_wait_ms: OTHERS_WAIT_MS,
                read_interval_ms: OTHERS_GAP_MS,
                hedge_after_ms: OTHERS_WAIT_MS + HEDGE_MS,
                pull_wait_ms: OTHERS_WAIT_MS + SPREAD_MS,
                pull_after_ms: 2 * OTHERS_WAIT_MS + HEDGE_MS / 2,
                direct_after_ms: 2 * OTHERS_WAIT_MS + HEDGE_MS,
                ..FollowSettings::default()
            },
            plan: PlanSettings {
                gateways: CENTRE_HEADS,
                reading_centres: READING_CENTRES,
                ..PlanSettings::default()
            },
            plan_others: PlanSettings {
                gateways: CENTRE_HEADS,
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
            queue: QueueSettings {
                shed: ShedSettings {
                    target_wait_ms: TARGET_WAIT_MS,
                    ..ShedSettings::default()
                },
                ..QueueSettings::default()
            },
            link: LinkSettings {
                idle_close_ms: LINK_IDLE_MS,
                ..self.link
            },
            start_wait_ms: START_WAIT_MS,
            members: MemberSettings {
                min_refresh_ms: repeat_ms,
                ..MemberSettings::default()
            },
            rates: RateSettings {
                abandon_ms: LEASE_MS,
                snapshot_ms: repeat_ms,
                wait_ms: TOKEN_WAIT_MS,
                ..RateSettings::default()
            },
            ..self
        }
    }
}

/// Returns how the configuration is followed, so that a node whose source of news falls silent
/// just before a change still has it in force in time.
///
/// The news of a reader is as old as two waits at most, since the next read begins as one ends.
fn config_follow(bounds: &FleetBounds) -> FollowSettings {
    let late_ms = bounds.config_ms - bounds.config_ms / LATE_PART;
    let wait_ms = (late_ms / 2).saturating_sub(SPREAD_MS).max(SPREAD_MS);
    FollowSettings {
        read_wait_ms: wait_ms,
        hedge_after_ms: wait_ms + HEDGE_MS / 2,
        pull_wait_ms: wait_ms + SPREAD_MS,
        pull_after_ms: late_ms,
        direct_after_ms: late_ms,
        direct_jitter_ms: DIRECT_SPREAD_MS,
        ..FollowSettings::default()
    }
}

/// Returns the retries that the nodes spend of a part of the calls, in thousandths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the part is clamped to a thousand thousandths"
)]
fn retries_of(part: f64) -> u64 {
    (part * RETRY_PART * 1_000.0).clamp(0.0, 1_000.0) as u64
}
