use std::time::Duration;

use compio::time::timeout;

use crate::node_core::NodeCore;

/// Waits for a current configuration, for a bounded time, if the process was paused and what it knows
/// is old. Otherwise, requests that arrived during the pause would be decided by a configuration
/// that operators have replaced since.
pub(crate) async fn await_current_config(core: &NodeCore) {
    let started = core.now();
    let mut has_waited = false;
    loop {
        let now = core.now();
        let left_ms = core.config.with(|state| state.feed.hold_left_ms(now));
        if left_ms == 0 {
            break;
        }
        has_waited = true;
        let _ = timeout(Duration::from_millis(left_ms), core.config.updated()).await;
    }
    if has_waited && core.may_log() {
        let now = core.now();
        let (version, age_ms) = core
            .config
            .with(|state| (state.version(), state.feed.age_ms(now)));
        log::info!(
            "event=config-awaited waited_ms={} version={version} age_ms={}",
            now.since_ms(started),
            age_ms.unwrap_or_default(),
        );
    }
}
