use std::time::Instant;

use clock::ClockTime;

/// The monotonic clock of the process, in milliseconds since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeClock(Instant);

impl NodeClock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(self) -> ClockTime {
        let elapsed_ms = self.0.elapsed().as_millis();
        ClockTime::from_ms(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }
}
