use limit::{ClientClosure, ClientPort};

use crate::node_core::NodeCore;

/// Closes connections for as long as memory, or connections at a port, are short and a connection
/// may be closed.
pub(crate) fn close_excess(core: &NodeCore, port: ClientPort) {
    while let Some(closure) = core.clients.close_next(port) {
        record_closure(core, &closure);
    }
}

/// Closes the connections whose clients are too slow.
pub(crate) fn close_slow_clients(core: &NodeCore) {
    for closure in core.clients.close_overdue() {
        record_closure(core, &closure);
    }
    close_excess(core, ClientPort::Callers);
}

fn record_closure(core: &NodeCore, closure: &ClientClosure) {
    core.metrics.count_closure(closure.reason);
    if core.may_log() {
        log::info!(
            "event=client-closed port={} reason={} held_bytes={} all_bytes={}",
            closure.port.as_str(),
            closure.reason.as_str(),
            closure.held_bytes,
            core.clients.held_bytes(),
        );
    }
}
