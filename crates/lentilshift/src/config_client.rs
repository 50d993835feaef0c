use std::net::SocketAddr;
use std::time::{Duration, Instant};

use adapter::{HttpLog, HttpSettings};
use clock::ClockTime;
use compio::time::sleep;
use contract::FleetContract;
use model::RecordId;
use streams::{
    AttemptAction, AttemptSettings, AttemptStatus, ConfigFold, ConfigRecord, LogStream, NewRecord,
    PlatformLog, ReadError, RecordAttempt, RecordBody, RecordOutcome,
};

use crate::command_error::CommandError;

/// The wait of one read for a record that was just appended, in milliseconds.
const READ_WAIT_MS: u64 = 500;

/// The wait before a read is tried again, in milliseconds.
const RETRY_MS: u64 = 200;

/// The check that a text has to pass to be in force.
type TextCheck = fn(&str) -> Result<(), String>;

/// Reads the configuration stream and adds records to it, for one command.
pub(crate) struct ConfigClient {
    log: HttpLog,
    fold: ConfigFold<TextCheck>,
    started: Instant,
}

impl ConfigClient {
    /// Reads the stream up to its end.
    pub(crate) async fn connect(platform: SocketAddr) -> Result<Self, CommandError> {
        let log = HttpLog::new(format!("http://{platform}"), HttpSettings::default())?;
        let mut client = Self {
            log,
            fold: ConfigFold::new(check_text),
            started: Instant::now(),
        };
        while !client.read_on(0).await?.is_at_end {}
        if !client.fold.is_complete() {
            return Err(CommandError::NoSnapshot);
        }
        Ok(client)
    }

    /// Returns the state of the stream as read so far.
    pub(crate) const fn fold(&self) -> &ConfigFold<TextCheck> {
        &self.fold
    }

    /// Adds a record and reads back what it did.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Rejected`] when the stream's order decided against the record,
    /// [`CommandError::NotWritten`] when it was certainly not written, and otherwise
    /// [`CommandError::UnknownYet`] with `advice`.
    pub(crate) async fn submit(
        &mut self,
        record: &ConfigRecord,
        advice: &str,
    ) -> Result<RecordOutcome, CommandError> {
        let settings = match record {
            ConfigRecord::Withdraw { .. } => AttemptSettings::WITHDRAWAL,
            _ => AttemptSettings::default(),
        };
        let record = NewRecord {
            id: RecordId::from_random(rand::random()),
            body: RecordBody::encode(record),
        };
        let status = self.follow_up(&record, settings).await;
        match status {
            AttemptStatus::Settled(outcome) if outcome.is_success() => Ok(outcome),
            AttemptStatus::Settled(RecordOutcome::Waiting)
            | AttemptStatus::Pending
            | AttemptStatus::Unknown => Err(CommandError::UnknownYet(advice.to_owned())),
            AttemptStatus::Settled(outcome) => Err(CommandError::Rejected(outcome)),
            AttemptStatus::NotWritten(reason) => Err(CommandError::NotWritten(reason)),
        }
    }

    async fn follow_up(&mut self, record: &NewRecord, settings: AttemptSettings) -> AttemptStatus {
        let mut attempt = RecordAttempt::new(self.now(), record.id, settings);
        loop {
            match attempt.next_action(self.now()) {
                AttemptAction::Append => {
                    let records = vec![record.clone()];
                    let reply = self.log.append(LogStream::Config, records).await;
                    attempt.on_reply(self.now(), reply);
                }
                AttemptAction::Read => self.read_for(&mut attempt).await,
                AttemptAction::Stop => return attempt.status().clone(),
            }
        }
    }

    async fn read_for(&mut self, attempt: &mut RecordAttempt) {
        let asked = self.now();
        match self.read_on(READ_WAIT_MS).await {
            Ok(progress) => {
                for (id, outcome) in progress.outcomes {
                    attempt.on_record(self.now(), id, outcome);
                }
                attempt.on_read_success(asked);
            }
            Err(_) => sleep(Duration::from_millis(RETRY_MS)).await,
        }
    }

    async fn read_on(&mut self, wait_ms: u64) -> Result<ReadProgress, ReadError> {
        let from = self.fold.next();
        let batch = match self.log.read(LogStream::Config, from, wait_ms).await {
            Ok(batch) => batch,
            Err(ReadError::Gone { first }) if first > from => {
                self.fold.lose_before(first);
                return Ok(ReadProgress::default());
            }
            Err(error) => return Err(error),
        };
        let records = batch.records.iter();
        let outcomes = records.map(|record| (record.id, self.fold.apply(record)));
        Ok(ReadProgress {
            outcomes: outcomes.collect(),
            is_at_end: batch.records.is_empty() || self.fold.next() >= batch.end,
        })
    }

    fn now(&self) -> ClockTime {
        let elapsed_ms = self.started.elapsed().as_millis();
        ClockTime::from_ms(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }
}

fn check_text(text: &str) -> Result<(), String> {
    let parsed = FleetContract::parse("contract", text);
    parsed.map(drop).map_err(|error| error.to_string())
}

/// What one read brought.
#[derive(Default)]
struct ReadProgress {
    outcomes: Vec<(RecordId, RecordOutcome)>,
    is_at_end: bool,
}
