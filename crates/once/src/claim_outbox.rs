use std::collections::BTreeMap;

use clock::ClockTime;
use model::{AttemptId, RecordId, VmName};

use crate::{ClaimEntry, ClaimRecord, OnceSettings};

/// How long a VM counts as an active writer after its last record, in milliseconds.
const WRITER_TIMEOUT_MS: u64 = 10_000;

/// An appended record that hasn't been read back yet.
#[derive(Clone, Debug)]
struct SentRecord {
    record: ClaimRecord,
    first_sent: ClockTime,
    resend_at: ClockTime,
}

/// The claims and releases waiting to be appended, and the append in flight.
///
/// At most one append is in flight. The pause between two appends grows with the number of VMs that
/// write to the stream, so that all of them together stay within `appends_per_s`.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimOutbox {
    entries: Vec<ClaimEntry>,
    send_at: ClockTime,
    sent: Option<SentRecord>,
    writers: BTreeMap<VmName, ClockTime>,
    last_sent: Option<ClockTime>,
}

impl ClaimOutbox {
    pub(crate) fn push(&mut self, now: ClockTime, settings: &OnceSettings, entry: ClaimEntry) {
        if self.entries.contains(&entry) {
            return;
        }
        if self.entries.is_empty() {
            let paced = self
                .last_sent
                .map_or(now, |sent| sent.plus_ms(self.pause_ms(settings)));
            self.send_at = now.plus_ms(settings.batch_delay_ms).max(paced);
        }
        self.entries.push(entry);
    }

    /// Removes the claim of an attempt that ended before its claim was appended.
    pub(crate) fn cancel_claim(&mut self, ended: AttemptId) {
        let is_claim = |entry: &ClaimEntry| matches!(entry, ClaimEntry::Claim { attempt, .. } if *attempt == ended);
        self.entries.retain(|entry| !is_claim(entry));
    }

    pub(crate) fn is_append_overdue(&self, now: ClockTime, settings: &OnceSettings) -> bool {
        self.sent
            .as_ref()
            .is_some_and(|sent| now.since_ms(sent.first_sent) >= settings.outage_after_ms)
    }

    /// Returns the entries of the next append if it is due, and none otherwise.
    pub(crate) fn take_due(&mut self, now: ClockTime, settings: &OnceSettings) -> Vec<ClaimEntry> {
        if self.sent.is_some() || self.entries.is_empty() || now < self.send_at {
            return Vec::new();
        }
        let count = self.entries.len().min(settings.batch_entries);
        let rest = self.entries.split_off(count);
        let due = std::mem::replace(&mut self.entries, rest);
        self.last_sent = Some(now);
        self.send_at = now.plus_ms(self.pause_ms(settings));
        due
    }

    pub(crate) fn set_sent(
        &mut self,
        now: ClockTime,
        settings: &OnceSettings,
        record: ClaimRecord,
    ) {
        self.sent = Some(SentRecord {
            record,
            first_sent: now,
            resend_at: now.plus_ms(settings.resend_ms),
        });
    }

    /// Returns the record in flight if it is due for a retry.
    pub(crate) fn resend_due(
        &mut self,
        now: ClockTime,
        settings: &OnceSettings,
    ) -> Option<ClaimRecord> {
        let sent = self.sent.as_mut().filter(|sent| now >= sent.resend_at)?;
        sent.resend_at = now.plus_ms(settings.resend_ms);
        Some(sent.record.clone())
    }

    pub(crate) fn on_record_read(&mut self, id: RecordId) {
        if self.sent.as_ref().is_some_and(|sent| sent.record.id == id) {
            self.sent = None;
        }
    }

    /// Schedules an earlier retry of a record whose append failed.
    pub(crate) fn on_append_failure(
        &mut self,
        id: RecordId,
        now: ClockTime,
        settings: &OnceSettings,
    ) {
        let pause_ms = self.pause_ms(settings);
        if let Some(sent) = self.sent.as_mut().filter(|sent| sent.record.id == id) {
            sent.resend_at = sent.resend_at.min(now.plus_ms(pause_ms));
        }
    }

    pub(crate) fn record_writer(&mut self, now: ClockTime, vm: &VmName) {
        self.writers.insert(vm.clone(), now);
        self.writers
            .retain(|_, seen| now.since_ms(*seen) < WRITER_TIMEOUT_MS);
    }

    pub(crate) fn next_poll(&self) -> Option<ClockTime> {
        match &self.sent {
            Some(sent) => Some(sent.resend_at),
            None if self.entries.is_empty() => None,
            None => Some(self.send_at),
        }
    }

    fn pause_ms(&self, settings: &OnceSettings) -> u64 {
        let writers = self.writers.len().max(1) as u64;
        writers * 1_000 / settings.appends_per_s.max(1)
    }
}
