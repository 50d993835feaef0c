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

/// The time that one read waits for a record that was just appended, in milliseconds.
const READ_WAIT_MS: u64 = 500;

/// The delay before a failed read is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// The validation that a contract text has to pass to come into force.
type TextCheck = fn(&str) -> Result<(), String>;

/// Reads the configuration stream and appends records to it, on behalf of one command.
pub(crate) struct ConfigClient {
    log: HttpLog,
    fold: ConfigFold<TextCheck>,
    started: Instant,
}

impl ConfigClient {
    /// Reads the stream to its end.
    pub(crate) async fn connect(platform: SocketAddr) -> Result<Self, CommandError> {
        let log = HttpLog::new(format!("http://{platform}"), HttpSettings::default())?;
        let mut client = Self {
            log,
            fold: ConfigFold::new(check_text),
            started: Instant::now(),
        };
        while !client.read_batch(0).await?.is_at_end {}
        if !client.fold.is_complete() {
            return Err(CommandError::NoSnapshot);
        }
        Ok(client)
    }

    /// Returns the state that results from the records read so far.
    pub(crate) const fn fold(&self) -> &ConfigFold<TextCheck> {
        &self.fold
    }

    /// Appends a record and reads back its outcome.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Rejected`] when the record was rejected as it was applied,
    /// [`CommandError::NotWritten`] when it was certainly not written, and
    /// [`CommandError::UnknownYet`] with `advice` when its outcome isn't known in time.
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
        let status = self.run_attempt(&record, settings).await;
        match status {
            AttemptStatus::Settled(outcome) if outcome.is_success() => Ok(outcome),
            AttemptStatus::Settled(RecordOutcome::Waiting)
            | AttemptStatus::Pending
            | AttemptStatus::Unknown => Err(CommandError::UnknownYet(advice.to_owned())),
            AttemptStatus::Settled(outcome) => Err(CommandError::Rejected(outcome)),
            AttemptStatus::NotWritten(reason) => Err(CommandError::NotWritten(reason)),
        }
    }

    async fn run_attempt(
        &mut self,
        record: &NewRecord,
        settings: AttemptSettings,
    ) -> AttemptStatus {
        let mut attempt = RecordAttempt::new(self.now(), record.id, settings);
        loop {
            match attempt.next_action(self.now()) {
                AttemptAction::Append => {
                    let records = vec![record.clone()];
                    let reply = self.log.append(LogStream::Config, records).await;
                    attempt.on_reply(self.now(), reply);
                }
                AttemptAction::Read => self.read_outcomes(&mut attempt).await,
                AttemptAction::Stop => return attempt.status().clone(),
            }
        }
    }

    async fn read_outcomes(&mut self, attempt: &mut RecordAttempt) {
        let requested_at = self.now();
        match self.read_batch(READ_WAIT_MS).await {
            Ok(progress) => {
                for (id, outcome) in progress.outcomes {
                    attempt.on_record(self.now(), id, outcome);
                }
                attempt.on_read_success(requested_at);
            }
            Err(_) => sleep(Duration::from_millis(RETRY_DELAY_MS)).await,
        }
    }

    async fn read_batch(&mut self, wait_ms: u64) -> Result<ReadProgress, ReadError> {
        let from = self.fold.next();
        let batch = match self.log.read(LogStream::Config, from, wait_ms).await {
            Ok(batch) => batch,
            Err(ReadError::Gone { first, .. }) if first > from => {
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

/// The result of one read.
#[derive(Default)]
struct ReadProgress {
    outcomes: Vec<(RecordId, RecordOutcome)>,
    is_at_end: bool,
}
