use clock::ClockTime;
use rand::Rng;

use crate::{LogOffset, UpdateTime};

/// When snapshots of a stream's state are appended to the stream.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotSettings {
    /// The time for which the log is guaranteed to retain a record, in milliseconds.
    pub retention_ms: u64,
    /// The longest random delay before a node appends a snapshot that is due, in milliseconds.
    pub jitter_ms: u64,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self {
            retention_ms: 3_600_000,
            jitter_ms: 60_000,
        }
    }
}

/// Schedules snapshots of a stream's state, so that the state survives the log's retention.
///
/// A snapshot is due when the last one is older than a quarter of the retention time. Each node
/// adds a random delay, so that usually one node appends the snapshot and the others see it before
/// their own delay ends. Duplicate snapshots are harmless.
#[derive(Clone, Debug)]
pub struct SnapshotTimer {
    settings: SnapshotSettings,
    last_snapshot_at: Option<UpdateTime>,
    covers: LogOffset,
    write_at: Option<ClockTime>,
    /// Whether the log has come back since the last snapshot, so that one is due soon.
    is_urgent: bool,
}

/// The longest random delay before a snapshot is appended to a log that has come back without its
/// last records, in milliseconds.
const URGENT_JITTER_MS: u64 = 2_000;

impl SnapshotTimer {
    /// Creates the timer of a node that has seen no snapshot yet.
    #[must_use]
    pub const fn new(settings: SnapshotSettings) -> Self {
        Self {
            settings,
            last_snapshot_at: None,
            covers: LogOffset::ZERO,
            write_at: None,
            is_urgent: false,
        }
    }

    /// Forgets the snapshots seen so far, as the log may have lost them.
    pub const fn reset(&mut self) {
        self.last_snapshot_at = None;
        self.covers = LogOffset::ZERO;
        self.write_at = None;
        self.is_urgent = true;
    }

    /// Records that a snapshot was seen on the stream `age_ms` ago; 0 for one just written.
    pub fn on_snapshot(&mut self, now: ClockTime, covers: LogOffset, age_ms: u64) {
        if self.age_ms(now).is_none_or(|known| age_ms < known) {
            self.last_snapshot_at = Some(UpdateTime::before(now, age_ms));
            self.write_at = None;
            self.is_urgent = false;
        }
        self.covers = self.covers.max(covers);
    }

    /// Returns the time since the last snapshot was seen, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: ClockTime) -> Option<u64> {
        self.last_snapshot_at.map(|time| time.age_ms(now))
    }

    /// Returns the offset up to which the newest snapshot covers the stream.
    #[must_use]
    pub const fn covers(&self) -> LogOffset {
        self.covers
    }

    /// Returns whether to append a snapshot now; `first` is the oldest offset retained by the log.
    pub fn is_due<R: Rng>(&mut self, now: ClockTime, first: LogOffset, rng: &mut R) -> bool {
        let is_old = self
            .age_ms(now)
            .is_none_or(|age| age >= self.settings.retention_ms / 4);
        if !is_old && first <= self.covers {
            self.write_at = None;
            return false;
        }
        let jitter_ms = if self.is_urgent {
            self.settings.jitter_ms.min(URGENT_JITTER_MS)
        } else {
            self.settings.jitter_ms
        };
        let spread = rng.random_range(0..=jitter_ms);
        let time = *self.write_at.get_or_insert(now.plus_ms(spread));
        if time > now {
            return false;
        }
        self.write_at = Some(now.plus_ms(self.settings.jitter_ms + spread));
        true
    }
}
