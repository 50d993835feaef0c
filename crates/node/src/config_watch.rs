use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use model::VmName;
use streams::{LogEra, LogStream, NewRecord, PlatformLog, RelayBatch, RelayPull};

use crate::log_return::on_log_return;
use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};
use crate::peer_exchange::exchange_message;
use crate::stream_host::StreamWatch;

/// The time that a reply to a pull may take beyond the wait that the pull allows, in milliseconds.
const PULL_TIMEOUT_MARGIN_MS: u64 = 400;
/// The time between two checks of whether a snapshot is due, in milliseconds.
const SNAPSHOT_CHECK_INTERVAL_MS: u64 = 1_000;

/// Applies the contracts that arrive on the configuration stream.
pub(crate) struct ConfigWatch(pub(crate) Rc<NodeCore>);

impl StreamWatch for ConfigWatch {
    fn on_update(&self, _now: ClockTime) {
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
        core.apply_contract(contract);
        apply_evacuation(core);
        core.fleet.with(|feed| feed.fold().mark_changed());
    }

    fn on_went_back(&self, stream: LogStream, era: LogEra) {
        on_log_return(&self.0, stream, era);
    }

    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch> {
        pull_from(&self.0, peer, pull).await
    }
}

/// Applies the set of evacuated data centres to the choice of VMs and to the gate of the local
/// backend server.
fn apply_evacuation(core: &NodeCore) {
    let evacuated = core
        .config
        .with(|state| state.feed.fold().evacuated().clone());
    let changes = core.evacuation.borrow_mut().update(core.now(), &evacuated);
    for change in changes {
        let centre = &change.centre;
        if change.is_evacuated {
            log::warn!("event=centre-evacuated centre={centre}");
        } else {
            log::info!("event=centre-in-use-again centre={centre}");
        }
    }
    core.metrics.set_evacuated_centres(evacuated.len());
}

/// Pulls the next records of a stream from another node.
pub(crate) async fn pull_from(
    core: &NodeCore,
    peer: &VmName,
    pull: RelayPull,
) -> Option<RelayBatch> {
    let limit = Duration::from_millis(pull.wait_ms + PULL_TIMEOUT_MARGIN_MS);
    let message = NodeMessage::Pull(pull);
    let exchange = exchange_message(core, peer, &message);
    match timeout(limit, exchange).await {
        Ok(Some(NodeReply::Batch(batch))) => batch,
        _ => None,
    }
}

/// Appends snapshots of the configuration before the log drops its records, for as long as the node
/// runs.
pub(crate) async fn repeat_config(core: Rc<NodeCore>) {
    loop {
        sleep(Duration::from_millis(SNAPSHOT_CHECK_INTERVAL_MS)).await;
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
