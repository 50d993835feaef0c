use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::timeout;
use model::VmName;
use platform::{CentreOutage, RelayBatch, RelayPull, TrustState};

use crate::config_state::ConfigState;
use crate::fleet_watch::put_members;
use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};
use crate::peer_talk::ask_peer;
use crate::stream_host::StreamWatch;

/// The time that an answer to a pull may take besides its wait, in milliseconds.
const PULL_SLACK_MS: u64 = 1_000;

/// Puts what the configuration stream brings in force.
pub(crate) struct ConfigWatch(pub(crate) Rc<NodeCore>);

impl StreamWatch for ConfigWatch {
    fn on_read_start(&self, now: ClockTime) {
        self.0.trust.borrow_mut().on_read_start(now);
    }

    fn on_read_end(&self, now: ClockTime, is_good: bool) {
        self.0.trust.borrow_mut().on_read_end(now, is_good);
    }

    fn on_outages(&self, asked: ClockTime, outages: &[CentreOutage]) {
        self.0.trust.borrow_mut().on_outages(asked, outages);
    }

    fn outages(&self, now: ClockTime) -> Vec<CentreOutage> {
        self.0.trust.borrow().outages(now)
    }

    fn on_change(&self, now: ClockTime) {
        let core = &self.0;
        let contract = core.config.with_state(ConfigState::contract);
        core.put_contract(now, contract);
        put_members(core, now);
    }

    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch> {
        pull_from(&self.0, peer, pull).await
    }
}

/// Asks another node for what follows in a stream.
pub(crate) async fn pull_from(
    core: &NodeCore,
    peer: &VmName,
    pull: RelayPull,
) -> Option<RelayBatch> {
    let limit = Duration::from_millis(pull.wait_ms + PULL_SLACK_MS);
    let message = NodeMessage::Pull(pull);
    let asking = ask_peer(core, peer, &message);
    match timeout(limit, asking).await {
        Ok(Some(NodeReply::Batch(batch))) => batch,
        _ => None,
    }
}

/// Returns whether the node may admit callers by the keys that it knows.
pub(crate) fn key_trust(core: &NodeCore) -> TrustState {
    let fresh_at = core.config.fresh_at();
    core.trust.borrow().state(core.now(), fresh_at)
}
