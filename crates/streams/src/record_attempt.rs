use clock::ClockTime;
use model::RecordId;

use crate::{AppendError, AppendReceipt, RecordOutcome};

/// How an append is followed up.
#[derive(Clone, Copy, Debug)]
pub struct AttemptSettings {
    /// The wait before the same record is appended again, in milliseconds.
    pub again_after_ms: u64,
    /// The time after which a good read has to follow the one that found the record, in
    /// milliseconds; by then the nodes have read it too.
    pub confirm_ms: u64,
    /// The time after which the outcome is given up as unknown, in milliseconds.
    pub give_up_after_ms: u64,
}

impl AttemptSettings {
    /// The settings for withdrawing a key, which must be known to the nodes when it is confirmed.
    pub const WITHDRAWAL: Self = Self {
        again_after_ms: 2_000,
        confirm_ms: 2_000,
        give_up_after_ms: 30_000,
    };
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            again_after_ms: 2_000,
            confirm_ms: 0,
            give_up_after_ms: 30_000,
        }
    }
}

/// What is known about an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The outcome is still looked for.
    Pending,
    /// The record was read back, and this is what became of it.
    Settled(RecordOutcome),
    /// The record was certainly not written.
    NotWritten(String),
    /// The record may have been written, or may be written yet.
    Unknown,
}

/// What the driver of an attempt does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptAction {
    /// Append the record, with the same identifier each time.
    Append,
    /// Read the stream on, hand each outcome to [`RecordAttempt::on_record`], and call
    /// [`RecordAttempt::on_good_read`].
    Read,
    /// Stop: [`RecordAttempt::status`] is final.
    Stop,
}

/// Learns what became of one record, whatever happens to the replies.
///
/// The reply to an append is never taken for the outcome: the record is read back, and the fold
/// tells what it did. Appending it again does no harm, since every fold lets the first of an
/// identifier win.
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
    /// Starts an attempt; the stream has to be read from an offset not after its present end.
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

    /// Returns what is known.
    #[must_use]
    pub const fn status(&self) -> &AttemptStatus {
        &self.status
    }

    /// Returns what to do next.
    pub fn next_action(&mut self, now: ClockTime) -> AttemptAction {
        if self.status == AttemptStatus::Pending
            && now.since_ms(self.started) >= self.settings.give_up_after_ms
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

    /// Takes in the reply to an append, or its absence.
    pub fn on_reply(&mut self, now: ClockTime, reply: Result<AppendReceipt, AppendError>) {
        self.is_appending = false;
        self.append_at = Some(now.plus_ms(self.settings.again_after_ms));
        match reply {
            Ok(_) => {
                self.may_be_written = true;
                self.append_at = None;
            }
            Err(AppendError::OutcomeUnknown(_)) => self.may_be_written = true,
            Err(AppendError::NotWritten(error)) => self.last_error = error,
        }
    }

    /// Takes in a record read from the stream and what it did.
    pub fn on_record(&mut self, now: ClockTime, id: RecordId, outcome: RecordOutcome) {
        if id == self.id && self.found.is_none() && outcome != RecordOutcome::Waiting {
            self.found = Some((now, outcome));
            self.append_at = None;
        }
    }

    /// Takes in that a read asked for at `asked` was answered, after its records were taken in.
    pub fn on_good_read(&mut self, asked: ClockTime) {
        if let Some((found, outcome)) = &self.found
            && (self.settings.confirm_ms == 0 || asked >= found.plus_ms(self.settings.confirm_ms))
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
