//! The parameters of a schedule and its faults.

use lentilshift_once::OnceSettings;

/// Fault probabilities, per ten thousand events, and durations in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub kill: u32,
    pub pause: u32,
    pub pause_ms: u64,
    pub append_fault: u32,
    pub outage_ms: u64,
    pub retention_ms: u64,
    pub kill_at_event: Option<u64>,
    /// Whether callers disconnect early and the queue refuses attempts.
    pub gives_up: bool,
}

impl Faults {
    pub const NONE: Self = Self {
        kill: 0,
        pause: 0,
        pause_ms: 0,
        append_fault: 0,
        outage_ms: 0,
        retention_ms: u64::MAX,
        kill_at_event: None,
        gives_up: false,
    };

    pub const GIVING_UP: Self = Self {
        gives_up: true,
        ..Self::NONE
    };

    pub const ALL: Self = Self {
        kill: 8,
        pause: 4,
        pause_ms: 40_000,
        append_fault: 2_000,
        outage_ms: 4_000,
        retention_ms: 8_000,
        kill_at_event: None,
        gives_up: true,
    };
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub keys: u64,
    pub duplicates: u64,
    pub span_ms: u64,
    pub settings: OnceSettings,
    pub faults: Faults,
}

/// Returns how many seeds to run: `LENTILSHIFT_SEEDS`, or else `fewest`.
pub fn seed_count(fewest: u64) -> u64 {
    let count = std::env::var("LENTILSHIFT_SEEDS").ok();
    count.and_then(|count| count.parse().ok()).unwrap_or(fewest)
}
