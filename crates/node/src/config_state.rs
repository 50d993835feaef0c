use std::rc::Rc;

use clock::ClockTime;
use contract::FleetContract;
use model::CentreName;
use platform::{
    AppliedRecord, ConfigFeed, ConfigVersion, FeedSettings, FollowAction, LogStream, ReadBatch,
    ReadError, RelayBatch, RelayPull, StreamFeed, TextCheck,
};
use rand::Rng;

/// The check that a text has to pass to be in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ContractCheck;

impl TextCheck for ContractCheck {
    fn check(&self, text: &str) -> Result<(), String> {
        let parsed = FleetContract::parse("contract", text);
        parsed.map(drop).map_err(|error| error.to_string())
    }
}

/// The configuration stream with the contract in force.
pub(crate) struct ConfigState {
    pub(crate) feed: ConfigFeed<ContractCheck>,
    version: ConfigVersion,
    contract: Rc<FleetContract>,
}

impl ConfigState {
    pub(crate) fn new(centre: CentreName) -> Self {
        Self {
            feed: ConfigFeed::new(centre, ContractCheck, &FeedSettings::default()),
            version: ConfigVersion::NONE,
            contract: Rc::default(),
        }
    }

    /// Returns the version of the contract in force.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.feed.fold().in_force().version
    }

    /// Returns the contract in force, parsed once a version.
    pub(crate) fn contract(&mut self) -> Rc<FleetContract> {
        let in_force = self.feed.fold().in_force();
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

impl StreamFeed for ConfigState {
    fn stream(&self) -> LogStream {
        LogStream::Config
    }

    fn next_read<R: Rng>(&mut self, now: ClockTime, random: &mut R) -> FollowAction {
        self.feed.next_read(now, random)
    }

    fn next_pull(&mut self, now: ClockTime) -> FollowAction {
        self.feed.next_pull(now)
    }

    fn on_read<R: Rng>(
        &mut self,
        now: ClockTime,
        asked: ClockTime,
        result: Result<ReadBatch, ReadError>,
        random: &mut R,
    ) -> bool {
        let before = self.feed.follower().next();
        log_applied(&self.feed.on_read(now, asked, result, random));
        self.feed.follower().next() != before
    }

    fn on_batch(&mut self, now: ClockTime, asked: ClockTime, batch: RelayBatch) -> bool {
        let before = self.feed.follower().next();
        let is_snapshot = batch.snapshot.is_some();
        log_applied(&self.feed.on_batch(now, asked, batch));
        is_snapshot || self.feed.follower().next() != before
    }

    fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, random: &mut R) {
        self.feed.on_pull_failure(now, random);
    }

    fn has_news(&self, pull: &RelayPull) -> bool {
        self.feed.has_news(pull)
    }

    fn answer(&self, now: ClockTime, pull: &RelayPull) -> RelayBatch {
        self.feed.answer(now, pull)
    }
}

fn log_applied(records: &[AppliedRecord]) {
    for record in records {
        let outcome = record.outcome.to_string();
        log::info!("event=config-record id={} outcome={outcome:?}", record.id);
    }
}
