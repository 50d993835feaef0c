use rustix::time::{ClockId, clock_gettime};

use crate::node_core::NodeCore;
use crate::task_loop::loop_rounds;

/// The time between two log lines about the usage of a node, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 5_000;
/// The number of milliseconds in a second.
const MS_PER_SECOND: i64 = 1_000;
/// The number of nanoseconds in a millisecond.
const NS_PER_MS: i64 = 1_000_000;

/// The processor time and the calls of a node since its start.
#[derive(Clone, Copy, Default)]
pub(crate) struct NodeUsage {
    /// When this was read, in milliseconds of the node's clock.
    at_ms: u64,
    /// The processor time of the process, in milliseconds.
    processor_ms: u64,
    /// The number of rounds of the event loop.
    rounds: u64,
    /// The number of calls that arrived for the local backend server.
    arrived: u64,
    /// The number of calls that this node sent on behalf of callers and the backend server.
    sent: u64,
}

/// Logs the processor time and the calls of the node every few seconds.
#[derive(Default)]
pub(crate) struct UsageReport {
    last: NodeUsage,
}

impl UsageReport {
    /// Writes a log line if one is due.
    pub(crate) fn log_if_due(&mut self, core: &NodeCore) {
        let now = NodeUsage::read(core);
        let last = self.last;
        let span_ms = now.at_ms - last.at_ms;
        if span_ms < REPORT_INTERVAL_MS {
            return;
        }
        self.last = now;
        let load = core.gate.load(core.now());
        log::info!(
            "event=node-usage span_ms={span_ms} processor_ms={} rounds={} arrived={} sent={} \
             running={} queued={} limit={} links={} callers={} running_calls={}",
            now.processor_ms - last.processor_ms,
            now.rounds - last.rounds,
            now.arrived - last.arrived,
            now.sent - last.sent,
            load.in_flight,
            load.queued,
            load.limit,
            core.links.open_names().len(),
            core.open_connections.get(),
            core.running.len(),
        );
    }
}

impl NodeUsage {
    fn read(core: &NodeCore) -> Self {
        Self {
            at_ms: core.now().as_ms(),
            processor_ms: processor_ms(),
            rounds: loop_rounds(),
            arrived: core.metrics.arrived.get(),
            sent: core.metrics.sent.get(),
        }
    }
}

/// Returns the processor time of this process, in milliseconds.
pub(crate) fn processor_ms() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    u64::try_from(time.tv_sec * MS_PER_SECOND + time.tv_nsec / NS_PER_MS).unwrap_or(0)
}
