use clock::ClockTime;
use rand::Rng;

use crate::{LogOffset, NewsTime};

/// When a stream's state is repeated.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotSettings {
    /// The time for which the log surely keeps a record, in milliseconds.
    pub retention_ms: u64,
    /// The longest random wait before a node writes a snapshot that is due, in milliseconds.
    pub spread_ms: u64,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self {
            retention_ms: 3_600_000,
            spread_ms: 60_000,
        }
    }
}

/// Tells when a node repeats a stream's state, so that it outlives the log's retention.
///
/// A snapshot is due after a quarter of the retention time. Each node waits a random time more,
/// so that mostly one writes it and the rest see it in time; two do no harm.
#[derive(Clone, Debug)]
pub struct SnapshotTimer {
    settings: SnapshotSettings,
    seen_at: Option<NewsTime>,
    covers: LogOffset,
    write_at: Option<ClockTime>,
}

impl SnapshotTimer {
    /// Creates the timer of a node that has seen no snapshot yet.
    #[must_use]
    pub const fn new(settings: SnapshotSettings) -> Self {
        Self {
            settings,
            seen_at: None,
            covers: LogOffset::ZERO,
            write_at: None,
        }
    }

    /// Takes in a snapshot seen on the stream `age_ms` ago; pass 0 for one just written.
    pub fn on_snapshot(&mut self, now: ClockTime, covers: LogOffset, age_ms: u64) {
        if self.age_ms(now).is_none_or(|known| age_ms < known) {
            self.seen_at = Some(NewsTime::before(now, age_ms));
            self.write_at = None;
        }
        self.covers = self.covers.max(covers);
    }

    /// Returns the time since a snapshot was seen, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: ClockTime) -> Option<u64> {
        self.seen_at.map(|time| time.age_ms(now))
    }

    /// Returns the offset that the newest snapshot covers the stream to.
    #[must_use]
    pub const fn covers(&self) -> LogOffset {
        self.covers
    }

    /// Returns whether to append a snapshot now; `first` is the oldest offset the log keeps.
    pub fn is_due<R: Rng>(&mut self, now: ClockTime, first: LogOffset, rng: &mut R) -> bool {
        let is_old = self
            .age_ms(now)
            .is_none_or(|age| age >= self.settings.retention_ms / 4);
        if !is_old && first <= self.covers {
            self.write_at = None;
            return false;
        }
        let spread = rng.random_range(0..=self.settings.spread_ms);
        let time = *self.write_at.get_or_insert(now.plus_ms(spread));
        if time > now {
            return false;
        }
        self.write_at = Some(now.plus_ms(self.settings.spread_ms + spread));
        true
    }
}
