use std::rc::Rc;

use streams::{ClaimShard, LogEra, LogStream, StreamFeed};

use crate::departure_log::write_departures_again;
use crate::node_core::NodeCore;
use crate::stream_host::StreamHost;

/// Handles a log that one stream has found to have come back without its last records: the other
/// streams start again too, and what this node knows is written again.
pub(crate) fn on_log_return(core: &Rc<NodeCore>, stream: LogStream, era: LogEra) {
    note_return(core, stream, era);
    let claims = LogStream::Claims(ClaimShard::of(&core.settings.service));
    let entered = [
        (LogStream::Config, enter_era(core, &core.config, era)),
        (LogStream::Members, enter_era(core, &core.fleet, era)),
        (LogStream::Rates, enter_era(core, &core.rates, era)),
        (claims, enter_era(core, &core.claims, era)),
    ];
    for (stream, _) in entered.into_iter().filter(|(_, is_entered)| *is_entered) {
        note_return(core, stream, era);
    }
}

fn enter_era<F: StreamFeed>(core: &NodeCore, host: &StreamHost<F>, era: LogEra) -> bool {
    host.on_era(core.now(), era)
}

fn note_return(core: &Rc<NodeCore>, stream: LogStream, era: LogEra) {
    log::warn!("event=log-went-back era={era} stream={stream}");
    core.metrics.log_returns.inc();
    if stream == LogStream::Members {
        core.is_announcement_lost.set(true);
        write_departures_again(core);
    }
}
