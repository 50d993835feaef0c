use rustix::time::{ClockId, clock_gettime};

use crate::node_core::NodeCore;
use crate::task_loop::loop_rounds;

/// The time between two lines of log on what a node spends, in milliseconds.
const REPORT_MS: u64 = 5_000;
/// The number of milliseconds in a second.
const SECOND_MS: i64 = 1_000;
/// The number of nanoseconds in a millisecond.
const MS_NS: i64 = 1_000_000;

/// What a node has spent and served since its start.
#[derive(Clone, Copy, Default)]
pub(crate) struct NodeUsage {
    /// The time at which this was read, in milliseconds of the node's clock.
    at_ms: u64,
    /// The processor time of the process, in milliseconds.
    processor_ms: u64,
    /// The rounds of the loop.
    rounds: u64,
    /// The calls that arrived for the local backend server.
    arrived: u64,
    /// The calls that this node sent on their way.
    sent: u64,
}

/// Tells every few seconds what the node spends on how many calls.
#[derive(Default)]
pub(crate) struct UsageReport {
    last: NodeUsage,
}

impl UsageReport {
    /// Writes a line of log when one is due.
    pub(crate) fn tell(&mut self, core: &NodeCore) {
        let now = NodeUsage::read(core);
        let last = self.last;
        let span_ms = now.at_ms - last.at_ms;
        if span_ms < REPORT_MS {
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

/// Returns the processor time that this process has taken, in milliseconds.
pub(crate) fn processor_ms() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    u64::try_from(time.tv_sec * SECOND_MS + time.tv_nsec / MS_NS).unwrap_or(0)
}
