#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and durations are far below 2^52"
)]

use std::fmt;

use model::LoadNews;

use crate::workload::{WARM_UP_MS, Workload};

/// What a simulation records about the choice of VMs while the workload is measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementLog {
    /// The times from the first sending of a call to its start, in microseconds.
    pub(crate) waits_us: Vec<u64>,
    /// The times from the first sending of a call to its answer, in microseconds.
    pub(crate) latencies_us: Vec<u64>,
    /// The times for which a VM had calls waiting without a break while another one of its data
    /// centre had a free slot, in microseconds.
    pub(crate) idle_spells_us: Vec<u64>,
    pub(crate) sent: u64,
    pub(crate) sent_to_other_centre: u64,
    pub(crate) moved: u64,
    /// The bytes of the bodies and heads that crossed data centres.
    pub(crate) crossing_bytes: u64,
    /// The items of news that crossed data centres.
    pub(crate) crossing_news: u64,
    pub(crate) news_ages_ms: Vec<u64>,
    pub(crate) refused: u64,
}

/// Returns whether a time lies in the measured span of a workload.
pub(crate) const fn is_measured(workload: Workload, at_us: u64) -> bool {
    at_us >= WARM_UP_MS * 1_000 && at_us < (WARM_UP_MS + workload.disturbance_ms()) * 1_000
}

/// The measurements of how evenly the load was placed in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementScore {
    /// The calls that started.
    pub started: u64,
    /// The mean time from the first sending of a call to its start, in milliseconds.
    pub mean_wait_ms: f64,
    /// The 99th percentile of these times, in milliseconds.
    pub p99_wait_ms: f64,
    /// The mean time from the first sending of a call to its answer, in milliseconds.
    pub mean_latency_ms: f64,
    /// The 99th percentile of these times, in milliseconds.
    pub p99_latency_ms: f64,
    /// The 99th percentile of the spells in which a VM had calls waiting while another one of its
    /// data centre had a free slot, in milliseconds.
    pub p99_idle_spell_ms: f64,
    /// The longest such spell, in milliseconds.
    pub max_idle_spell_ms: f64,
    /// The sends to another data centre, as a fraction of all.
    pub crossing_share: f64,
    /// The moves of calls from a VM where they would have waited, as a fraction of all sends.
    pub moved_share: f64,
    /// The news in messages between data centres, as a fraction of the other bytes of these.
    pub news_share: f64,
    /// The mean age of the figures that callers held, in milliseconds.
    pub news_age_ms: f64,
    /// The refusals that callers were told.
    pub refused: u64,
}

impl PlacementScore {
    pub(crate) fn of(mut log: PlacementLog) -> Self {
        log.waits_us.sort_unstable();
        log.latencies_us.sort_unstable();
        log.idle_spells_us.sort_unstable();
        let news_bytes = (log.crossing_news * LoadNews::MAX_BYTES) as f64;
        Self {
            started: log.waits_us.len() as u64,
            mean_wait_ms: mean(&log.waits_us) / 1_000.0,
            p99_wait_ms: percentile(&log.waits_us, 0.99) / 1_000.0,
            mean_latency_ms: mean(&log.latencies_us) / 1_000.0,
            p99_latency_ms: percentile(&log.latencies_us, 0.99) / 1_000.0,
            p99_idle_spell_ms: percentile(&log.idle_spells_us, 0.99) / 1_000.0,
            max_idle_spell_ms: percentile(&log.idle_spells_us, 1.0) / 1_000.0,
            crossing_share: log.sent_to_other_centre as f64 / log.sent.max(1) as f64,
            moved_share: log.moved as f64 / log.sent.max(1) as f64,
            news_share: news_bytes / log.crossing_bytes.max(1) as f64,
            news_age_ms: mean(&log.news_ages_ms),
            refused: log.refused,
        }
    }

    /// The header of a table of scores.
    pub const HEADER: &str = "| VMs | seed | placement | started | mean wait ms | p99 wait ms | mean ms | p99 ms | \
         p99 idle spell ms | longest | to another centre | moved | news of bytes | news age ms | refused |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";
}

impl fmt::Display for PlacementScore {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} | {:.2} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.3} | {:.3} | {:.4} | {:.0} | {} |",
            self.started,
            self.mean_wait_ms,
            self.p99_wait_ms,
            self.mean_latency_ms,
            self.p99_latency_ms,
            self.p99_idle_spell_ms,
            self.max_idle_spell_ms,
            self.crossing_share,
            self.moved_share,
            self.news_share,
            self.news_age_ms,
            self.refused,
        )
    }
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}

/// Returns a percentile of sorted values.
fn percentile(values: &[u64], share: f64) -> f64 {
    let last = values.len().saturating_sub(1);
    let place = (last as f64 * share).round() as usize;
    values.get(place).copied().unwrap_or(0) as f64
}
