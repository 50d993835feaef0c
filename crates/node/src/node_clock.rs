use clock::ClockTime;
use rustix::time::{ClockId, clock_gettime};

/// The number of nanoseconds in a millisecond.
const NS_PER_MS: i64 = 1_000_000;
/// The number of milliseconds in a second.
const MS_PER_SECOND: i64 = 1_000;

/// The clock of the process, in milliseconds since its start.
///
/// It includes the time that the VM is suspended, during which keys and leases age and deadlines
/// pass.
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

/// Returns the time since the VM was booted, including suspended time, in milliseconds.
fn boot_ms() -> i64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec * MS_PER_SECOND + time.tv_nsec / NS_PER_MS
}
