use std::collections::VecDeque;

use clock::ClockTime;

use crate::{OnceSettings, SnapshotMark};

/// The number of marks recorded per horizon.
const MARKS_PER_HORIZON: u64 = 16;

/// An offset with the time at which the records below it expire.
#[derive(Clone, Copy, Debug)]
struct AgeMark {
    offset: u64,
    /// When all records below the offset are older than the horizon.
    expires_at: ClockTime,
}

/// Schedules the snapshots and expiries that a node appends.
///
/// Ages are measured on the node's own monotonic clock from the time a record was read, so they
/// never exceed the real age.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimMaintenance {
    marks: VecDeque<AgeMark>,
    next_mark: ClockTime,
    /// When the next snapshot is due.
    pub(crate) snapshot_at: ClockTime,
    /// When a fold that is still incomplete may be completed by expiring all unread records, since they
    /// are older than the horizon by then.
    pub(crate) complete_at: ClockTime,
}

impl ClaimMaintenance {
    /// Records that all records below `offset` are on the log by now.
    pub(crate) fn mark(&mut self, now: ClockTime, settings: &OnceSettings, offset: u64) {
        if now < self.next_mark {
            return;
        }
        self.next_mark = now.plus_ms(settings.horizon_ms / MARKS_PER_HORIZON);
        self.marks.push_back(AgeMark {
            offset,
            expires_at: now.plus_ms(settings.horizon_ms),
        });
    }

    /// Removes expired marks, and returns the offset below which all records are older than the
    /// horizon.
    pub(crate) fn take_expired(&mut self, now: ClockTime) -> Option<u64> {
        let mut below = None;
        while self
            .marks
            .front()
            .is_some_and(|mark| mark.expires_at <= now)
        {
            below = self.marks.pop_front().map(|mark| mark.offset);
        }
        below
    }

    pub(crate) fn restore_marks(
        &mut self,
        now: ClockTime,
        settings: &OnceSettings,
        marks: &[SnapshotMark],
    ) {
        for mark in marks {
            let left_ms = settings.horizon_ms.saturating_sub(mark.age_ms);
            self.marks.push_back(AgeMark {
                offset: mark.offset,
                expires_at: now.plus_ms(left_ms),
            });
        }
        self.marks
            .make_contiguous()
            .sort_by_key(|mark| mark.expires_at);
    }

    pub(crate) fn copy_marks(&self, now: ClockTime, settings: &OnceSettings) -> Vec<SnapshotMark> {
        let age_ms = |mark: &AgeMark| {
            settings
                .horizon_ms
                .saturating_sub(now.until_ms(mark.expires_at))
        };
        self.marks
            .iter()
            .map(|mark| SnapshotMark {
                offset: mark.offset,
                age_ms: age_ms(mark),
            })
            .collect()
    }

    pub(crate) fn next_poll(&self) -> ClockTime {
        let expiry = self.marks.front().map(|mark| mark.expires_at);
        expiry.map_or(self.snapshot_at, |expiry| expiry.min(self.snapshot_at))
    }
}
