use clock::ClockTime;

/// Measures how long a node has waited for a client since the client last made enough progress.
///
/// Only the time counts in which the node waits: a client whose bytes the node doesn't read isn't
/// slow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitMeter {
    waited_ms: u64,
    since: Option<ClockTime>,
    progress_bytes: u64,
}

impl WaitMeter {
    /// Records that the node waits for the client.
    pub(crate) fn start_wait(&mut self, now: ClockTime) {
        self.since.get_or_insert(now);
    }

    /// Records that the wait has ended with `bytes` bytes of progress. The wait starts anew after
    /// `enough_bytes` of them.
    pub(crate) fn end_wait(&mut self, now: ClockTime, bytes: u64, enough_bytes: u64) {
        self.waited_ms = self.waited_ms(now);
        self.since = None;
        self.progress_bytes += bytes;
        if self.progress_bytes >= enough_bytes {
            *self = Self::default();
        }
    }

    /// Starts anew, with the wait that goes on, if there is one.
    pub(crate) fn restart(&mut self, now: ClockTime) {
        *self = Self {
            since: self.since.map(|_| now),
            ..Self::default()
        };
    }

    /// Returns whether the node waits at present.
    pub(crate) const fn is_waiting(&self) -> bool {
        self.since.is_some()
    }

    /// Returns the time waited, in milliseconds.
    pub(crate) fn waited_ms(&self, now: ClockTime) -> u64 {
        let current_ms = self.since.map_or(0, |since| now.since_ms(since));
        self.waited_ms + current_ms
    }
}
