use clock::ClockTime;
use model::RecordId;

use crate::{AppendError, AppendReceipt, RecordOutcome};

/// Timeouts of a [`RecordAttempt`].
#[derive(Clone, Copy, Debug)]
pub struct AttemptSettings {
    /// The time after which the append of the record is retried, in milliseconds.
    pub retry_after_ms: u64,
    /// How long after the record was read back a successful read must have started for the outcome
    /// to be final, in milliseconds. By then the nodes have read the record too.
    pub confirm_ms: u64,
    /// The time after which an attempt without an outcome stops, in milliseconds.
    pub timeout_ms: u64,
}

impl AttemptSettings {
    /// The settings for withdrawing a key: a withdrawal is confirmed only once the nodes apply it.
    pub const WITHDRAWAL: Self = Self {
        retry_after_ms: 2_000,
        confirm_ms: 2_000,
        timeout_ms: 30_000,
    };
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            retry_after_ms: 2_000,
            confirm_ms: 0,
            timeout_ms: 30_000,
        }
    }
}

/// What is known about an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The outcome isn't known yet.
    Pending,
    /// The record was read back, with this outcome.
    Settled(RecordOutcome),
    /// The record was not written and won't be; holds the last error.
    NotWritten(String),
    /// The record may have been written, or may still be written later.
    Unknown,
}

/// The next action of an attempt's driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptAction {
    /// Append the record, with the same identifier each time.
    Append,
    /// Read the next records of the stream, pass each outcome to [`RecordAttempt::on_record`], then
    /// call [`RecordAttempt::on_read_success`].
    Read,
    /// Stop: [`RecordAttempt::status`] is final.
    Stop,
}

/// Appends one record and determines its outcome, even when replies are lost.
///
/// The reply to an append is never used as the outcome: the record is read back, and the fold
/// returns its effect. Retrying the append is safe, because in every fold the first record of an
/// identifier decides.
#[derive(Clone, Debug)]
pub struct RecordAttempt {
    id: RecordId,
    settings: AttemptSettings,
    started: ClockTime,
    append_at: Option<ClockTime>,
    is_appending: bool,
    may_be_written: bool,
    last_error: String,
    found: Option<(ClockTime, RecordOutcome)>,
    status: AttemptStatus,
}

impl RecordAttempt {
    /// Starts an attempt. The driver must read the stream from its current end or an earlier
    /// offset.
    #[must_use]
    pub const fn new(now: ClockTime, id: RecordId, settings: AttemptSettings) -> Self {
        Self {
            id,
            settings,
            started: now,
            append_at: Some(now),
            is_appending: false,
            may_be_written: false,
            last_error: String::new(),
            found: None,
            status: AttemptStatus::Pending,
        }
    }

    /// Returns what is known about the append.
    #[must_use]
    pub const fn status(&self) -> &AttemptStatus {
        &self.status
    }

    /// Returns the driver's next action.
    pub fn next_action(&mut self, now: ClockTime) -> AttemptAction {
        if self.status == AttemptStatus::Pending
            && now.since_ms(self.started) >= self.settings.timeout_ms
        {
            self.give_up();
        }
        if self.status != AttemptStatus::Pending {
            return AttemptAction::Stop;
        }
        if !self.is_appending && self.append_at.is_some_and(|time| time <= now) {
            self.is_appending = true;
            return AttemptAction::Append;
        }
        AttemptAction::Read
    }

    /// Handles the reply to an append, or the lack of one.
    pub fn on_reply(&mut self, now: ClockTime, reply: Result<AppendReceipt, AppendError>) {
        self.is_appending = false;
        self.append_at = Some(now.plus_ms(self.settings.retry_after_ms));
        match reply {
            Ok(_) => {
                self.may_be_written = true;
                self.append_at = None;
            }
            Err(AppendError::OutcomeUnknown(_)) => self.may_be_written = true,
            Err(AppendError::NotWritten(error)) => self.last_error = error,
        }
    }

    /// Handles a record read from the stream, with its outcome.
    pub fn on_record(&mut self, now: ClockTime, id: RecordId, outcome: RecordOutcome) {
        if id == self.id && self.found.is_none() && outcome != RecordOutcome::Waiting {
            self.found = Some((now, outcome));
            self.append_at = None;
        }
    }

    /// Handles the success of a read started at `requested_at`; called after [`Self::on_record`]
    /// for each of its records.
    pub fn on_read_success(&mut self, requested_at: ClockTime) {
        if let Some((found, outcome)) = &self.found
            && (self.settings.confirm_ms == 0
                || requested_at >= found.plus_ms(self.settings.confirm_ms))
        {
            self.status = AttemptStatus::Settled(outcome.clone());
        }
    }

    fn give_up(&mut self) {
        let is_unwritten = !self.may_be_written && !self.is_appending && self.found.is_none();
        self.status = if is_unwritten {
            AttemptStatus::NotWritten(self.last_error.clone())
        } else {
            AttemptStatus::Unknown
        };
    }
}
