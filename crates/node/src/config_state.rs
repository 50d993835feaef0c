use std::cell::RefCell;
use std::rc::Rc;

use clock::ClockTime;
use contract::{ContractParser, FleetContract};
use rand::Rng;
use streams::{
    AppliedRecord, ConfigFeed, ConfigVersion, FeedSettings, FollowAction, LogEra, LogStream,
    ReadBatch, ReadError, RelayBatch, RelayPull, StreamFeed, TextCheck, UpdateTime,
};

use crate::node_settings::NodeSettings;

/// Validates the texts of the configuration stream by parsing them as contracts.
///
/// It stores the contract of the last valid text, which is the one in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct ContractCheck {
    parser: Rc<RefCell<ContractParser>>,
    last_valid: Rc<RefCell<Rc<FleetContract>>>,
}

impl ContractCheck {
    fn last_valid(&self) -> Rc<FleetContract> {
        Rc::clone(&self.last_valid.borrow())
    }
}

impl TextCheck for ContractCheck {
    fn check(&self, text: &str) -> Result<(), String> {
        let parsed = self.parser.borrow_mut().parse("contract", text);
        let contract = parsed.map_err(|error| error.to_string())?;
        self.last_valid.replace(contract);
        Ok(())
    }
}

/// The configuration stream and the contract in force.
pub(crate) struct ConfigState {
    pub(crate) feed: ConfigFeed<ContractCheck>,
    check: ContractCheck,
}

impl ConfigState {
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let check = ContractCheck::default();
        let feed_settings = FeedSettings {
            follow: settings.follow,
            trust: settings.trust,
            resume: settings.resume,
            ..FeedSettings::default()
        };
        let (vm, centre) = (settings.vm.clone(), settings.centre.clone());
        Self {
            feed: ConfigFeed::new(vm, centre, check.clone(), &feed_settings),
            check,
        }
    }

    /// Returns the version of the contract in force.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.feed.fold().in_force().version
    }

    /// Returns the contract in force.
    pub(crate) fn contract(&self) -> Rc<FleetContract> {
        self.check.last_valid()
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
        requested_at: ClockTime,
        result: Result<ReadBatch, ReadError>,
        random: &mut R,
    ) -> bool {
        let before = self.feed.follower().next();
        log_applied(&self.feed.on_read(now, requested_at, result, random));
        self.feed.follower().next() != before
    }

    fn on_batch(&mut self, now: ClockTime, requested_at: ClockTime, batch: RelayBatch) -> bool {
        let before = self.feed.follower().next();
        let is_snapshot = batch.snapshot.is_some();
        log_applied(&self.feed.on_batch(now, requested_at, batch));
        is_snapshot || self.feed.follower().next() != before
    }

    fn on_pull_failure<R: Rng>(&mut self, now: ClockTime, random: &mut R) {
        self.feed.on_pull_failure(now, random);
    }

    fn has_update(&self, now: ClockTime, pull: &RelayPull, held_ms: u64) -> bool {
        self.feed.has_update(now, pull, held_ms)
    }

    fn fresh_at(&self) -> Option<UpdateTime> {
        self.feed.follower().fresh_at()
    }

    fn known_era(&self) -> Option<LogEra> {
        self.feed.follower().known_era()
    }

    fn on_era(&mut self, now: ClockTime, era: LogEra) -> bool {
        self.feed.on_era(now, era)
    }

    fn is_caught_up(&self) -> bool {
        self.feed.follower().is_caught_up()
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
