use clock::ClockTime;
use rustix::time::{ClockId, clock_gettime};

/// The number of nanoseconds in a millisecond.
const MS_NS: i64 = 1_000_000;
/// The number of milliseconds in a second.
const SECOND_MS: i64 = 1_000;

/// The clock of the process, in milliseconds since its start.
///
/// It goes on while the machine is suspended, as the ages of keys, leases and deadlines do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeClock {
    started_ms: i64,
}

impl NodeClock {
    pub(crate) fn start() -> Self {
        Self {
            started_ms: boot_ms(),
        }
    }

    pub(crate) fn now(self) -> ClockTime {
        let elapsed_ms = boot_ms().saturating_sub(self.started_ms);
        ClockTime::from_ms(u64::try_from(elapsed_ms).unwrap_or(0))
    }
}

/// Returns the milliseconds since the machine was started, suspended times included.
fn boot_ms() -> i64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec * SECOND_MS + time.tv_nsec / MS_NS
}
