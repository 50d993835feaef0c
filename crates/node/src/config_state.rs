use std::rc::Rc;

use clock::ClockTime;
use contract::FleetContract;
use platform::{ConfigFold, ConfigRecord, LogOffset, LogRecord, RecordBody, RelaySnapshot};
use platform::{ConfigVersion, SnapshotSettings, SnapshotTimer, TextCheck};

use crate::stream_state::StreamState;

/// The check that a text has to pass to be in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ContractCheck;

impl TextCheck for ContractCheck {
    fn check(&self, text: &str) -> Result<(), String> {
        let parsed = FleetContract::parse("contract", text);
        parsed.map(drop).map_err(|error| error.to_string())
    }
}

/// The contract and the keys, as folded from the configuration stream.
pub(crate) struct ConfigState {
    pub(crate) fold: ConfigFold<ContractCheck>,
    pub(crate) timer: SnapshotTimer,
    version: ConfigVersion,
    contract: Rc<FleetContract>,
}

impl ConfigState {
    pub(crate) fn new() -> Self {
        Self {
            fold: ConfigFold::new(ContractCheck),
            timer: SnapshotTimer::new(SnapshotSettings::default()),
            version: ConfigVersion::NONE,
            contract: Rc::default(),
        }
    }

    /// Returns the contract in force, parsed once a version.
    pub(crate) fn contract(&mut self) -> Rc<FleetContract> {
        let in_force = self.fold.in_force();
        if in_force.version != self.version {
            self.version = in_force.version;
            match FleetContract::parse("contract", &in_force.text) {
                Ok(contract) => self.contract = Rc::new(contract),
                Err(error) => {
                    log::error!("event=contract-unreadable error={:?}", error.to_string());
                }
            }
        }
        Rc::clone(&self.contract)
    }
}

impl StreamState for ConfigState {
    fn lose_before(&mut self, _now: ClockTime, first: LogOffset) {
        self.fold.lose_before(first);
    }

    fn adopt(&mut self, now: ClockTime, snapshot: &RelaySnapshot) {
        match snapshot.body.decode::<ConfigRecord>() {
            Ok(ConfigRecord::Snapshot(state)) => {
                self.fold.adopt(&state);
                self.timer.on_snapshot(now, state.covers, 0);
            }
            _ => log::warn!(
                "event=snapshot-unreadable stream=config covers={}",
                snapshot.covers
            ),
        }
    }

    fn apply(&mut self, now: ClockTime, record: &LogRecord) {
        if let Ok(ConfigRecord::Snapshot(state)) = record.body.decode() {
            self.timer.on_snapshot(now, state.covers, 0);
        }
        let outcome = self.fold.apply(record);
        log::info!(
            "event=config-record offset={} id={} outcome={:?}",
            record.offset,
            record.id,
            outcome.to_string(),
        );
    }

    fn snapshot(&self) -> Option<RelaySnapshot> {
        let state = self.fold.snapshot()?;
        Some(RelaySnapshot {
            covers: state.covers,
            body: RecordBody::encode(&ConfigRecord::Snapshot(state)),
        })
    }

    fn needs_snapshot(&self) -> bool {
        !self.fold.is_whole()
    }
}
