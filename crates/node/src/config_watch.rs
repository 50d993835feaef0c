use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use model::VmName;
use streams::{LogStream, NewRecord, PlatformLog, RelayBatch, RelayPull};

use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};
use crate::peer_talk::ask_peer;
use crate::stream_host::StreamWatch;

/// The time that an answer to a pull may take besides its wait, in milliseconds.
const PULL_SLACK_MS: u64 = 400;
/// The time between two looks at whether a snapshot is due, in milliseconds.
const SNAPSHOT_LOOK_MS: u64 = 1_000;

/// Puts what the configuration stream brings in force.
pub(crate) struct ConfigWatch(pub(crate) Rc<NodeCore>);

impl StreamWatch for ConfigWatch {
    fn on_news(&self, _now: ClockTime) {
        let core = &self.0;
        let contract = core.config.with(|state| state.contract());
        log::info!(
            "event=contract-in-force version={} services={} teams={} routes={}",
            core.config.with(|state| state.version()),
            contract.services.len(),
            contract.teams.len(),
            contract.routes.len(),
        );
        for (name, route) in &contract.routes {
            log::debug!("event=route-in-force route={name} terms={route:?}");
        }
        core.put_contract(contract);
        core.fleet.with(|feed| feed.fold().mark_changed());
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

/// Repeats the configuration on the log before it expires, for as long as the node runs.
pub(crate) async fn repeat_config(core: Rc<NodeCore>) {
    loop {
        sleep(Duration::from_millis(SNAPSHOT_LOOK_MS)).await;
        let now = core.now();
        let due = core
            .config
            .with_random(|state, random| state.feed.due_snapshot(now, random));
        let Some(body) = due else { continue };
        let id = core.new_record_id();
        let record = NewRecord { id, body };
        match core.log.append(LogStream::Config, vec![record]).await {
            Ok(_) => log::info!("event=snapshot-appended stream=config id={id}"),
            Err(error) => log::warn!("event=snapshot-failed error={:?}", error.to_string()),
        }
    }
}
