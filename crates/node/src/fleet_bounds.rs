use limit::{QueueSettings, ShedSettings};
use member::MemberSettings;
use rate::RateSettings;
use retry::RatioSettings;
use streams::{FollowSettings, PlanSettings, TrustSettings};

use crate::node_settings::NodeSettings;

/// The bounds that operators set for a fleet, from which a node's own settings follow.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBounds {
    /// The time after which a withdrawn key must not work, in milliseconds.
    pub revoke_ms: u64,
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
    /// The time for which the log keeps records, in milliseconds.
    pub retention_ms: u64,
}

impl Default for FleetBounds {
    fn default() -> Self {
        Self {
            revoke_ms: 5_000,
            is_fail_closed: true,
            drain_ms: 2_000,
            stop_ms: 6_000,
            retry_ratio: 0.2,
            retry_slack: 49,
            retention_ms: 20_000,
        }
    }
}

/// The time between the last check of a key and the run that it allows, in milliseconds.
const KEY_MARGIN_MS: u64 = 500;
/// The time before the end of a stop by which the last connection is closed, in milliseconds.
const STOP_MARGIN_MS: u64 = 700;
/// The time that a read of the log waits for news, in milliseconds: two such waits and an answer
/// are younger than the news that keys are trusted by.
const READ_WAIT_MS: u64 = 1_900;
/// The same for the streams that tell of members and leases; news ends the wait at once.
const OTHERS_WAIT_MS: u64 = 1_200;
/// The shortest time between two reads of these, in milliseconds; a start or a leave reaches
/// other nodes directly as well, and a lease outlasts several such gaps.
const OTHERS_GAP_MS: u64 = 700;
/// The time that a question to another node for these waits for news, in milliseconds.
const OTHERS_PULL_MS: u64 = 1_000;
/// The nodes of a data centre that read the configuration themselves, so that each learns of a
/// withdrawn key without another node; beyond that number it goes from node to node.
const CONFIG_READERS: usize = 24;
/// The nodes of a data centre that read the other streams.
const OTHERS_READERS: usize = 1;
/// The time beyond a read's wait after which another is asked for beside it, in milliseconds.
const HEDGE_MS: u64 = 600;
/// The part of the allowed retries that nodes spend, as those of the calls that a repeated run
/// makes count too.
const RETRY_PART: f64 = 0.5;
/// The nodes that the retries of the whole fleet are shared between.
const RETRY_NODES: u64 = 16;
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
            retry_ratio: ratio_of(bounds),
            follow: FollowSettings {
                read_wait_ms: READ_WAIT_MS,
                hedge_after_ms: READ_WAIT_MS + HEDGE_MS,
                pull_after_ms: 2 * READ_WAIT_MS + HEDGE_MS / 2,
                ..FollowSettings::default()
            },
            follow_others: FollowSettings {
                read_wait_ms: OTHERS_WAIT_MS,
                read_gap_ms: OTHERS_GAP_MS,
                hedge_after_ms: OTHERS_WAIT_MS + HEDGE_MS,
                pull_wait_ms: OTHERS_PULL_MS,
                pull_after_ms: 2 * OTHERS_WAIT_MS + HEDGE_MS / 2,
                direct_after_ms: 2 * OTHERS_WAIT_MS + HEDGE_MS,
                ..FollowSettings::default()
            },
            plan: PlanSettings {
                readers: CONFIG_READERS,
                ..PlanSettings::default()
            },
            plan_others: PlanSettings {
                readers: OTHERS_READERS,
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

/// Returns one node's part of the retries that the fleet allows.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the ratio is clamped to what a node may spend"
)]
fn ratio_of(bounds: &FleetBounds) -> RatioSettings {
    let per_thousand = bounds.retry_ratio * RETRY_PART * 1_000.0;
    RatioSettings {
        per_thousand: per_thousand.clamp(0.0, 1_000.0) as u64,
        max_saved: (bounds.retry_slack / RETRY_NODES).max(1),
    }
}
